#pragma once

#include "coordination/entry/placement_planner.hpp"
#include "state/entry/node_message.hpp"
#include "state/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Status of all instances as known to the hub. Sums over all instances are updated with
/// each status, so that the cost of one status does not grow with the number of
/// instances.
class fleet_status
{
public:
    /// Records a complete status. A status with a new incarnation replaces the state of
    /// the instance's previous process.
    void put(node_status const& status, time_point now);
    /// Removes silent instances from the sums, and forgets those that stay silent for
    /// longer.
    void expire(time_point now);
    void clear();

    /// Number of instances that reported recently, and number of all instances that are
    /// not yet forgotten.
    [[nodiscard]] std::size_t connected() const { return connected_; }
    [[nodiscard]] std::size_t known() const { return nodes_.size(); }

    /// Returns up to `count` addresses of instances other than `node`. `rotation` selects
    /// the instance to start from.
    [[nodiscard]] std::vector<std::string>
    addresses_of_others(std::string const& node, std::size_t count,
                        std::size_t rotation) const;

    /// Requests of all instances at each backend server.
    [[nodiscard]] std::map<std::string, std::uint32_t> const& totals() const
    {
        return totals_;
    }
    /// Requests of all instances except `node` at each backend server at which `node` has
    /// requests according to its newest status or the one before.
    [[nodiscard]] std::map<std::string, std::uint32_t>
    requests_of_others(std::string const& node) const;
    /// Demand of all instances, by service and model.
    [[nodiscard]] std::map<std::string, std::map<std::string, model_demand>>
    demand(time_point now) const;
    /// Requests in flight of all instances, by backend server and model.
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
        /// Requests in flight according to the status before `last`.
        std::vector<in_flight_count> previous_in_flight;
        time_point received{};
        /// Whether the instance's requests are included in the sums over all instances.
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
