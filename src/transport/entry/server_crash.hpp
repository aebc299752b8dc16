#pragma once

#include "transport/entry/entry_services.hpp"

#include <string>

namespace carawayturn::entry
{

/// Records and logs that a backend server has crashed: it refuses connections or has a
/// new incarnation.
void note_server_crash(entry_services& services, std::string const& server);

/// Opens a connection to a server at which an attempt has broken off, and records a crash
/// if that fails. Without it a crash would be noticed only by the next request that the
/// server is chosen for, and the server is avoided now.
[[nodiscard]] task<void> check_for_crash(entry_services& services, std::string server,
                                         std::string address);

} // namespace carawayturn::entry
