#pragma once

#include "coordination/placement_manager.hpp"
#include "state/identifiers.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>

namespace carawayturn::placement
{

/// Where a runner finds a checkpoint; the lower the faster.
enum class cache_tier
{
    memory,
    disk,
    none
};

[[nodiscard]] cache_tier tier_of(backend_report const& report, model_id const& model);

/// Limits the loads started a second. In any period of n / rate no more than n = max(1,
/// floor(rate)) loads start.
class start_rate
{
public:
    [[nodiscard]] std::uint32_t available(time_point now, double rate) const;
    [[nodiscard]] bool allows(time_point now, double rate) const
    {
        return available(now, rate) > 0;
    }
    void note_start(time_point now);
    /// Counts starts that a former owner may have made just now.
    void assume_full(time_point now, double rate);

private:
    std::deque<time_point> starts_;
};

/// Load times observed, as moving averages, for estimates and eviction.
class load_times
{
public:
    explicit load_times(placement_manager::policy const& limits);

    void note(loaded_item const& item, cache_tier tier, duration taken);
    [[nodiscard]] duration expected(loaded_item const& item, cache_tier tier) const;

private:
    struct average
    {
        double value = 0;
        bool seen = false;
        void add(double sample);
    };

    duration initial_;
    duration initial_adapter_;
    std::map<model_id, std::array<average, 3>> models_;
    /// Seconds for a byte, by tier.
    std::array<average, 3> per_byte_;
    average adapter_;
};

} // namespace carawayturn::placement
