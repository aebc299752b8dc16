#pragma once

#include "transport/entry/io.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace carawayturn::entry
{

/// A connection to a backend server and whether it has carried a request before.
struct backend_connection
{
    std::shared_ptr<deadline_socket> socket;
    bool reused = false;
};

/// Kept connections to backend servers. New ones cost a slot and money at the servers, so
/// idle ones are used first.
class backend_connections
{
public:
    backend_connections(asio::io_context& io, deadline_monitor& deadlines);

    /// Takes a kept connection that is still open, or opens one. The socket is null if
    /// none could be opened before the deadline. `connecting` refers to a connection
    /// while it is being opened.
    [[nodiscard]] task<backend_connection>
    acquire(std::string const& server, std::string const& address, time_point deadline,
            std::weak_ptr<deadline_socket>* connecting = nullptr);

    /// Opens a connection.
    [[nodiscard]] task<backend_connection>
    open(std::string const& address, time_point deadline,
         std::weak_ptr<deadline_socket>* connecting = nullptr);

    /// Keeps a connection with no request on it for up to `keep`.
    void release(std::string const& server, std::shared_ptr<deadline_socket> socket,
                 duration keep_alive, time_point now);

    /// Closes the kept connections of a server that left or was replaced.
    void drop(std::string const& server);
    void close_expired(time_point now);

    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    struct idle_connection
    {
        std::shared_ptr<deadline_socket> socket;
        time_point expiry;
    };

    asio::io_context& io_;
    deadline_monitor& deadlines_;
    std::map<std::string, std::deque<idle_connection>> idle_;
    std::uint64_t opened_ = 0;
};

} // namespace carawayturn::entry
