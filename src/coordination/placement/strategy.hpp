#pragma once

#include "coordination/placement/load_pace.hpp"
#include "coordination/placement_manager.hpp"

#include <map>
#include <vector>

namespace carawayturn::placement
{

/// A load that demand calls for and that is not decided yet.
struct load_need
{
    loaded_item item;
    organisation_id organisation;
    duration waited{0};
    /// Time left to the tightest deadline; negative once it has passed.
    duration left{0};
    /// No runner has room, not even after evictions.
    bool without_memory = false;
};

/// When each organisation's last load was decided, for the round-robin.
class organisation_turns
{
public:
    void note_served(organisation_id const& organisation);
    /// Number of the organisation's last turn; 0 if it had none.
    [[nodiscard]] std::uint64_t last_turn(organisation_id const& organisation) const;

private:
    std::map<organisation_id, std::uint64_t> turns_;
    std::uint64_t last_ = 0;
};

/// A runner with room for a load.
struct runner_option
{
    backend_id runner;
    cache_tier tier = cache_tier::none;
    byte_count free = 0;
    /// Requests running and waiting there, by its report.
    std::uint32_t requests = 0;
    /// Loads in progress there.
    std::uint32_t loads = 0;
};

/// An idle replica that may be unloaded.
struct eviction_option
{
    decision_id load;
    byte_count bytes = 0;
    duration reload_time{0};
    double use_probability = 0;
    time_point last_use{};
};

using load_order = void (*)(std::vector<load_need>&, organisation_turns const&);
using runner_less = bool (*)(runner_option const&, runner_option const&);
/// The cost of an eviction; the lowest sum is chosen.
using eviction_cost = double (*)(eviction_option const&, time_point now);

[[nodiscard]] load_order strategy_of(load_order_rule rule);
/// The better option is the lesser one.
[[nodiscard]] runner_less strategy_of(runner_rule rule);
/// Null if nothing may be evicted.
[[nodiscard]] eviction_cost strategy_of(eviction_rule rule);

} // namespace carawayturn::placement
