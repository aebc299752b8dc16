#pragma once

#include "coordination/entry/sent_requests.hpp"
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
/// are opened, because each new connection costs a slot and money at the server. The pool
/// is limited, because an instance that becomes the hub calls every runner once: with
/// some thousand runners the idle connections would use up its descriptors.
class backend_connections
{
public:
    /// Default limit for the idle connections to all servers together. A machine has some
    /// 2,800 descriptors, most of which are for callers.
    static constexpr std::size_t default_max_idle = 512;

    backend_connections(asio::io_context& io, deadline_monitor& deadlines,
                        std::size_t max_idle = default_max_idle);

    /// Returns a connection for a call without an id: an idle one that is still open, or
    /// a new one. The socket is null if none could be opened before the deadline.
    [[nodiscard]] task<backend_connection>
    acquire(std::string const& server, std::string const& address, time_point deadline);

    /// Returns a connection for a request. It is a new one if the server may have been
    /// sent a request with this id before, so that no answer to the earlier request can
    /// arrive on it. `connecting` refers to the new socket while the connection is being
    /// opened.
    [[nodiscard]] task<backend_connection>
    acquire_for_request(std::string const& server, std::string const& address,
                        std::string const& request_id, time_point deadline,
                        std::weak_ptr<deadline_socket>& connecting);

    /// Opens a new connection without looking for an idle one.
    [[nodiscard]] task<backend_connection>
    open(std::string const& address, time_point deadline,
         std::weak_ptr<deadline_socket>* connecting = nullptr);

    /// Returns a connection on which no request is outstanding to the pool, which keeps
    /// it open for up to `keep_alive`. If the pool is full, the connection that has been
    /// idle for the longest time is closed.
    void release(std::string const& server, std::shared_ptr<deadline_socket> socket,
                 duration keep_alive, time_point now);

    /// Closes the idle connections to a server that left or was replaced.
    void drop(std::string const& server);
    void close_expired(time_point now);

    [[nodiscard]] std::uint64_t opened() const { return opened_; }
    /// Returns the number of idle connections to all servers.
    [[nodiscard]] std::size_t idle() const { return release_order_.size(); }

private:
    struct idle_connection
    {
        std::shared_ptr<deadline_socket> socket;
        time_point expiry;
        /// Position in release_order_.
        std::uint64_t sequence = 0;
    };
    using idle_queue = std::deque<idle_connection>;

    void close_oldest();
    /// Removes the last or the first idle connection of a server and returns its socket.
    [[nodiscard]] std::shared_ptr<deadline_socket> pop_newest(idle_queue& idle);
    void pop_oldest(idle_queue& idle);

    /// Takes an idle connection that is still open and whose requests are all known from
    /// the pool; null if there is none.
    [[nodiscard]] std::shared_ptr<deadline_socket> take_idle(std::string const& server);

    asio::io_context& io_;
    deadline_monitor& deadlines_;
    sent_requests sent_;
    std::size_t max_idle_;
    /// Idle connections of each server, in the order in which they were released.
    std::map<std::string, idle_queue> idle_;
    /// The servers of all idle connections by the sequence number of their release.
    std::map<std::uint64_t, std::string> release_order_;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t opened_ = 0;
};

} // namespace carawayturn::entry
