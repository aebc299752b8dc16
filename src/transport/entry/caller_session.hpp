#pragma once

#include "transport/entry/entry_services.hpp"

namespace carawayturn::entry
{

/// Serves one caller's connection until it ends.
[[nodiscard]] task<void> serve_caller(entry_services& services, tcp_socket socket);

/// Accepts callers until the acceptor is closed.
[[nodiscard]] task<void> accept_callers(entry_services& services, tcp_acceptor& acceptor);

} // namespace carawayturn::entry
