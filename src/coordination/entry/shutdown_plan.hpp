#pragma once

#include "state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace carawayturn::entry
{

/// The phases of a shutdown.
enum class shutdown_step : std::uint8_t
{
    /// Serves new connections, until the platform knows that the instance is not ready.
    serve,
    /// Accepts no connections; finishes the requests on open ones.
    finish,
    /// The grace time is running out: ends all open requests with an error answer.
    cut,
    /// Ends the process.
    end
};

/// The state of the instance that determines whether a shutdown can end.
struct shutdown_state
{
    /// Connections with a request, or a part of one, that has not been answered
    /// completely.
    std::size_t unfinished = 0;
    /// The lease was released, or is left to expire.
    bool lease_settled = false;
    /// No further connections are accepted, and `unfinished` was counted after that.
    bool intake_closed = false;
    /// The open requests have been cut and their callers answered.
    bool cut = false;
};

/// During a shutdown an idle connection is closed after this time without traffic,
/// because its caller may have sent a request before it could learn of the shutdown.
inline constexpr duration idle_close_delay = std::chrono::milliseconds(300);

/// Decides the phases of one shutdown. Only the end of the grace time, and no fixed
/// delay, ends it while a request is open. Handles the load pattern "requests keep
/// arriving, slowly and on kept connections, while the instance stops".
class shutdown_plan
{
public:
    /// @param began when the signal was sent.
    /// @param grace time from the signal until the process is killed.
    shutdown_plan(time_point began, duration grace);

    [[nodiscard]] shutdown_step step(time_point now, shutdown_state state) const;

    /// Returns whether a request is served that has been read by `now` and whose first
    /// byte arrived at `first_byte`. Otherwise it is refused, because it would only be
    /// cut.
    [[nodiscard]] bool may_begin(time_point first_byte, time_point now) const;

    /// Returns the reason for the end of the shutdown, for the log.
    [[nodiscard]] std::string_view end_reason(time_point now) const;

private:
    time_point cut_at_;
    time_point end_at_;
    time_point intake_end_;
    time_point last_first_byte_;
};

} // namespace carawayturn::entry
