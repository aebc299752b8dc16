#include "coordination/entry/shutdown_plan.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// New connections are accepted for this long, until the platform has noticed that the
/// instance is not ready and sends it no more callers.
constexpr duration notice_time = std::chrono::milliseconds(2600);
/// Time left of the grace time when open requests are cut.
constexpr duration cut_margin = std::chrono::milliseconds(600);
/// Time left of the grace time when the process ends, even if answers are still being
/// written.
constexpr duration end_margin = std::chrono::milliseconds(200);
/// A request that has been read is refused if less time than this is left before the cut.
constexpr duration min_service_time = std::chrono::milliseconds(1000);
/// An idle connection is closed after this time without traffic, because its caller may
/// have sent a request before it could learn of the shutdown.
constexpr duration full_idle_close_delay = std::chrono::milliseconds(300);
/// The times above apply to grace times from this one on, of which cut_margin is a sixth.
/// A request that ends before the last sixth of the grace time has to be answered, so a
/// shorter grace time shortens all of them in proportion.
constexpr duration full_grace = 6 * cut_margin;

duration scaled(duration time, duration grace)
{
    auto const bounded = std::clamp(grace, duration::zero(), full_grace);
    return time * bounded.count() / full_grace.count();
}

} // namespace

shutdown_plan::shutdown_plan(signal_time_range began, duration grace)
    : idle_close_delay_(scaled(full_idle_close_delay, grace)),
      min_service_time_(scaled(min_service_time, grace)),
      cut_unanswered_at_(began.earliest + grace - scaled(cut_margin, grace)),
      cut_at_(began.latest + grace - scaled(cut_margin, grace)),
      end_at_(began.latest + grace - scaled(end_margin, grace)),
      intake_end_(
          std::min(began.latest + scaled(notice_time, grace), cut_unanswered_at_)),
      last_begin_(std::min(intake_end_ + idle_close_delay_, cut_unanswered_at_))
{
}

shutdown_step shutdown_plan::step(time_point now, shutdown_state state) const
{
    if (now < intake_end_)
        return shutdown_step::serve;
    bool const finished = state.unfinished == 0 && state.intake_closed;
    if (now < cut_unanswered_at_)
        return finished && state.lease_settled ? shutdown_step::end
                                               : shutdown_step::finish;
    if (finished)
        return shutdown_step::end;
    if (now < cut_at_)
        return shutdown_step::cut_unanswered;
    // A process that was paused may reach this point after the end without having cut the
    // open requests.
    return now >= end_at_ && state.cut ? shutdown_step::end : shutdown_step::cut;
}

bool shutdown_plan::may_begin(time_point first_byte, time_point now) const
{
    return first_byte < last_begin_ && now < cut_unanswered_at_ - min_service_time_;
}

bool shutdown_plan::may_begin_stream(time_point read_at, time_point deadline) const
{
    return read_at < last_begin_ || deadline <= cut_unanswered_at_;
}

std::string_view shutdown_plan::end_reason(time_point now) const
{
    return now < cut_unanswered_at_ ? "finished" : "grace_time_over";
}

} // namespace carawayturn::entry
