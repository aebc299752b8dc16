#pragma once

#include <chrono>

namespace carawayturn
{

/// Local monotonic time of one instance. The core never reads a clock: each call is given
/// the time.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = monotonic_clock::duration;
using time_point = monotonic_clock::time_point;

} // namespace carawayturn
