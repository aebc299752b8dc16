#pragma once

#include "state/fleet_config.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carawayturn::bench
{

/// Sizes and load of one measured fleet.
struct fleet_load
{
    std::uint32_t instances = 16;
    std::uint32_t runners = 18;
    std::uint32_t models = 20;
    std::uint32_t adapters = 100;
    std::uint32_t organisations = 5;
    /// Requests to the models, spread evenly over models and organisations.
    double requests_per_second = 0;
    /// Requests to an adapter that has not been called before, each of which loads it.
    double wakings_per_second = 0;
    /// Base shares of a burst are smaller than one request, so that every request needs
    /// tokens that the organisation's budget owner grants.
    bool scarce_budgets = false;
};

struct message_flow
{
    double messages = 0;
    double bytes = 0;
};

/// Rates per simulated second. `mean` is over instances, `max` is the costliest instance,
/// which is the owner of the pool or of most budgets.
struct fleet_cost
{
    double mean_cpu_us = 0;
    double max_cpu_us = 0;
    double mean_messages = 0;
    double max_messages = 0;
    double mean_bytes = 0;
    double max_bytes = 0;
    double commits = 0;
    double reads = 0;
    std::map<std::string, message_flow> kinds;
};

struct outage_result
{
    /// Lowest share of instances with serving authority during the outage.
    double lowest_share = 0;
    /// Time from the start of the outage until 95 in 100 instances serve under rule (b);
    /// the limit of the measurement if they never do.
    double served_after_seconds = 0;
    /// Mean time without serving authority, over instances.
    double gap_seconds = 0;
};

/// The configuration of a measured fleet: rates high enough that no budget refuses.
[[nodiscard]] fleet_config cost_config(fleet_load const& load);

/// Runs a fleet for a few simulated seconds after it has become ready.
[[nodiscard]] fleet_cost measure_fleet(fleet_load const& load);

/// Takes the table service away from a fleet for 15 s.
[[nodiscard]] outage_result measure_outage(std::uint32_t instances);

/// Runs one put_adapter change through a fleet of 16, per number of adapters: simulated
/// time until accepted, processor time, table reads and bytes of configuration messages.
void measure_spread(std::vector<std::uint32_t> const& adapters);

} // namespace carawayturn::bench
