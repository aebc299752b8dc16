#pragma once

#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <set>

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

protected:
    void enter(caller_stage stage);

private:
    caller_connections& registry_;
    caller_stage stage_ = caller_stage::idle;
};

/// Registry of the open connections of an instance's callers, with a count for each
/// stage.
class caller_connections
{
public:
    /// Number of connections in this stage.
    [[nodiscard]] std::size_t count(caller_stage stage) const;
    /// Number of connections that are sending a request or receiving an answer. Also
    /// counts idle connections that became idle at `idle_before` or later or have unread
    /// bytes.
    [[nodiscard]] std::size_t unfinished(time_point idle_before) const;

    /// Closes the connections that have been idle since before `idle_before` and have no
    /// unread bytes.
    void close_idle(time_point idle_before);
    /// Stops the work on all connections that are in the scope.
    void stop(stop_scope scope);

private:
    friend class caller_connection;
    [[nodiscard]] std::size_t& counter(caller_stage stage);

    std::set<caller_connection*> connections_;
    std::array<std::size_t, caller_stage_count> counts_{};
};

} // namespace carawayturn::entry
