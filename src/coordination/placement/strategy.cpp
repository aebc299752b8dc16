#include "coordination/placement/strategy.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace carawayturn::placement
{

namespace
{

/// Part of the time from arrival to deadline that has passed.
double urgency(load_need const& need)
{
    auto const waited =
        static_cast<double>(std::max<duration::rep>(need.waited.count(), 0));
    auto const left = static_cast<double>(std::max<duration::rep>(need.left.count(), 1));
    return waited / (waited + left);
}

void order_by_wait(std::vector<load_need>& needs, organisation_turns const& /*turns*/)
{
    std::stable_sort(needs.begin(), needs.end(),
                     [](auto const& left, auto const& right)
                     { return left.waited > right.waited; });
}

/// Sorts by urgency within each organisation and takes one of each organisation in turn,
/// starting with the one that was served longest ago.
void order_fairly(std::vector<load_need>& needs, organisation_turns const& turns)
{
    std::stable_sort(needs.begin(), needs.end(),
                     [](auto const& left, auto const& right)
                     { return urgency(left) > urgency(right); });
    struct ranked
    {
        std::size_t round;
        std::uint64_t turn;
        std::size_t index;
    };
    std::map<organisation_id, std::size_t> rounds;
    std::vector<ranked> ranks;
    ranks.reserve(needs.size());
    for (std::size_t index = 0; index < needs.size(); ++index)
    {
        auto const& organisation = needs[index].organisation;
        ranks.push_back({rounds[organisation]++, turns.last_turn(organisation), index});
    }
    std::sort(ranks.begin(), ranks.end(),
              [](ranked const& left, ranked const& right)
              {
                  return std::tie(left.round, left.turn, left.index) <
                         std::tie(right.round, right.turn, right.index);
              });
    std::vector<load_need> ordered;
    ordered.reserve(needs.size());
    for (auto const& rank : ranks)
        ordered.push_back(std::move(needs[rank.index]));
    needs = std::move(ordered);
}

bool less_by_tier(runner_option const& left, runner_option const& right)
{
    return std::tie(left.tier, left.loads, right.free, left.requests, left.runner) <
           std::tie(right.tier, right.loads, left.free, right.requests, right.runner);
}

bool less_by_free(runner_option const& left, runner_option const& right)
{
    return std::tie(right.free, left.requests, left.runner) <
           std::tie(left.free, right.requests, right.runner);
}

double cost_by_reload(eviction_option const& option, time_point /*now*/)
{
    return static_cast<double>(option.reload_time.count()) * option.use_probability;
}

double cost_by_age(eviction_option const& option, time_point now)
{
    // Lower for replicas unused for longer, and never negative, so that fewer evictions
    // cost less than more.
    auto const idle = static_cast<double>((now - option.last_use).count());
    return 1.0 / (1.0 + std::max(idle, 0.0));
}

} // namespace

void organisation_turns::note_served(organisation_id const& organisation)
{
    turns_[organisation] = ++last_;
}

std::uint64_t organisation_turns::last_turn(organisation_id const& organisation) const
{
    auto const found = turns_.find(organisation);
    return found == turns_.end() ? 0 : found->second;
}

load_order strategy_of(load_order_rule rule)
{
    static constexpr std::array<load_order, 2> orders{order_fairly, order_by_wait};
    return orders.at(static_cast<std::size_t>(rule));
}

runner_less strategy_of(runner_rule rule)
{
    static constexpr std::array<runner_less, 2> orders{less_by_tier, less_by_free};
    return orders.at(static_cast<std::size_t>(rule));
}

eviction_cost strategy_of(eviction_rule rule)
{
    static constexpr std::array<eviction_cost, 3> costs{cost_by_reload, cost_by_age,
                                                        nullptr};
    return costs.at(static_cast<std::size_t>(rule));
}

} // namespace carawayturn::placement
