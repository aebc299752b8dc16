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

/// Finds out whether a server's process has outlived the answers that ended with their
/// connections: opens a connection to it a moment after their end, and records that the
/// server is alive or has crashed. Asks nothing of a server that may not be called.
[[nodiscard]] task<void> check_ended_answers(entry_services& services,
                                             backend_record server);

/// Returns whether the server's address refuses connections, as that of a process that
/// has ended does. A connection that opens is kept for another request; a server that
/// does not answer in time is not known to have ended.
/// @param connecting refers to the new socket while the connection is being opened.
[[nodiscard]] task<bool> refuses_connections(entry_services& services, std::string server,
                                             std::string address,
                                             std::weak_ptr<deadline_socket>& connecting);

} // namespace carawayturn::entry
