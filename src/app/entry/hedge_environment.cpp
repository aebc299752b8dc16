#include "app/entry/hedge_environment.hpp"

#include "protocol/entry/bounded_number.hpp"

#include <array>

namespace carawayturn::entry
{

namespace
{

struct limit_variable
{
    char const* name;
    double maximum;
    double hedge_limits::*limit;
};

constexpr std::array<limit_variable, 2> limit_variables{{
    {"CARAWAYTURN_HEDGE_SHARE", 0.2, &hedge_limits::request_share},
    {"CARAWAYTURN_HEDGE_SPARE_SHARE", 1.0, &hedge_limits::max_used_slots},
}};

} // namespace

result<hedge_limits> read_hedge_limits(environment_lookup const& lookup)
{
    hedge_limits limits;
    for (auto const& variable : limit_variables)
    {
        char const* const text = lookup(variable.name);
        if (text == nullptr || *text == 0)
            continue;
        // The range is wider than what is allowed, so that wrong values are not clamped.
        auto const value = parse_bounded(text, {-1e9, 1e9});
        if (!value || *value < 0 || *value > variable.maximum)
            return error{error_code::invalid_input, variable.name, "",
                         "is not a number in its range: " + std::string(text)};
        limits.*variable.limit = *value;
    }
    return limits;
}

} // namespace carawayturn::entry
