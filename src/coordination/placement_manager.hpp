#pragma once

#include "coordination/component.hpp"
#include "coordination/config_log.hpp"
#include "coordination/serving_authority.hpp"
#include "state/fleet.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace carawayturn
{

/// Demand of this instance for one model or adapter, as request_flow knows it.
struct local_demand
{
    model_id model;
    adapter_id adapter;
    std::uint32_t waiting = 0;
    /// Start of the longest wait, and the nearest deadline among those waiting.
    time_point oldest{};
    time_point tightest_deadline{};
    std::uint64_t arrivals = 0;
    organisation_id organisation;
};

/// Expected readiness of a model that is not loaded.
struct load_estimate
{
    duration wait{0};
    /// Place in the owner's order of loads; 0 when the load is in progress.
    std::uint32_t place = 0;
};

/// Owns pools under the slot lease, decides loads and unloads, and publishes replicas.
///
/// A decision and its memory are durable in the runner's row before the order leaves.
/// Memory is given back only on proof by the runner (docs/design.md, "Placement").
class placement_manager : public component
{
public:
    /// Policy constants; see docs/design.md for their measurements.
    struct policy
    {
        /// Shortest and longest time a replica stays loaded without requests.
        duration keep_alive_min = std::chrono::seconds(30);
        duration keep_alive_max = std::chrono::minutes(10);
        /// Share of a model's past idle gaps that its keep-alive covers.
        double keep_alive_quantile = 0.6;
        /// Waiting requests per replica above which another replica is loaded.
        std::uint32_t waiting_per_replica = 8;
    };

    [[nodiscard]] static std::unique_ptr<placement_manager>
    create(instance_identity identity, config_log const& config,
           serving_authority const& authority, policy limits);

    /// Replicas that serve the model (and adapter, if not empty) as last published.
    [[nodiscard]] virtual std::vector<replica>
    replicas(model_id const& model, adapter_id const& adapter) const = 0;

    /// When the model is expected to be loaded; empty if the pool's owner gave no
    /// estimate.
    [[nodiscard]] virtual std::optional<load_estimate>
    estimate(time_point now, model_id const& model, adapter_id const& adapter) const = 0;

    /// Sets this instance's demand; called on each change. The first waiting request for
    /// a model is reported to the owner at once, later ones with the next periodic
    /// report.
    virtual void set_demand(time_point now, local_demand const& demand, actions& out) = 0;

    /// Whether an order may leave now: the pool is owned, and the lease will last.
    [[nodiscard]] virtual bool may_send(time_point now,
                                        engine_order const& order) const = 0;

    /// Publishes and hands over owned pools before the instance leaves.
    virtual void release_all(time_point now, actions& out) = 0;
};

} // namespace carawayturn
