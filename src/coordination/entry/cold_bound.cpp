#include "coordination/entry/cold_bound.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Added before a bound is rounded down, so that a bound that is a whole number by its
/// decimal figures does not lose a request to rounding.
constexpr double rounding_margin = 1e-9;
constexpr double max_slots = 1e6;

} // namespace

std::optional<cold_terms> cold_bound::terms(std::string_view service) const
{
    if (!config_ || !enabled())
        return std::nullopt;
    auto const* const found = config_->find_service(service);
    if (found == nullptr || found->cold_rate <= 0)
        return std::nullopt;
    double const bound = found->cold_rate * overrun_.value_or(1) + slack_.value_or(0);
    return cold_terms{
        static_cast<std::uint32_t>(std::min(bound + rounding_margin, max_slots)),
        found->cold_time};
}

} // namespace carawayturn::entry
