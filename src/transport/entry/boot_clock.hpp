#pragma once

#include "state/time.hpp"

#include <ctime>

namespace carawayturn::entry
{

/// Time since the machine started, including time for which it was suspended. The age of
/// cached state is measured with this clock, because the steady clock stops during
/// suspension.
[[nodiscard]] inline time_point boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace carawayturn::entry
