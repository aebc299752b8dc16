#pragma once

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>

namespace carawayturn::entry
{

/// Range of values that a number from the network or a file may take. Values outside it
/// are clamped, so that later arithmetic cannot overflow.
struct number_range
{
    double minimum = 0;
    double maximum = 0;

    [[nodiscard]] constexpr double clamp(double value) const
    {
        return std::clamp(value, minimum, maximum);
    }
};

// Ranges of the numbers in callers' requests, backend servers' answers, store rows and
// settings.
inline constexpr number_range milliseconds_range{0, 24.0 * 3600 * 1000};
inline constexpr number_range seconds_range{0, 24.0 * 3600};
/// Seconds in a backend server's Retry-After header. Longer pauses are shortened to ten
/// minutes.
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

/// Parses the whole text as a decimal number and clamps it to the range. Returns nullopt
/// if the text is not a finite number.
[[nodiscard]] inline std::optional<double> parse_bounded(std::string_view text,
                                                         number_range range)
{
    double value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ptr != end || text.empty())
        return std::nullopt;
    // The text is a valid number whose magnitude a double cannot represent.
    if (parsed.ec == std::errc::result_out_of_range)
        return text.find("e-") == std::string_view::npos ? range.maximum : range.minimum;
    if (parsed.ec != std::errc{} || !std::isfinite(value))
        return std::nullopt;
    return range.clamp(value);
}

} // namespace carawayturn::entry
