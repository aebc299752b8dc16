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

/// Order in which waiting models are loaded.
enum class load_order_rule
{
    /// Longest wait relative to the deadline, in turn over the organisations that wait.
    relative_wait_fair,
    longest_wait
};

/// Choice among the runners that have room for a load.
enum class runner_rule
{
    /// Cached checkpoint tier first, then free memory, then load.
    cached_tier,
    most_free
};

/// How long a replica stays loaded without requests.
enum class keep_alive_rule
{
    /// A quantile of the model's own idle gaps.
    idle_gaps,
    fixed_min,
    fixed_max
};

/// Choice of the idle replica that makes room for a waiting model.
enum class eviction_rule
{
    /// Lowest expected reload time times probability of use.
    reload_cost,
    least_recent,
    never
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

        load_order_rule load_order = load_order_rule::relative_wait_fair;
        runner_rule runner_choice = runner_rule::cached_tier;
        keep_alive_rule keep_alive = keep_alive_rule::idle_gaps;
        eviction_rule eviction = eviction_rule::reload_cost;
        bool add_replicas = true;
        bool prewarm = true;

        /// Keep-alive of a model with fewer than three idle gaps seen.
        duration keep_alive_initial = std::chrono::minutes(2);
        /// A replica counts as idle this long after its last use, if its runner reports
        /// no running request. It covers the lag of reports.
        duration idle_margin = std::chrono::seconds(2);
        /// Longest time a request may run; a replica unused for longer is idle even if
        /// its runner is busy with other models.
        duration longest_request = std::chrono::seconds(60);
        /// Time for which eviction estimates the probability of use.
        duration use_horizon = std::chrono::seconds(60);
        /// Days in a row on which a model must have woken at the same time of day, how
        /// far the wakes may lie apart, and how early it is loaded.
        std::uint32_t prewarm_days = 2;
        duration prewarm_window = std::chrono::minutes(10);
        duration prewarm_ahead = std::chrono::minutes(2);
        /// Load time assumed before any load has been measured.
        duration initial_load_time = std::chrono::seconds(10);
        duration initial_adapter_load_time = std::chrono::milliseconds(30);
        /// Wait told to callers whose model has no memory to load into yet.
        duration wait_without_memory = std::chrono::seconds(30);
        /// Time between the withdrawal of a replica and its unload order, in which other
        /// instances learn of the withdrawal.
        duration unload_delay = std::chrono::milliseconds(100);
        /// First and longest delay before an order is repeated; it doubles each time.
        duration repeat_delay_min = std::chrono::milliseconds(500);
        duration repeat_delay_max = std::chrono::seconds(8);
        /// Longest time by which reports lag behind. A difference between a report and
        /// the runner's row counts only once it has lasted longer.
        duration report_lag = std::chrono::seconds(5);
        /// Time after which a runner that this instance never saw listed is gone.
        duration never_listed_limit = std::chrono::seconds(30);
        /// At engines that ignore fencing numbers, also unload replicas of a former owner
        /// that recorded every copy of its load order as answered. Off: all inherited
        /// replicas stay until the runner's next incarnation.
        bool trust_recorded_answers = true;
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
