#pragma once

#include "coordination/entry/backend_selector.hpp"
#include "state/entry/serving_config.hpp"

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayturn::entry
{

/// Demand for one model or adapter, summed over all instances.
struct model_demand
{
    /// Requests waiting because no runner has it loaded.
    std::uint32_t waiting = 0;
    /// Requests in flight at runners.
    std::uint32_t in_flight = 0;
    /// Smoothed arrival rate, in requests per second.
    double rate = 0;
};

/// Why a model or adapter is loaded.
enum class load_reason
{
    /// Requests are waiting for it and no runner has it loaded.
    absent,
    /// It has too few copies for its requests.
    too_few_copies,
    /// Requests are expected, but none is waiting.
    prefetch
};

/// Returns the name of the reason in the log.
[[nodiscard]] std::string_view name_of(load_reason reason);

/// An order that tells a runner to load or unload a model or adapter.
struct runner_order
{
    enum class action
    {
        load,
        unload
    };
    action operation = action::load;
    std::string runner;
    std::string address;
    model_key target;
    /// The order count that the runner must have to accept this order.
    std::int64_t expected_count = 0;
    /// Reason for the load, or for the load that this unload frees memory for.
    load_reason reason = load_reason::absent;
    bool from_store = false;
};

/// Result of an order.
enum class order_outcome
{
    /// The runner is executing the order.
    accepted,
    /// The order's effect was already present, or was achieved at once.
    done,
    /// The runner is executing another order, or its order count differs.
    conflict,
    /// The runner permanently refused the order, or another server has its address.
    rejected,
    /// No answer arrived; the runner may still execute the order.
    unknown
};

/// Estimated time until a model that is not loaded will be ready.
struct load_estimate
{
    std::string service;
    model_key target;
    duration ready_in{};
};

/// Decides which models runners load and unload. Only the hub uses it. It performs no
/// I/O: the caller sends the orders and report queries that it returns.
///
/// It is designed for two load patterns. In a burst of requests for rare models, loads
/// from disk come first and run on all runners at once, while loads from the weight store
/// are limited in number. When demand moves from busy models to others, the number of
/// copies follows the requests that are waiting or in flight, the model that most of them
/// need is loaded first, and busy models are not evicted.
class placement_planner
{
public:
    /// Adds or updates a runner from its record in the store.
    void put_runner(backend_record const& record, time_point now);
    void remove_runner(std::string const& id);
    /// Removes all runners and orders. Called when the instance becomes the holder of the
    /// lease.
    void reset();

    void set_config(serving_config const* config) { config_ = config; }
    void set_demand(std::string const& service,
                    std::map<std::string, model_demand> demand);
    /// Sets the requests in flight, by runner and by model or adapter.
    void set_in_flight(
        std::map<std::pair<std::string, std::string>, std::uint32_t> const& counts);

    /// Sets the evacuated failure domains. Their runners get no orders and no report
    /// queries, and what they hold counts as absent. After the end of the evacuation, a
    /// report is requested before the first order.
    void set_evacuated(std::set<std::string> domains, time_point now);

    /// Returns the orders to send now. The caller must pass the outcome of each to
    /// record_order_outcome().
    [[nodiscard]] std::vector<runner_order> plan(time_point now);
    void record_order_outcome(runner_order const& order, order_outcome outcome,
                              time_point now);

    /// Returns the runners to query for a report now. The caller must call apply_report()
    /// or record_report_failure() for each.
    [[nodiscard]] std::vector<std::string> take_due_reports(time_point now);
    void apply_report(std::string const& id, runner_report const& report, time_point now);
    void record_report_failure(std::string const& id, time_point now);

    /// Returns the runner's record, updated with what reports and answers added to its
    /// record in the store, or null for an unknown runner.
    [[nodiscard]] backend_record const* find_record(std::string const& id) const;
    /// Returns the runners whose find_record() result changed since the last call.
    [[nodiscard]] std::vector<std::string> take_changed_runners();

    [[nodiscard]] std::vector<load_estimate> estimates(time_point now) const;
    /// Returns pairs of a runner and a model that it is to unload.
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    unloading_models() const;

private:
    /// A planned or running load of a model.
    struct load_task
    {
        model_key target;
        load_reason reason = load_reason::absent;
        bool from_store = false;
        duration load_time{};
        time_point started{};
        /// Number of loads from the weight store, including this one, when it started.
        std::uint32_t concurrent_store_loads = 0;
    };
    struct runner_state
    {
        backend_record record;
        /// An order has been sent whose outcome has not arrived.
        bool order_pending = false;
        /// The order count or the effect of an order is unknown until the next usable
        /// report.
        bool state_unknown = true;
        /// The runner is executing an order that this planner did not send. The previous
        /// hub may have ordered a load from the weight store.
        bool runs_previous_hub_order = false;
        /// The runner's failure domain is evacuated, since evacuated_at.
        bool evacuated = false;
        time_point evacuated_at{};
        /// No report has provided the order count yet.
        bool never_reported = true;
        /// Orders that the runner has accepted since it started.
        std::int64_t order_count = 0;
        /// Until this time, records from the store may not show the last order's effect.
        time_point records_stale_until{};
        /// Time from which the planner requests a report if state_unknown or current_load
        /// is set.
        time_point next_report{};
        bool report_pending = false;
        /// The load that the runner is executing.
        std::optional<load_task> current_load;
        /// The load to order once all models_to_unload are unloaded.
        std::optional<load_task> planned_load;
        std::vector<std::string> models_to_unload;
        time_point orders_blocked_until{};
        /// Adapters whose load order was accepted, with the time when they will be
        /// usable.
        std::map<model_key, time_point> loading_adapters;
        std::map<model_key, time_point> adapter_last_used;
        /// When models and adapters were last confirmed to be loaded. Older data may lack
        /// them.
        std::map<model_key, time_point> confirmed_at;

        /// Blocks orders until a report arrives, which is requested from `asked_from` on.
        void wait_for_report(time_point asked_from)
        {
            state_unknown = true;
            next_report = asked_from;
        }
        [[nodiscard]] bool accepts_orders(time_point now) const
        {
            return !order_pending && !state_unknown && now >= orders_blocked_until &&
                   serves_requests();
        }
        /// Whether the models that the runner holds are available for new requests.
        [[nodiscard]] bool serves_requests() const
        {
            return !record.draining && !evacuated;
        }
    };
    /// Limits on the models that may be evicted for another one.
    struct eviction_limit
    {
        double max_value = std::numeric_limits<double>::max();
        /// Maximum number of the model's requests in flight at the runner. An unload
        /// waits for these requests, and the runner accepts no other order until they
        /// end.
        std::uint32_t max_in_flight = 0;
    };
    /// A runner on which to load a model and the models to evict for it, with the cost in
    /// seconds of load time.
    struct load_option
    {
        runner_state* runner = nullptr;
        std::vector<std::string> victims;
        double cost = 0;
        duration load_time{};
        bool from_store = false;
    };

    /// Copies of one model over all runners, as of the last plan().
    struct model_counts
    {
        std::uint32_t copies = 0;
        std::uint32_t planned = 0;
        bool cached = false;
    };
    /// A model that has too few copies, or none, for its requests that are waiting or in
    /// flight.
    struct needed_model
    {
        hosted_model const* model = nullptr;
        /// Requests beyond what its present and planned copies should serve.
        double requests = 0;
        load_reason reason = load_reason::absent;
        /// Ranks before the others, because requests wait for it in an evacuation.
        bool urgent = false;
    };
    /// Applies the set of evacuated failure domains to the runner.
    void update_evacuation(runner_state& runner, time_point now);
    /// Removes loads at evacuated runners that must have ended from the count of loads
    /// from the weight store.
    void drop_unobserved_loads(time_point now);
    void count_models();
    [[nodiscard]] model_counts counts_of(std::string const& service,
                                         std::string const& model) const;
    /// Returns the models that need another copy, those with the most excess requests
    /// first. While a failure domain is evacuated, those with waiting requests precede
    /// those whose requests still run there.
    [[nodiscard]] std::vector<needed_model>
    needed_models(service_config const& service) const;
    void plan_models(service_config const& service, time_point now);
    void plan_prefetch(service_config const& service, time_point now);
    void plan_adapters(service_config const& service, time_point now,
                       std::vector<runner_order>& orders);
    void confirm_loaded_adapters(time_point now);
    /// Returns the memory of everything that is loaded on the runner or being loaded.
    [[nodiscard]] static double used_mb(engine_traits const& engine,
                                        runner_state const& runner);
    /// Returns an order that loads the adapter or, without room for it, unloads the idle
    /// adapter that was used least recently. Returns nothing if no adapter is idle.
    [[nodiscard]] std::optional<runner_order> adapter_order(engine_traits const& engine,
                                                            runner_state& runner,
                                                            model_key const& target);
    [[nodiscard]] std::optional<load_option>
    best_option(service_config const& service, hosted_model const& model, time_point now,
                bool store_allowed, eviction_limit limit);
    [[nodiscard]] bool choose_victims(service_config const& service, runner_state& runner,
                                      hosted_model const& model, time_point now,
                                      eviction_limit limit, load_option& option);
    void plan_load(load_option const& option, hosted_model const& model,
                   load_reason reason, time_point now);
    [[nodiscard]] std::optional<runner_order> next_order(runner_state& runner,
                                                         time_point now);
    void load_accepted(runner_state& runner, runner_order const& order, time_point now);
    void unload_done(runner_state& runner, model_key const& target);
    void load_done(runner_state& runner, time_point now);
    void set_models(runner_state& runner, std::vector<loaded_model> models,
                    time_point now);
    void update_store_concurrency(load_task const& done, time_point now);
    /// Returns the value of keeping a copy of the model, which load options compare with
    /// seconds of load time: the request rate times the load time from disk, divided by
    /// the square of the number of copies, plus needed_copy_value for a copy that
    /// requests need.
    [[nodiscard]] double copy_value(service_config const& service,
                                    std::string const& model) const;
    [[nodiscard]] std::uint32_t wanted_copies(service_config const& service,
                                              std::string const& model) const;
    [[nodiscard]] std::uint32_t in_flight_on(std::string const& runner,
                                             std::string const& model) const;
    /// Returns the runner's requests in flight for all models.
    [[nodiscard]] std::uint32_t in_flight_on_runner(runner_state const& runner) const;
    /// Returns the number of loads from the weight store that are planned, running, or
    /// possibly running by an order of the previous hub.
    [[nodiscard]] std::uint32_t pending_store_loads() const;
    /// Returns whether another load from the weight store may be planned.
    [[nodiscard]] bool store_load_allowed(engine_traits const& engine, time_point now);
    [[nodiscard]] model_demand demand_of(std::string const& service,
                                         std::string const& key) const;

    serving_config const* config_ = nullptr;
    std::map<std::string, runner_state> runners_;
    std::map<std::string, std::map<std::string, model_demand>> demand_;
    std::map<std::pair<std::string, std::string>, std::uint32_t> in_flight_;
    std::unordered_map<std::string, std::uint32_t> runner_load_;
    std::map<std::string, std::unordered_map<std::string, model_counts>> counts_;
    std::set<std::string> changed_;
    std::set<std::string> evacuated_;
    time_point next_prefetch_{};
    /// Start times of recent loads from the weight store, newest last.
    std::vector<time_point> store_load_starts_;
    /// Estimated number of loads from the weight store that can run concurrently at full
    /// speed.
    double store_concurrency_ = 4;
};

} // namespace carawayturn::entry
