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
    /// The grace time may be running out, depending on when the signal arrived: refuses
    /// or fails the open requests whose answer has not begun.
    cut_unanswered,
    /// The grace time is running out: ends all open requests.
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
    /// All open requests have been cut and their callers answered.
    bool cut = false;
};

/// When a signal arrived, as far as it is known.
struct signal_time_range
{
    time_point earliest;
    time_point latest;
};

/// Decides the phases of one shutdown. Only the end of the grace time, and no fixed
/// delay, ends it while a request is open. Handles the load pattern "requests keep
/// arriving, slowly and on kept connections, while the instance stops".
///
/// The time of the signal is uncertain if the process was paused. Callers without an
/// answer are told before the earliest end of the grace time. Answers that have begun may
/// go on until its latest end, because being cut is as bad for them as the kill. New
/// connections are served from the latest time on, because a paused process has not told
/// the platform that it is not ready.
///
/// Delays and margins have a fixed length. A grace time below 3.6 s shortens all of them
/// in proportion.
class shutdown_plan
{
public:
    /// @param grace time from the signal until the process is killed; not negative.
    shutdown_plan(signal_time_range began, duration grace);

    [[nodiscard]] shutdown_step step(time_point now, shutdown_state state) const;

    /// Returns whether a request is served that has been read by `now` and whose first
    /// byte arrived at `first_byte`. Otherwise it is refused, because it would only be
    /// cut.
    [[nodiscard]] bool may_begin(time_point first_byte, time_point now) const;

    /// Returns whether a stream is begun whose request was read completely at `read_at`
    /// and that may last until `deadline`. One that was read late has to end before open
    /// requests are cut; otherwise another instance can serve it whole.
    [[nodiscard]] bool may_begin_stream(time_point read_at, time_point deadline) const;

    /// Returns the time without traffic after which an idle connection is closed.
    [[nodiscard]] duration idle_close_delay() const { return idle_close_delay_; }

    /// Returns the reason for the end of the shutdown, for the log.
    [[nodiscard]] std::string_view end_reason(time_point now) const;

private:
    duration idle_close_delay_;
    duration min_service_time_;
    time_point cut_unanswered_at_;
    time_point cut_at_;
    time_point end_at_;
    time_point intake_end_;
    /// Requests that may still be open at the cut have to arrive before this time.
    time_point last_begin_;
};

} // namespace carawayturn::entry
