#pragma once

#include "state/entry/node_settings.hpp"

namespace carawayturn::entry
{

/// Returns how long an instance waits before it claims a vacant lease. The hub does work
/// for all other instances and sends messages to all of them, so an instance with less
/// processor time or a slower link waits longer and leaves the lease to stronger
/// instances. This handles the load pattern "configurations come in quick succession
/// while the hub stands on the slowest link".
[[nodiscard]] duration claim_delay(node_settings const& settings);

} // namespace carawayturn::entry
