#include "coordination/entry/shutdown_plan.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// New connections are served for this long, until the entry points have noticed that the
/// instance is not ready.
constexpr duration notice_time = std::chrono::milliseconds(2600);
/// The first request of a connection that was accepted last comes within this time.
constexpr duration first_request_time = std::chrono::milliseconds(300);
/// What is left of the grace time when open requests are cut.
constexpr duration cut_margin = std::chrono::milliseconds(600);
/// What is left of it when the process ends, whatever is still being written.
constexpr duration end_margin = std::chrono::milliseconds(200);
/// A request that is read with less time left before the cut is refused.
constexpr duration least_service_time = std::chrono::milliseconds(1000);

} // namespace

shutdown_plan::shutdown_plan(time_point began, duration grace)
    : cut_at_(began + std::max(grace - cut_margin, duration::zero())),
      end_at_(began + std::max(grace - end_margin, duration::zero())),
      intake_end_(std::min(began + notice_time, cut_at_)),
      first_requests_end_(std::min(intake_end_ + first_request_time, cut_at_))
{
}

shutdown_step shutdown_plan::step(time_point now, shutdown_state state) const
{
    if (now >= end_at_)
        return shutdown_step::end;
    if (now < intake_end_)
        return shutdown_step::serve;
    if (now < cut_at_)
    {
        bool const finished =
            state.unfinished == 0 && state.lease_settled && !awaits_first_requests(now);
        return finished ? shutdown_step::end : shutdown_step::finish;
    }
    return state.unfinished == 0 ? shutdown_step::end : shutdown_step::cut;
}

bool shutdown_plan::awaits_first_requests(time_point now) const
{
    return now < first_requests_end_;
}

bool shutdown_plan::may_begin(time_point first_byte, time_point now) const
{
    return awaits_first_requests(first_byte) && now < cut_at_ - least_service_time;
}

std::string_view shutdown_plan::end_reason(time_point now) const
{
    return now < cut_at_ ? "finished" : "grace_time_over";
}

} // namespace carawayturn::entry
