#include "transport/entry/backend_connections.hpp"

#include "transport/entry/boot_clock.hpp"

namespace carawayturn::entry
{

namespace
{

/// A server that does not accept a connection within this time is tried no longer.
constexpr duration connect_timeout = std::chrono::milliseconds(400);

} // namespace

backend_connections::backend_connections(asio::io_context& io, connection_watch& watch)
    : io_(io), watch_(watch)
{
}

task<backend_connection>
backend_connections::obtain(std::string const& server, std::string const& address,
                            time_point deadline, std::weak_ptr<watched_socket>* opening)
{
    auto& idle = kept_[server];
    while (!idle.empty())
    {
        auto socket = std::move(idle.back().socket);
        idle.pop_back();
        if (quiet_and_open(socket->socket()))
            co_return backend_connection{std::move(socket), true};
    }
    co_return co_await open(address, deadline, opening);
}

task<backend_connection> backend_connections::open(std::string const& address,
                                                   time_point deadline,
                                                   std::weak_ptr<watched_socket>* opening)
{
    ++opened_;
    auto const limit = std::min(deadline, boot_now() + connect_timeout);
    auto socket = co_await connect_to(io_, watch_, address, limit, opening);
    co_return backend_connection{std::move(socket), false};
}

void backend_connections::give_back(std::string const& server,
                                    std::shared_ptr<watched_socket> socket, duration keep,
                                    time_point now)
{
    socket->set_deadline(time_point::max());
    kept_[server].push_back({std::move(socket), now + keep});
}

void backend_connections::drop(std::string const& server)
{
    kept_.erase(server);
}

void backend_connections::close_expired(time_point now)
{
    for (auto& [server, idle] : kept_)
        std::erase_if(idle, [now](kept const& entry) { return entry.until <= now; });
    std::erase_if(kept_, [](auto const& entry) { return entry.second.empty(); });
}

} // namespace carawayturn::entry
