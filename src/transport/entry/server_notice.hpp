#pragma once

#include "state/entry/server_notice.hpp"
#include "transport/entry/entry_services.hpp"

namespace carawayturn::entry
{

/// Applies what a server announced with an answer: later requests take it into account,
/// and the hub is told if the server leaves.
/// @param born_ms start of the incarnation that was asked.
void apply_server_notice(entry_services& services, std::string const& server,
                         std::int64_t born_ms, server_notice const& notice);

} // namespace carawayturn::entry
