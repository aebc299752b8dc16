#include "transport/entry/server_crash.hpp"

#include "transport/entry/boot_clock.hpp"

namespace carawayturn::entry
{

namespace
{

/// Time limit for the check of a server.
constexpr duration check_timeout = std::chrono::milliseconds(400);

/// Time limit for the question whether a server's process has ended. Its machine refuses
/// a connection within a round trip.
constexpr duration refusal_timeout = std::chrono::milliseconds(200);
/// How long a connection is kept that was opened for that question.
constexpr duration unused_keep_alive = std::chrono::seconds(1);

} // namespace

void note_server_crash(entry_services& services, std::string const& server)
{
    auto const crash = services.crashes.note_crash(server, boot_now());
    if (!crash)
        return;
    services.log.write(entry_event::backend_crashed,
                       {{"server", server},
                        {"broken_attempts", std::uint64_t{crash->broken_attempts}},
                        {"most_crashes", std::uint64_t{crash->most_crashes}}});
    if (crash->broken_attempts > 0)
        services.hub.send_status_soon();
}

task<void> check_for_crash(entry_services& services, std::string server,
                           std::string address)
{
    if (services.backends.is_evacuated(server))
        co_return;
    auto const opened =
        co_await services.connections.open(address, boot_now() + check_timeout);
    if (opened.socket)
        co_return;
    services.backends.note_failure(server, boot_now());
    note_server_crash(services, server);
}

task<bool> refuses_connections(entry_services& services, std::string server,
                               std::string address,
                               std::weak_ptr<deadline_socket>& connecting)
{
    auto const limit = boot_now() + refusal_timeout;
    auto opened = co_await services.connections.open(address, limit, &connecting);
    if (!opened.socket)
        co_return boot_now() < limit;
    services.connections.release(server, std::move(opened.socket), unused_keep_alive,
                                 boot_now());
    co_return false;
}

} // namespace carawayturn::entry
