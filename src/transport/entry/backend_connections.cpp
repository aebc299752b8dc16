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
                                         deadline_monitor& deadlines,
                                         std::size_t max_idle)
    : io_(io), deadlines_(deadlines), max_idle_(max_idle)
{
}

std::shared_ptr<deadline_socket> backend_connections::pop_newest(idle_queue& idle)
{
    auto socket = std::move(idle.back().socket);
    release_order_.erase(idle.back().sequence);
    idle.pop_back();
    return socket;
}

void backend_connections::pop_oldest(idle_queue& idle)
{
    release_order_.erase(idle.front().sequence);
    idle.pop_front();
}

void backend_connections::close_oldest()
{
    auto const server = release_order_.begin()->second;
    auto const found = idle_.find(server);
    pop_oldest(found->second);
    if (found->second.empty())
        idle_.erase(found);
}

std::shared_ptr<deadline_socket> backend_connections::take_idle(std::string const& server)
{
    auto& idle = idle_[server];
    while (!idle.empty())
    {
        auto socket = pop_newest(idle);
        if (sent_.covers(socket->first_request()) && open_and_idle(socket->socket()))
            return socket;
    }
    return nullptr;
}

task<backend_connection> backend_connections::acquire(std::string const& server,
                                                      std::string const& address,
                                                      time_point deadline)
{
    if (auto socket = take_idle(server))
        co_return backend_connection{std::move(socket), true};
    co_return co_await open(address, deadline);
}

task<backend_connection> backend_connections::acquire_for_request(
    std::string const& server, std::string const& address, std::string const& request_id,
    time_point deadline, std::weak_ptr<deadline_socket>& connecting)
{
    auto const sent = sent_.record(server, request_id);
    if (!sent.repeated)
    {
        if (auto socket = take_idle(server))
            co_return backend_connection{std::move(socket), true};
    }
    else if (auto& idle = idle_[server]; !idle.empty())
    {
        // The new connection takes the place of an idle one. Otherwise an id that is sent
        // often would leave one more idle connection each time.
        pop_oldest(idle);
    }
    auto connection = co_await open(address, deadline, &connecting);
    if (connection.socket)
        connection.socket->set_first_request(sent.position);
    co_return connection;
}

task<backend_connection>
backend_connections::open(std::string const& address, time_point deadline,
                          std::weak_ptr<deadline_socket>* connecting)
{
    ++opened_;
    auto const limit = std::min(deadline, boot_now() + connect_timeout);
    auto socket = co_await connect_to(io_, deadlines_, address, limit, connecting);
    if (socket)
        socket->set_first_request(sent_.next_position());
    co_return backend_connection{std::move(socket), false};
}

void backend_connections::release(std::string const& server,
                                  std::shared_ptr<deadline_socket> socket,
                                  duration keep_alive, time_point now)
{
    socket->set_deadline(time_point::max());
    auto const sequence = next_sequence_++;
    idle_[server].push_back({std::move(socket), now + keep_alive, sequence});
    release_order_.emplace(sequence, server);
    if (release_order_.size() > max_idle_)
        close_oldest();
}

void backend_connections::drop(std::string const& server)
{
    auto const found = idle_.find(server);
    if (found == idle_.end())
        return;
    for (auto const& entry : found->second)
        release_order_.erase(entry.sequence);
    idle_.erase(found);
}

void backend_connections::close_expired(time_point now)
{
    for (auto& [server, idle] : idle_)
        std::erase_if(idle,
                      [this, now](idle_connection const& entry)
                      {
                          if (entry.expiry > now)
                              return false;
                          release_order_.erase(entry.sequence);
                          return true;
                      });
    std::erase_if(idle_, [](auto const& entry) { return entry.second.empty(); });
}

} // namespace carawayturn::entry
