#pragma once

#include "coordination/entry/placement_planner.hpp"
#include "state/entry/node_message.hpp"
#include "state/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// What the hub knows from the statuses of all instances. Sums are kept as statuses come
/// in, so that the work for one does not grow with the number of instances.
class fleet_status
{
public:
    /// Takes a complete status. An instance that started anew replaces its former self.
    void put(node_status const& status, time_point now);
    /// Stops counting instances that are silent and forgets those that are so for long.
    void expire(time_point now);
    void clear();

    /// Instances that reported recently, and all that did within a longer time.
    [[nodiscard]] std::size_t connected() const { return connected_; }
    [[nodiscard]] std::size_t known() const { return nodes_.size(); }

    /// Addresses of up to `count` instances but one, beginning with a different one for
    /// each value of `turn`.
    [[nodiscard]] std::vector<std::string>
    addresses_of_others(std::string const& node, std::size_t count,
                        std::size_t rotation) const;

    /// Requests at each backend server from all instances.
    [[nodiscard]] std::map<std::string, std::uint32_t> const& totals() const
    {
        return totals_;
    }
    /// Requests from all instances but one, at the backend servers at which that one has
    /// requests by its newest status or had some by the one before.
    [[nodiscard]] std::map<std::string, std::uint32_t>
    requests_of_others(std::string const& node) const;
    /// Demand of all instances, by service and model.
    [[nodiscard]] std::map<std::string, std::map<std::string, model_demand>>
    demand(time_point now) const;
    /// Requests in flight by backend server and model.
    [[nodiscard]] std::map<std::pair<std::string, std::string>, std::uint32_t> const&
    in_flight() const
    {
        return in_flight_;
    }

private:
    using scoped_model = std::pair<std::string, std::string>;
    struct model_state
    {
        std::uint32_t waiting = 0;
        double rate = 0;
        time_point rate_updated_at{};
    };
    struct node_state
    {
        node_status last;
        /// Those of the status before.
        std::vector<in_flight_count> previous_in_flight;
        time_point received{};
        /// Its requests are part of the sums.
        bool included_in_sums = false;
        std::map<scoped_model, std::uint64_t> arrivals;
    };
    void add(node_state& node);
    void subtract(node_state& node);
    void update_arrival_rates(node_state& node, node_status const& status, time_point now,
                              bool restarted);
    [[nodiscard]] static double decayed_rate(model_state const& model, time_point now);

    std::map<std::string, node_state> nodes_;
    std::size_t connected_ = 0;
    /// By service and model.
    std::map<scoped_model, model_state> models_;
    /// By backend server and model.
    std::map<scoped_model, std::uint32_t> in_flight_;
    std::map<std::string, std::uint32_t> totals_;
    std::map<std::string, std::string> service_of_model_;
};

} // namespace carawayturn::entry
