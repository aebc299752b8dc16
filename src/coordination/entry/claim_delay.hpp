#pragma once

#include "state/entry/node_settings.hpp"

namespace carawayturn::entry
{

/// How long an instance waits before it claims a vacant lease. The hub works for all
/// others and sends to all of them, so that an instance with less of a core or a narrower
/// link leaves the lease to the others for longer. Answers the load pattern
/// "configurations come in quick succession while the hub stands on the slowest link".
[[nodiscard]] duration claim_delay(node_settings const& settings);

} // namespace carawayturn::entry
