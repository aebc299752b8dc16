#pragma once

#include "coordination/entry/placement_planner.hpp"
#include "state/entry/node_message.hpp"
#include "state/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// What the hub knows from the statuses of all instances.
class fleet_status
{
public:
    /// Takes a complete status. An instance that started anew replaces its former self.
    void put(node_status const& status, time_point now);
    /// Forgets instances that were silent for too long.
    void expire(time_point now);
    void clear();

    /// Instances that reported recently, and all that did within a longer time.
    [[nodiscard]] std::size_t connected(time_point now) const;
    [[nodiscard]] std::size_t known() const { return nodes_.size(); }

    /// Requests at each backend server from all instances but one.
    [[nodiscard]] std::vector<backend_total> totals_without(std::string const& node,
                                                            time_point now) const;
    /// Demand of all instances, by service and model.
    [[nodiscard]] std::map<std::string, std::map<std::string, model_demand>>
    demand(time_point now) const;
    [[nodiscard]] std::map<std::pair<std::string, std::string>, std::uint32_t>
    in_flight(time_point now) const;

private:
    struct arrivals_state
    {
        std::uint64_t count = 0;
        double rate = 0;
    };
    struct node_state
    {
        node_status last;
        time_point received{};
        std::map<std::pair<std::string, std::string>, arrivals_state> arrivals;
    };
    void follow_arrivals(node_state& node, node_status const& status, time_point now,
                         bool restarted);
    [[nodiscard]] static bool recent(node_state const& node, time_point now);

    std::map<std::string, node_state> nodes_;
};

} // namespace carawayturn::entry
