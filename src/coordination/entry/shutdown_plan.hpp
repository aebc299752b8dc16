#pragma once

#include "state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace carawayturn::entry
{

/// What an instance that shuts down does with its callers.
enum class shutdown_step : std::uint8_t
{
    /// Serves new connections, until the entry points know that it is not ready.
    serve,
    /// Takes no connections; answers what it has taken on.
    finish,
    /// The grace time runs out: ends what is open, and tells its callers.
    cut,
    /// Ends the process.
    end
};

/// What the end of a shutdown waits for.
struct shutdown_state
{
    /// Connections with anything of a request that is not answered to its end.
    std::size_t unfinished = 0;
    /// The lease is given back, or left to lapse.
    bool lease_settled = false;
    /// No further connection is taken, and `unfinished` was counted after that.
    bool intake_closed = false;
    /// The callers of open requests have been told.
    bool cut = false;
};

/// An idle connection is closed in a shutdown once it has been idle for so long: its
/// caller may have sent a request before it could know of the shutdown.
inline constexpr duration idle_close_delay = std::chrono::milliseconds(300);

/// The course of one shutdown: no fixed wait ends it while a request is open, except the
/// grace time. Answers the load pattern "requests go on arriving, slowly and on kept
/// connections, while the instance stops".
class shutdown_plan
{
public:
    /// @param began when the signal came.
    /// @param grace time from the signal to the kill.
    shutdown_plan(time_point began, duration grace);

    [[nodiscard]] shutdown_step step(time_point now, shutdown_state state) const;

    /// Whether a request whose first byte came at `first_byte` and that has been read now
    /// is served. One that is not is refused: it would only be cut.
    [[nodiscard]] bool may_begin(time_point first_byte, time_point now) const;

    /// Why it ended, for the log.
    [[nodiscard]] std::string_view end_reason(time_point now) const;

private:
    time_point cut_at_;
    time_point end_at_;
    time_point intake_end_;
    time_point last_first_byte_;
};

} // namespace carawayturn::entry
