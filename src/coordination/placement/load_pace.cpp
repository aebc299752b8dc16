#include "coordination/placement/load_pace.hpp"

#include <algorithm>
#include <cmath>

namespace carawayturn::placement
{

namespace
{

// Weight of a new sample: the average follows a slower weight store within a few loads.
constexpr double sample_weight = 0.3;
constexpr std::size_t starts_kept = 1024;

std::size_t starts_in_period(double rate)
{
    auto const count = static_cast<std::size_t>(std::max(1.0, std::floor(rate)));
    return std::min(count, starts_kept);
}

duration period_of(double rate)
{
    double const seconds = static_cast<double>(starts_in_period(rate)) / rate;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double seconds_of(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

bool contains(std::vector<model_id> const& list, model_id const& model)
{
    return std::find(list.begin(), list.end(), model) != list.end();
}

} // namespace

cache_tier tier_of(backend_report const& report, model_id const& model)
{
    if (contains(report.cached_in_memory, model))
        return cache_tier::memory;
    return contains(report.cached_on_disk, model) ? cache_tier::disk : cache_tier::none;
}

std::uint32_t start_rate::available(time_point now, double rate) const
{
    auto const recent =
        std::count_if(starts_.begin(), starts_.end(),
                      [&](time_point start) { return start + period_of(rate) > now; });
    auto const limit = static_cast<std::ptrdiff_t>(starts_in_period(rate));
    return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(0, limit - recent));
}

void start_rate::note_start(time_point now)
{
    starts_.push_back(now);
    if (starts_.size() > starts_kept)
        starts_.pop_front();
}

void start_rate::assume_full(time_point now, double rate)
{
    for (std::size_t count = starts_in_period(rate); count > 0; --count)
        note_start(now);
}

void load_times::average::add(double sample)
{
    value = seen ? value + sample_weight * (sample - value) : sample;
    seen = true;
}

load_times::load_times(placement_manager::policy const& limits)
    : initial_(limits.initial_load_time),
      initial_adapter_(limits.initial_adapter_load_time)
{
}

void load_times::note(loaded_item const& item, cache_tier tier, duration taken)
{
    if (!item.adapter.empty())
    {
        adapter_.add(seconds_of(taken));
        return;
    }
    auto const index = static_cast<std::size_t>(tier);
    models_[item.model].at(index).add(seconds_of(taken));
    if (item.bytes > 0)
        per_byte_.at(index).add(seconds_of(taken) / static_cast<double>(item.bytes));
}

duration load_times::expected(loaded_item const& item, cache_tier tier) const
{
    if (!item.adapter.empty())
        return adapter_.seen ? from_seconds(adapter_.value) : initial_adapter_;
    auto const index = static_cast<std::size_t>(tier);
    auto const found = models_.find(item.model);
    if (found != models_.end() && found->second.at(index).seen)
        return from_seconds(found->second.at(index).value);
    if (per_byte_.at(index).seen)
        return from_seconds(per_byte_.at(index).value * static_cast<double>(item.bytes));
    return initial_;
}

} // namespace carawayturn::placement
