#include "coordination/entry/shared_reading.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

constexpr duration min_interval = std::chrono::milliseconds(50);
/// Interval for each instance, so that all together begin 500 readings a second at most.
/// A reading takes two calls, and a store serves some 2,000 a second.
constexpr duration interval_per_instance = std::chrono::milliseconds(2);
/// A request does not wait for its turn longer than this.
constexpr duration max_interval = std::chrono::milliseconds(1000);

} // namespace

void shared_reading::set_instances(std::size_t instances)
{
    auto const bounded = static_cast<int>(std::min<std::size_t>(instances, 1'000'000));
    interval_ = std::clamp(bounded * interval_per_instance, min_interval, max_interval);
}

reading_result shared_reading::result_since(time_point since) const
{
    if (read_at_ != time_point{} && read_at_ >= since)
        return reading_result::done;
    if (failed_at_ != time_point{} && failed_at_ >= since)
        return reading_result::failed;
    return reading_result::pending;
}

time_point shared_reading::next_begin() const
{
    return running_ ? time_point::max() : began_at_ + interval_;
}

void shared_reading::begin(time_point now)
{
    running_ = true;
    began_at_ = now;
}

void shared_reading::end(bool read)
{
    running_ = false;
    (read ? read_at_ : failed_at_) = began_at_;
}

} // namespace carawayturn::entry
