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
/// A process that ends closes its connections and its port within this time.
constexpr duration end_time = std::chrono::milliseconds(250);
/// How long a connection is kept that was opened for that question.
constexpr duration unused_keep_alive = std::chrono::seconds(1);

/// What an attempt to open a connection shows.
enum class connection_check : std::uint8_t
{
    opened,
    /// Nothing listens at the address.
    refused,
    /// No answer within the time limit.
    unknown
};

/// Opens a connection to the server, which is kept for another request.
task<connection_check> check_connection(entry_services& services, std::string server,
                                        std::string address, duration timeout,
                                        std::weak_ptr<deadline_socket>& connecting)
{
    auto const limit = boot_now() + timeout;
    auto opened = co_await services.connections.open(address, limit, &connecting);
    if (!opened.socket)
        co_return boot_now() < limit ? connection_check::refused
                                     : connection_check::unknown;
    services.connections.release(server, std::move(opened.socket), unused_keep_alive,
                                 boot_now());
    co_return connection_check::opened;
}

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

task<void> check_ended_answers(entry_services& services, backend_record server)
{
    steady_timer timer(services.io);
    for (bool left = true; left;)
    {
        timer.expires_after(end_time);
        co_await timer.async_wait(use_task);
        auto const began_at = boot_now();
        if (!services.backends.may_send(server, began_at))
            break;
        std::weak_ptr<deadline_socket> connecting;
        auto const check = co_await check_connection(services, server.id, server.address,
                                                     check_timeout, connecting);
        if (check == connection_check::refused)
        {
            services.backends.note_failure(server.id, boot_now());
            note_server_crash(services, server.id);
        }
        if (check != connection_check::opened)
            break;
        left = services.crashes.note_alive(server.id, began_at - end_time);
    }
    services.crashes.drop_unproven_ends(server.id);
}

task<bool> refuses_connections(entry_services& services, std::string server,
                               std::string address,
                               std::weak_ptr<deadline_socket>& connecting)
{
    auto const check = co_await check_connection(
        services, std::move(server), std::move(address), refusal_timeout, connecting);
    co_return check == connection_check::refused;
}

} // namespace carawayturn::entry
