#pragma once

#include "transport/entry/entry_services.hpp"

namespace carawayturn::entry
{

/// Accepts callers until the acceptor is closed.
[[nodiscard]] task<void> accept_callers(entry_services& services, tcp_acceptor& acceptor);

/// Accepts the connections that are pending at the acceptor. Returns false if accepting
/// failed for some of them.
[[nodiscard]] bool accept_pending_callers(entry_services& services,
                                          tcp_acceptor& acceptor);

} // namespace carawayturn::entry
