#include "cost/slope.hpp"

#include <cstdio>
#include <ctime>

namespace carawayturn::bench
{

void print(std::string const& name, double value, std::string const& unit)
{
    std::printf("%s %.6g %s\n", name.c_str(), value, unit.c_str());
    std::fflush(stdout);
}

void print_slope(std::string const& name, std::vector<double> const& x,
                 std::vector<double> const& y, std::string const& unit)
{
    auto const count = static_cast<double>(x.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (std::size_t index = 0; index < x.size(); ++index)
    {
        sum_x += x[index];
        sum_y += y[index];
        sum_xx += x[index] * x[index];
        sum_xy += x[index] * y[index];
    }
    double const slope =
        (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    print(name + ".slope", slope, unit + "/unit");
    print(name + ".intercept", (sum_y - slope * sum_x) / count, unit);
}

double cpu_microseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

} // namespace carawayturn::bench
