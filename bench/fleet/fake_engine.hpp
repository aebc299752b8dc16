#pragma once

#include "fleet/event_queue.hpp"
#include "state/fleet.hpp"
#include "state/request.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::bench
{

/// The weight store: checkpoint fetches beyond the number at full speed, and adapter
/// loads beyond theirs, slow down in proportion.
struct fake_weight_store
{
    std::uint32_t full_speed = 4;
    double loads_per_second = 4;
    duration fetch_time = std::chrono::seconds(1);
    std::uint32_t adapter_full_speed = 32;
    duration adapter_time = std::chrono::milliseconds(20);
    /// Fault: all fetches take this many times as long.
    double slowdown = 1;

    std::uint32_t fetches = 0;
    std::uint32_t most_fetches = 0;
    std::uint32_t adapter_loads = 0;
    std::uint32_t most_adapter_loads = 0;
    time_point next_start{};
};

/// What one request needs at a backend server.
struct engine_work
{
    request_id request;
    std::uint32_t attempt = 0;
    model_id model;
    adapter_id adapter;
    std::int32_t priority = 10;
    token_count prompt_tokens = 0;
    token_count output_tokens = 0;
    std::uint64_t offset = 0;
    /// The caller's reference, to count executions of what may not be repeated.
    std::string reference;
    bool crashes_server = false;
};

enum class work_result
{
    completed,
    not_loaded,
    broken
};

using work_done = std::function<void(work_result, token_count used)>;

/// What the engine itself records; invariants are checked against it.
struct engine_record
{
    byte_count most_used = 0;
    std::uint64_t loads = 0;
    /// Loads that no durable decision covered when the order arrived.
    std::uint64_t undecided_loads = 0;
    /// When each execution of a caller's reference began.
    std::map<std::string, std::vector<time_point>> executions_by_reference;
    std::uint64_t crashes = 0;
    /// Time integral of loaded replicas, and of those with work.
    duration loaded_time{0};
    duration busy_time{0};
    time_point last_start{};
};

/// One backend server: a model runner, or a plain service when it has no capacity.
class fake_engine
{
public:
    struct settings
    {
        backend_id id;
        pool_id pool;
        byte_count capacity = 0;
        bool checks_fence = true;
        /// Answers no_memory instead of going over capacity, for policies that do not
        /// reserve.
        bool refuses_over_capacity = false;
        std::uint32_t batch = 16;
        duration prefill_per_token = std::chrono::microseconds(50);
        duration time_per_token = std::chrono::milliseconds(20);
        duration start_time = std::chrono::seconds(2);
        duration disk_read_time = std::chrono::seconds(1);
        duration plain_work = std::chrono::milliseconds(5);
    };

    fake_engine(event_queue& queue, fake_weight_store& weights, settings chosen);

    /// Runs an order; the answer comes when the load has ended.
    void order(engine_order const& wanted, bool decided,
               std::function<void(order_result, incarnation_number)> answer);
    void run(engine_work work, work_done done);
    void cancel(request_id const& request);
    void crash(duration restart_time);
    [[nodiscard]] backend_report report() const;

    /// Whether the model (and adapter, if not empty) is loaded and ready to serve.
    [[nodiscard]] bool holds(model_id const& model, adapter_id const& adapter) const;
    [[nodiscard]] bool up() const { return up_; }
    [[nodiscard]] bool is_plain() const { return settings_.capacity == 0; }
    [[nodiscard]] settings const& chosen() const { return settings_; }
    [[nodiscard]] engine_record& record() { return record_; }
    [[nodiscard]] incarnation_number incarnation() const { return incarnation_; }
    [[nodiscard]] byte_count used() const;
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    /// Brings the time integrals up to date.
    void account();

    bool leaving = false;

private:
    struct task
    {
        engine_work work;
        work_done done;
        std::uint64_t number = 0;
    };

    void load(engine_order const& wanted,
              std::function<void(order_result, incarnation_number)> answer);
    [[nodiscard]] order_result unload(loaded_item const& item);
    [[nodiscard]] duration fetch_duration(loaded_item const& item);
    void start_waiting();
    void start(task next);
    void finish(std::uint64_t number, incarnation_number incarnation);

    event_queue& queue_;
    fake_weight_store& weights_;
    settings settings_;
    bool up_ = true;
    incarnation_number incarnation_ = 1;
    fencing_number highest_fence_ = 0;
    /// Memory is taken when a load starts; `ready_` says when it can serve.
    std::set<loaded_item> loaded_;
    std::set<loaded_item> ready_;
    std::deque<model_id> memory_cache_;
    std::set<model_id> disk_cache_;
    std::map<std::uint64_t, task> running_;
    std::vector<task> waiting_;
    std::uint64_t next_task_ = 0;
    time_point accounted_{};
    engine_record record_;
};

} // namespace carawayturn::bench
