#pragma once

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>

namespace carawayturn::entry
{

/// Values that a number from outside may take. What lies beyond is moved to the nearer
/// bound, so that no later arithmetic overflows.
struct number_range
{
    double minimum = 0;
    double maximum = 0;

    [[nodiscard]] constexpr double clamp(double value) const
    {
        return std::clamp(value, minimum, maximum);
    }
};

// Ranges of what callers, servers, rows and settings tell.
inline constexpr number_range milliseconds_range{0, 24.0 * 3600 * 1000};
inline constexpr number_range seconds_range{0, 24.0 * 3600};
/// A server that asks for a longer pause, in seconds, gets this one.
inline constexpr number_range retry_after_range{0, 600};
inline constexpr number_range token_range{0, 1e8};
inline constexpr number_range unit_range{0, 1e12};
inline constexpr number_range megabyte_range{0, 1e9};
inline constexpr number_range count_range{0, 1e6};
inline constexpr number_range positive_count_range{1, 1e6};
inline constexpr number_range priority_range{0, 9};
inline constexpr number_range ratio_range{0, 1e3};
inline constexpr number_range header_bytes_range{1024, 1 << 20};
inline constexpr number_range body_bytes_range{0, 64.0 * (1 << 20)};

/// Parses a whole text as a decimal number and moves it into the range. Returns nothing
/// for what is no finite number.
[[nodiscard]] inline std::optional<double> parse_bounded(std::string_view text,
                                                         number_range range)
{
    double value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ptr != end || text.empty())
        return std::nullopt;
    // Only digits beyond what a double holds lead here.
    if (parsed.ec == std::errc::result_out_of_range)
        return text.find("e-") == std::string_view::npos ? range.maximum : range.minimum;
    if (parsed.ec != std::errc{} || !std::isfinite(value))
        return std::nullopt;
    return range.clamp(value);
}

} // namespace carawayturn::entry
