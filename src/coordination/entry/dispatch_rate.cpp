#include "coordination/entry/dispatch_rate.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>
#include <cmath>

namespace carawayturn::entry
{

namespace
{

/// Time constant of the rate. Times of service are 50 ms to some seconds.
constexpr double rate_memory_s = 2.0;
/// Interval between promised returns when the rate is not known.
constexpr double default_interval_s = 0.02;

} // namespace

void dispatch_rate::note_dispatch(time_point now)
{
    count_ = per_second(now) * rate_memory_s + 1;
    counted_at_ = now;
}

double dispatch_rate::per_second(time_point now) const
{
    double const age = std::max(to_seconds(now - counted_at_), 0.0);
    return count_ * std::exp(-age / rate_memory_s) / rate_memory_s;
}

duration dispatch_rate::promise_return(duration room, duration honoured,
                                       double room_per_second, time_point now)
{
    auto const at = std::max(next_return_, now + room);
    if (at - now <= honoured)
        next_return_ = at + from_seconds(room_per_second > 0 ? 1 / room_per_second
                                                             : default_interval_s);
    return at - now;
}

} // namespace carawayturn::entry
