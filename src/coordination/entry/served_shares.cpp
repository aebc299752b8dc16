#include "coordination/entry/served_shares.hpp"

#include "state/entry/time_units.hpp"

#include <cmath>

namespace carawayturn::entry
{

namespace
{

/// A counted request loses half of its weight in this time, about the length of a burst.
constexpr double half_life_s = 5.0;

} // namespace

void served_shares::note(std::uint32_t priority, bool served, time_point now)
{
    auto& counted = counts_[priority];
    double const kept = std::exp2(-to_seconds(now - counted.at) / half_life_s);
    counted.served = counted.served * kept + (served ? 1 : 0);
    counted.all = counted.all * kept + 1;
    counted.at = now;
}

bool served_shares::is_below(std::uint32_t first, std::size_t late,
                             std::uint32_t second) const
{
    auto const share = [this](std::uint32_t priority, std::size_t unserved)
    {
        auto const found = counts_.find(priority);
        auto const counted = found == counts_.end() ? counts{} : found->second;
        auto const all = counted.all + static_cast<double>(unserved);
        return all > 0 ? counted.served / all : 1.0;
    };
    return share(first, late) < share(second, 0);
}

} // namespace carawayturn::entry
