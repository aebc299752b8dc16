#include "coordination/entry/pause_detector.hpp"

#include <utility>

namespace carawayturn::entry
{

namespace
{

/// Between two checks that are further apart than this, the process is assumed to have
/// been paused.
constexpr duration max_check_gap = std::chrono::milliseconds(300);

} // namespace

void pause_detector::note_check(time_point now)
{
    previous_check_ = std::exchange(last_check_, now);
    just_resumed_ = !just_resumed_ && last_check_ - previous_check_ >= max_check_gap;
}

time_point pause_detector::earliest_arrival(time_point now) const
{
    // After a pause, a check may run before the signal is handled.
    auto const earliest =
        now - last_check_ < max_check_gap ? previous_check_ : last_check_;
    return now - earliest < max_check_gap ? now : earliest;
}

} // namespace carawayturn::entry
