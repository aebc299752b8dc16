#pragma once

#include "coordination/action.hpp"
#include "coordination/event.hpp"
#include "fleet/event_queue.hpp"
#include "fleet/fake_engine.hpp"
#include "fleet/fake_table.hpp"
#include "fleet/trace.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::bench
{

/// What decides in one instance: the product's core, or a baseline policy.
class instance_driver
{
public:
    instance_driver() = default;
    instance_driver(instance_driver const&) = delete;
    instance_driver& operator=(instance_driver const&) = delete;
    virtual ~instance_driver() = default;
    [[nodiscard]] virtual actions handle(time_point now, event const& input) = 0;
    [[nodiscard]] virtual bool may_send_order(time_point now,
                                              engine_order const& order) const = 0;
    [[nodiscard]] virtual config_version config_in_force() const = 0;
    /// The state dump, for traces of violations; empty for baselines.
    [[nodiscard]] virtual std::string dump(time_point) const { return ""; }
};

struct node_start
{
    instance_id id;
    incarnation_number incarnation = 1;
    failure_domain_id failure_domain;
    endpoint peer_address;
    std::uint64_t seed = 1;
};
using driver_factory = std::function<std::unique_ptr<instance_driver>(node_start const&)>;

/// Faults of the network between instances.
struct network_faults
{
    double loss = 0;
    double duplication = 0;
    /// Extra delay, uniformly from zero; reorders messages.
    duration jitter{0};
    /// Instances that reach neither the table service nor other instances.
    std::set<instance_id> isolated;
};

struct fleet_settings
{
    deployment shape;
    std::uint64_t seed = 1;
    duration tick_every = std::chrono::milliseconds(50);
    duration report_every = std::chrono::seconds(1);
    duration report_lag = std::chrono::milliseconds(300);
    duration list_lag = std::chrono::seconds(2);
    bool engines_check_fence = true;
    bool engines_refuse_over_capacity = false;
};

enum class answer_kind
{
    none,
    served,
    refused,
    /// The connection broke because the instance died.
    connection_lost
};

/// What a caller saw of one request, and what the backend servers did for it.
struct caller_record
{
    trace_request request;
    time_point arrived{};
    answer_kind answer = answer_kind::none;
    std::uint32_t answers = 0;
    time_point answered{};
    std::optional<refusal> reason;
    /// No replica of the model was ready when the request arrived.
    bool cold = false;
    /// When a server that can serve it got it; the first token follows.
    std::optional<time_point> started;
    std::uint32_t executions = 0;
    token_count tokens_used = 0;
};

/// Instances, backend servers and the platform in one process on one injected clock.
class fleet
{
public:
    fleet(fleet_settings settings, driver_factory factory);
    ~fleet();
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    /// Starts all instances and backend servers and commits the configuration through one
    /// of them; returns once it is in force everywhere, or false after 60 s.
    bool start(fleet_config const& config);

    void run_for(duration time);
    /// Schedules the requests of a trace from now on.
    void replay(std::vector<trace_request> const& trace);
    void send(trace_request const& request);
    void submit(config_change const& change, std::string const& operation,
                std::size_t through = 0);

    // Faults.
    void kill(std::size_t instance);
    void restart(std::size_t instance);
    void pause(std::size_t instance, duration time);
    void drain(std::size_t instance);
    void crash_engine(std::size_t engine, duration restart_time);
    void leave_engine(std::size_t engine);

    [[nodiscard]] event_queue& queue() { return queue_; }
    [[nodiscard]] fake_table& table() { return table_; }
    [[nodiscard]] fake_weight_store& weights() { return weights_; }
    [[nodiscard]] network_faults& network() { return network_; }
    [[nodiscard]] std::vector<std::unique_ptr<fake_engine>> const& engines() const
    {
        return engines_;
    }
    [[nodiscard]] std::map<request_id, caller_record> const& callers() const
    {
        return callers_;
    }
    [[nodiscard]] std::map<operation_id, answer_submission> const& submissions() const
    {
        return submissions_;
    }
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool alive(std::size_t instance) const;
    [[nodiscard]] bool ready(std::size_t instance) const;
    [[nodiscard]] incarnation_number incarnation(std::size_t instance) const;
    [[nodiscard]] config_version config_in_force(std::size_t instance) const;
    [[nodiscard]] std::string dump(std::size_t instance) const;

    /// Messages and bytes are counted by the cost bench.
    [[nodiscard]] std::uint64_t peer_messages() const { return peer_messages_; }
    std::function<void(peer_message const&)> on_peer_message;
    /// Called before and after each action of an instance, to inject a fault at a step.
    std::function<void(std::size_t instance, action const&)> on_action;
    std::function<void(std::size_t instance, action const&)> after_action;
    /// Receives log records, for traces.
    std::function<void(instance_id const&, log_record const&)> on_log;

private:
    struct node;
    struct action_handler;

    void start_node(std::size_t index);
    void feed(std::size_t index, incarnation_number incarnation, event const& input);
    void take(std::size_t index, action const& done);
    void tick_node(std::size_t index, incarnation_number incarnation);
    void poll_backends(std::size_t index, incarnation_number incarnation);
    void poll_list(std::size_t index, incarnation_number incarnation);
    [[nodiscard]] std::vector<listed_instance> listing() const;
    void record_listing();
    void send_to_peer(std::size_t from, send_peer const& message);
    void deliver_to_peer(std::size_t from, send_peer const& message);
    template <class Operation>
    void call_table(std::size_t index, operation_id const& operation, Operation run,
                    bool commit);
    void send_order_to(std::size_t index, engine_order const& order);
    void dispatch(std::size_t index, dispatch_request const& wanted);
    void run_at_engine(std::size_t index, incarnation_number incarnation,
                       dispatch_request const& wanted, fake_engine& engine);
    void end_dispatch(std::size_t index, incarnation_number incarnation,
                      dispatch_request const& wanted, work_result outcome,
                      token_count used);
    void cancel(std::size_t index, cancel_dispatch const& wanted);
    void answer(std::size_t index, request_id const& request, answer_kind kind,
                std::optional<refusal> reason);
    [[nodiscard]] std::optional<std::size_t> pick_instance();
    [[nodiscard]] fake_engine* find_engine(backend_id const& id);
    [[nodiscard]] bool decided(engine_order const& order) const;
    [[nodiscard]] bool any_ready_replica(trace_request const& request) const;
    [[nodiscard]] bool isolated(std::size_t index) const;
    [[nodiscard]] caller_request to_caller_request(trace_request const& request) const;
    void note_start(request_id const& request, fake_engine const& engine);

    fleet_settings settings_;
    driver_factory factory_;
    event_queue queue_;
    fake_table table_;
    fake_weight_store weights_;
    network_faults network_;
    std::mt19937_64 random_;
    fleet_config config_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<std::unique_ptr<fake_engine>> engines_;
    std::vector<std::pair<time_point, std::vector<listed_instance>>> listings_;
    std::map<request_id, caller_record> callers_;
    std::map<operation_id, answer_submission> submissions_;
    std::uint64_t peer_messages_ = 0;
    std::size_t next_instance_ = 0;
};

} // namespace carawayturn::bench
