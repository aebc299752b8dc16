#pragma once

#include "state/time.hpp"

#include <ctime>

namespace carawayturn::entry
{

/// The time since the machine started, with the time for which it was suspended. All
/// beliefs are aged by this clock; the steady clock stands still during a suspension.
[[nodiscard]] inline time_point boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace carawayturn::entry
