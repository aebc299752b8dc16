#pragma once

#include "transport/entry/io.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace carawayturn::entry
{

/// A connection to a backend server, and whether it has been used for a request before.
struct backend_connection
{
    std::shared_ptr<deadline_socket> socket;
    bool reused = false;
};

/// Pool of idle connections to backend servers. They are reused before new connections
/// are opened, because each new connection costs a slot and money at the server.
class backend_connections
{
public:
    backend_connections(asio::io_context& io, deadline_monitor& deadlines);

    /// Returns an idle connection that is still open, or opens a new one. The socket is
    /// null if none could be opened before the deadline. If `connecting` is not null, it
    /// refers to the new socket while the connection is being opened.
    [[nodiscard]] task<backend_connection>
    acquire(std::string const& server, std::string const& address, time_point deadline,
            std::weak_ptr<deadline_socket>* connecting = nullptr);

    /// Opens a new connection without looking for an idle one.
    [[nodiscard]] task<backend_connection>
    open(std::string const& address, time_point deadline,
         std::weak_ptr<deadline_socket>* connecting = nullptr);

    /// Returns a connection on which no request is outstanding to the pool, which keeps
    /// it open for up to `keep_alive`.
    void release(std::string const& server, std::shared_ptr<deadline_socket> socket,
                 duration keep_alive, time_point now);

    /// Closes the idle connections to a server that left or was replaced.
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
