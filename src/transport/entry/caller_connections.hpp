#pragma once

#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <set>

namespace carawayturn::entry
{

/// What a caller's connection is busy with.
enum class caller_stage
{
    /// Accepted, or kept after an answer; nothing of a request has been read.
    idle,
    /// A request is being read.
    reading,
    /// A request has been read and is not answered to its end.
    serving,
    /// The last answer has been written; the caller has not closed its side.
    closing
};
inline constexpr std::size_t caller_stage_count = 4;

class caller_connections;

/// One caller's connection, counted from its accept to its end.
class caller_connection
{
public:
    explicit caller_connection(caller_connections& registry);
    caller_connection(caller_connection const&) = delete;
    caller_connection& operator=(caller_connection const&) = delete;
    virtual ~caller_connection();

    [[nodiscard]] caller_stage stage() const { return stage_; }
    /// Since when it has been idle.
    [[nodiscard]] virtual time_point idle_since() const = 0;
    /// Whether no byte waits to be read.
    [[nodiscard]] virtual bool no_pending_input() = 0;
    virtual void close() = 0;
    /// Ends the work on it. A caller that has got nothing of its answer is told how far
    /// its request went.
    virtual void stop() = 0;

protected:
    void enter(caller_stage stage);

private:
    caller_connections& registry_;
    caller_stage stage_ = caller_stage::idle;
};

/// All that an instance has taken on from its callers, from the first byte of a request
/// to the last byte of its answer.
class caller_connections
{
public:
    /// Connections in this stage.
    [[nodiscard]] std::size_t count(caller_stage stage) const;
    /// Connections that bring a request or take an answer. Those count too that became
    /// idle after this time, or have bytes which were not read yet.
    [[nodiscard]] std::size_t unfinished(time_point idle_before) const;

    /// Closes the connections that have been idle since before this time, and on which
    /// nothing has arrived.
    void close_idle(time_point idle_before);
    /// Stops the work on all connections.
    void stop();

private:
    friend class caller_connection;
    [[nodiscard]] std::size_t& counter(caller_stage stage);

    std::set<caller_connection*> connections_;
    std::array<std::size_t, caller_stage_count> counts_{};
};

} // namespace carawayturn::entry
