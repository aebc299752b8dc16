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

/// Demand for one model or adapter over all instances.
struct model_demand
{
    /// Requests that wait because no runner holds it.
    std::uint32_t waiting = 0;
    /// Requests that runners work on.
    std::uint32_t in_flight = 0;
    /// Arrivals a second, smoothed.
    double rate = 0;
};

/// Why a model or adapter is loaded.
enum class load_reason
{
    /// Requests wait for it and no runner holds it.
    absent,
    /// Its copies are too few for its requests.
    too_few_copies,
    /// Requests are expected; none waits.
    prefetch
};

/// Name of a reason in the log.
[[nodiscard]] std::string_view name_of(load_reason reason);

/// An order to a runner.
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
    /// The runner's order count that this order builds on.
    std::int64_t expected_count = 0;
    /// Reason of the load, or of the one that the unload makes room for.
    load_reason reason = load_reason::absent;
    bool from_store = false;
};

/// How an order ended.
enum class order_outcome
{
    /// It is being carried out.
    accepted,
    /// It held already, or was done at once.
    done,
    /// Another order is under way or the order count differs.
    conflict,
    /// The runner refused it for good, or another server has the address.
    rejected,
    /// No answer; it may be carried out later.
    unknown
};

/// When a model that is not held will be.
struct load_estimate
{
    std::string service;
    model_key target;
    duration ready_in{};
};

/// Decides which models runners load and unload. Used by the hub alone; makes no calls
/// itself. Answers the load patterns "rare models are asked for at once" (loads from disk
/// go first and everywhere, loads from the weight store one behind the other) and "the
/// busy models fall silent as others rise" (copies follow the requests that wait or are
/// in flight, the model that most of them need comes first, and busy models are spared).
class placement_planner
{
public:
    /// A runner as it was recorded at the store.
    void put_runner(backend_record const& record, time_point now);
    void remove_runner(std::string const& id);
    /// Forgets all runners and orders, for a new holder of the lease.
    void reset();

    void set_config(serving_config const* config) { config_ = config; }
    void set_demand(std::string const& service,
                    std::map<std::string, model_demand> demand);
    /// Requests in flight by runner and model.
    void set_in_flight(
        std::map<std::pair<std::string, std::string>, std::uint32_t> const& counts);

    /// Orders to send now. Each has to be answered by order_answered().
    [[nodiscard]] std::vector<runner_order> plan(time_point now);
    void record_order_outcome(runner_order const& order, order_outcome outcome,
                              time_point now);

    /// Runners whose report is needed now; each has to be answered by reported() or
    /// report_failed().
    [[nodiscard]] std::vector<std::string> take_due_reports(time_point now);
    void apply_report(std::string const& id, runner_report const& report, time_point now);
    void record_report_failure(std::string const& id, time_point now);

    /// The runner's record with what the planner learned beyond the store, or null.
    [[nodiscard]] backend_record const* find_record(std::string const& id) const;
    /// Runners whose view changed since the last call.
    [[nodiscard]] std::vector<std::string> take_changed_runners();

    [[nodiscard]] std::vector<load_estimate> estimates(time_point now) const;
    /// Models that are being unloaded, by runner.
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    unloading_models() const;

private:
    /// A load that is planned or under way.
    struct load_task
    {
        model_key target;
        load_reason reason = load_reason::absent;
        bool from_store = false;
        duration load_time{};
        time_point started{};
        /// Loads from the weight store that were under way when it began, itself
        /// included.
        std::uint32_t concurrent_store_loads = 0;
    };
    struct runner_state
    {
        backend_record record;
        /// An order was sent and is not answered.
        bool order_pending = false;
        /// The order count, or what an order did, is unknown until a report tells.
        bool state_unknown = true;
        /// The runner works on an order that this planner has not given: the former hub
        /// may have let it load from the weight store.
        bool runs_previous_hub_order = false;
        /// No report has told the order count yet.
        bool never_reported = true;
        /// Orders accepted since the runner's start.
        std::int64_t order_count = 0;
        /// Records of the store may be older than the last order's effect until then.
        time_point records_stale_until{};
        /// An unsure runner, or one that works on a load, is asked from then on.
        time_point next_report{};
        bool report_pending = false;
        /// The load that the runner works on.
        std::optional<load_task> current_load;
        /// The load to be ordered once all victims are unloaded.
        std::optional<load_task> planned_load;
        std::vector<std::string> models_to_unload;
        time_point orders_blocked_until{};
        /// Adapters whose load was accepted, and when they will be there.
        std::map<model_key, time_point> loading_adapters;
        std::map<model_key, time_point> adapter_last_used;
        /// Models and adapters that were seen here and may be missing from older records.
        std::map<model_key, time_point> confirmed_at;

        /// Stops orders until a report, which is asked for from then on.
        void wait_for_report(time_point asked_from)
        {
            state_unknown = true;
            next_report = asked_from;
        }
        [[nodiscard]] bool accepts_orders(time_point now) const
        {
            return !order_pending && !state_unknown && now >= orders_blocked_until &&
                   !record.draining;
        }
    };
    /// Which models may make way for another.
    struct eviction_limit
    {
        double max_value = std::numeric_limits<double>::max();
        /// Requests in flight at the runner. An unload waits for them, and meanwhile the
        /// runner takes no other order.
        std::uint32_t max_in_flight = 0;
    };
    /// A way to load a model, and what it costs in seconds.
    struct load_option
    {
        runner_state* runner = nullptr;
        std::vector<std::string> victims;
        double cost = 0;
        duration load_time{};
        bool from_store = false;
    };

    /// Counts of one model over all runners, as of the last plan.
    struct model_counts
    {
        std::uint32_t copies = 0;
        std::uint32_t planned = 0;
        bool cached = false;
    };
    /// A model that is held nowhere though requests wait, or whose copies are too few for
    /// its requests in flight.
    struct needed_model
    {
        hosted_model const* model = nullptr;
        /// Requests that one more copy would help.
        double requests = 0;
        load_reason reason = load_reason::absent;
    };
    void count_models();
    [[nodiscard]] model_counts counts_of(std::string const& service,
                                         std::string const& model) const;
    /// Ordered by the requests that one more copy would help, most first.
    [[nodiscard]] std::vector<needed_model>
    needed_models(service_config const& service) const;
    void plan_models(service_config const& service, time_point now);
    void plan_prefetch(service_config const& service, time_point now);
    void plan_adapters(service_config const& service, time_point now,
                       std::vector<runner_order>& orders);
    void confirm_loaded_adapters(time_point now);
    /// Memory of everything that the runner holds or was ordered to load.
    [[nodiscard]] static double used_mb(engine_traits const& engine,
                                        runner_state const& runner);
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
    [[nodiscard]] double copy_value(service_config const& service,
                                    std::string const& model) const;
    [[nodiscard]] std::uint32_t wanted_copies(service_config const& service,
                                              std::string const& model) const;
    [[nodiscard]] std::uint32_t in_flight_on(std::string const& runner,
                                             std::string const& model) const;
    /// Requests in flight on the runner, for all models.
    [[nodiscard]] std::uint32_t in_flight_on_runner(runner_state const& runner) const;
    [[nodiscard]] std::uint32_t pending_store_loads() const;
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
    time_point next_prefetch_{};
    /// Begin of recent loads from the weight store, newest last.
    std::vector<time_point> store_load_starts_;
    /// Loads from the weight store that go at full speed together.
    double store_concurrency_ = 4;
};

} // namespace carawayturn::entry
