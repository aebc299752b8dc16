#pragma once

#include "coordination/entry/backend_selector.hpp"
#include "state/entry/node_message.hpp"
#include "state/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carawayturn::entry
{

/// Counts the requests of this instance that arrive and wait for each model, and keeps
/// the hub's estimates of when models are ready.
class demand_tracker
{
public:
    void arrived(std::string const& service, model_key const& key);
    void waiting_began(std::string const& service, model_key const& key);
    void waiting_ended(std::string const& service, model_key const& key);

    /// Returns the counts of the models that changed since the last call or that requests
    /// wait for.
    [[nodiscard]] std::vector<demand_count> take_counts();
    [[nodiscard]] bool any_waiting() const { return waiting_ > 0; }

    /// Replaces the hub's estimates.
    void set_estimates(std::vector<model_estimate> const& estimates, time_point now);
    /// Returns the time until a runner holds the model, if the hub sent an estimate.
    [[nodiscard]] std::optional<duration>
    ready_in(std::string const& service, std::string const& model, time_point now) const;

private:
    struct model_state
    {
        std::uint64_t arrivals = 0;
        std::uint32_t waiting = 0;
        bool changed = false;
    };
    std::map<std::pair<std::string, std::string>, model_state> models_;
    std::map<std::pair<std::string, std::string>, time_point> ready_at_;
    std::uint32_t waiting_ = 0;
};

} // namespace carawayturn::entry
