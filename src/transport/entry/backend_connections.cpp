#include "transport/entry/backend_connections.hpp"

#include "transport/entry/boot_clock.hpp"

namespace carawayturn::entry
{

namespace
{

/// Time limit for opening a connection to a server.
constexpr duration connect_timeout = std::chrono::milliseconds(400);

} // namespace

backend_connections::backend_connections(asio::io_context& io,
                                         deadline_monitor& deadlines)
    : io_(io), deadlines_(deadlines)
{
}

task<backend_connection>
backend_connections::acquire(std::string const& server, std::string const& address,
                             time_point deadline,
                             std::weak_ptr<deadline_socket>* connecting)
{
    auto& idle = idle_[server];
    while (!idle.empty())
    {
        auto socket = std::move(idle.back().socket);
        idle.pop_back();
        if (open_and_idle(socket->socket()))
            co_return backend_connection{std::move(socket), true};
    }
    co_return co_await open(address, deadline, connecting);
}

task<backend_connection>
backend_connections::open(std::string const& address, time_point deadline,
                          std::weak_ptr<deadline_socket>* connecting)
{
    ++opened_;
    auto const limit = std::min(deadline, boot_now() + connect_timeout);
    auto socket = co_await connect_to(io_, deadlines_, address, limit, connecting);
    co_return backend_connection{std::move(socket), false};
}

void backend_connections::release(std::string const& server,
                                  std::shared_ptr<deadline_socket> socket,
                                  duration keep_alive, time_point now)
{
    socket->set_deadline(time_point::max());
    idle_[server].push_back({std::move(socket), now + keep_alive});
}

void backend_connections::drop(std::string const& server)
{
    idle_.erase(server);
}

void backend_connections::close_expired(time_point now)
{
    for (auto& [server, idle] : idle_)
        std::erase_if(idle, [now](idle_connection const& entry)
                      { return entry.expiry <= now; });
    std::erase_if(idle_, [](auto const& entry) { return entry.second.empty(); });
}

} // namespace carawayturn::entry
