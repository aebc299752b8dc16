#include "coordination/placement/usage_history.hpp"

#include <algorithm>
#include <cmath>

namespace carawayturn::placement
{

namespace
{

// Shorter pauses between two uses are part of one busy period.
constexpr duration shortest_gap = std::chrono::seconds(1);
// Only longer gaps decide the keep-alive. Shorter ones are covered by any setting, and
// would crowd out the others in the history of a model that is busy at times.
constexpr duration shortest_idle_gap = std::chrono::seconds(10);
// A use after a longer pause is a wake, which counts for the daily pattern.
constexpr duration shortest_sleep = std::chrono::minutes(5);
constexpr std::size_t gaps_kept = 32;
constexpr std::size_t gaps_needed = 3;
// Enough for three days of a model that wakes 20 times a day.
constexpr std::size_t wakes_kept = 64;
constexpr duration day = std::chrono::hours(24);

template <class T>
void append_bounded(std::vector<T>& values, T value, std::size_t limit)
{
    values.push_back(value);
    if (values.size() > limit)
        values.erase(values.begin());
}

duration quantile(std::vector<duration> const& gaps, double share)
{
    std::vector<duration> sorted(gaps.begin(), gaps.end());
    std::sort(sorted.begin(), sorted.end());
    auto const rank = std::ceil(share * static_cast<double>(sorted.size()));
    auto const index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted.at(std::min(index, sorted.size() - 1));
}

} // namespace

void usage_history::note_use(time_point now)
{
    duration const gap = last_use_ ? now - *last_use_ : duration::max();
    if (last_use_ && gap >= shortest_gap)
        append_bounded(gaps_, gap, gaps_kept);
    if (last_use_ && gap >= shortest_idle_gap)
        append_bounded(long_gaps_, gap, gaps_kept);
    if (gap >= shortest_sleep)
        append_bounded(wakes_, now, wakes_kept);
    last_use_ = now;
}

duration usage_history::keep_alive(placement_manager::policy const& limits) const
{
    if (limits.keep_alive == keep_alive_rule::fixed_min)
        return limits.keep_alive_min;
    if (limits.keep_alive == keep_alive_rule::fixed_max)
        return limits.keep_alive_max;
    duration const wanted = long_gaps_.size() < gaps_needed
                                ? limits.keep_alive_initial
                                : quantile(long_gaps_, limits.keep_alive_quantile);
    return std::clamp(wanted, limits.keep_alive_min, limits.keep_alive_max);
}

double usage_history::use_probability(time_point now, duration horizon) const
{
    duration const idle = last_use_ ? now - *last_use_ : duration::max() / 2;
    double longer = 0;
    double ended = 0;
    for (duration const gap : gaps_)
    {
        longer += gap > idle ? 1 : 0;
        ended += gap > idle && gap <= idle + horizon ? 1 : 0;
    }
    return (ended + 1) / (longer + 2);
}

std::optional<time_point>
usage_history::expected_wake(time_point now,
                             placement_manager::policy const& limits) const
{
    // A wake w predicts one a day later, if each of the days before had a wake within the
    // window around the same time.
    auto const repeated = [&](time_point wake)
    {
        for (std::uint32_t back = 1; back < limits.prewarm_days; ++back)
        {
            auto const expected = wake - back * day;
            bool const seen = std::any_of(
                wakes_.begin(), wakes_.end(),
                [&](time_point other)
                { return std::chrono::abs(other - expected) <= limits.prewarm_window; });
            if (!seen)
                return false;
        }
        return true;
    };
    for (time_point const wake : wakes_)
    {
        time_point const next = wake + day;
        if (now >= next - limits.prewarm_ahead && now < next && repeated(wake))
            return next + limits.prewarm_window;
    }
    return std::nullopt;
}

} // namespace carawayturn::placement
