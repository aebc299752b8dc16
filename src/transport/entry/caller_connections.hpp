#pragma once

#include "coordination/entry/client_limits.hpp"
#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <list>
#include <optional>

namespace carawayturn::entry
{

/// Stage of a caller's connection.
enum class caller_stage
{
    /// Accepted, or kept open after an answer; no byte of a request has been read.
    idle,
    /// A request is being read.
    reading,
    /// A request is being served or refused, and its answer is not complete.
    serving,
    /// The last answer has been written; the caller has not closed its side.
    closing
};
inline constexpr std::size_t caller_stage_count = 4;

/// The requests that a shutdown stops.
enum class stop_scope
{
    /// Requests whose answer has not begun.
    unanswered,
    all
};

class caller_connections;

/// One caller's connection, registered and counted by stage while the object exists.
class caller_connection
{
public:
    explicit caller_connection(caller_connections& registry);
    caller_connection(caller_connection const&) = delete;
    caller_connection& operator=(caller_connection const&) = delete;
    virtual ~caller_connection();

    [[nodiscard]] caller_stage stage() const { return stage_; }
    /// When the connection last became idle.
    [[nodiscard]] virtual time_point idle_since() const = 0;
    /// Whether the connection is open and no received byte is unread.
    [[nodiscard]] virtual bool no_pending_input() = 0;
    virtual void close() = 0;
    /// Stops the work on the connection if it is in the scope. A caller that has not
    /// received any of its answer is told whether its request may have run.
    virtual void stop(stop_scope scope) = 0;
    /// What the connection has received in its stage. Returns nothing if a server may be
    /// running its request, so that it must not be closed for lack of a share.
    [[nodiscard]] virtual std::optional<request_progress> progress() = 0;
    /// Whether its request holds memory beyond the free bytes of each request.
    [[nodiscard]] virtual bool holds_memory() const = 0;

protected:
    void enter(caller_stage stage);

private:
    friend class caller_connections;

    caller_connections& registry_;
    caller_stage stage_ = caller_stage::idle;
    std::list<caller_connection*>::iterator place_;
    /// When the connection entered its stage.
    time_point entered_;
    /// Closed for lack of a share; the coroutine that serves it has yet to end.
    bool replaced_ = false;
};

/// Registry of the open connections of an instance's callers, by stage, in the order in
/// which they entered it. Keeps to the callers' share of connections.
class caller_connections
{
public:
    explicit caller_connections(std::size_t limit) : limit_(limit) {}

    /// Number of connections in this stage.
    [[nodiscard]] std::size_t count(caller_stage stage) const;
    /// Number of connections that are sending a request or receiving an answer. Also
    /// counts idle connections that became idle at `idle_before` or later or have unread
    /// bytes.
    [[nodiscard]] std::size_t unfinished(time_point idle_before) const;

    [[nodiscard]] std::size_t limit() const { return limit_; }
    /// Number of connections that are open.
    [[nodiscard]] std::size_t open() const;
    /// Whether the share of connections is used up.
    [[nodiscard]] bool full() const { return open() >= limit_; }
    /// Closes a connection in favour of a new one: an idle one, one whose last answer was
    /// written, the slowest of the oldest requests that are being read, or one whose
    /// caller does not read its complete answer. Returns what was done; nothing if none
    /// may be closed.
    std::optional<limit_action> replace_one(time_point now);
    /// Closes a request that is being read, holds memory and has received nothing for the
    /// limit. Returns whether there was one.
    bool close_stalled(duration limit, time_point now);

    /// Closes the connections that have been idle since before `idle_before` and have no
    /// unread bytes.
    void close_idle(time_point idle_before);
    /// Stops the work on all connections that are in the scope.
    void stop(stop_scope scope);

private:
    friend class caller_connection;
    using connection_list = std::list<caller_connection*>;

    [[nodiscard]] connection_list& in_stage(caller_stage stage);
    /// Closes the slowest of the oldest connections in the stage that may be replaced.
    bool replace_slowest(caller_stage stage, time_point now);
    void replace(caller_connection& connection);

    std::array<connection_list, caller_stage_count> stages_;
    std::size_t limit_;
    std::size_t replaced_ = 0;
};

} // namespace carawayturn::entry
