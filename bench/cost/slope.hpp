#pragma once

#include <string>
#include <vector>

namespace carawayturn::bench
{

/// Prints one measured value as `name value unit`.
void print(std::string const& name, double value, std::string const& unit);

/// Prints slope and intercept of the least-squares line through the points.
void print_slope(std::string const& name, std::vector<double> const& x,
                 std::vector<double> const& y, std::string const& unit);

/// Processor time of this process so far, in microseconds.
[[nodiscard]] double cpu_microseconds();

} // namespace carawayturn::bench
