#pragma once

#include "state/time.hpp"

#include <cstdint>

namespace carawayturn::entry
{

[[nodiscard]] inline double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

[[nodiscard]] inline duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

[[nodiscard]] inline duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

/// Returns whole milliseconds, for logs and state dumps.
[[nodiscard]] inline std::int64_t to_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace carawayturn::entry
