#pragma once

#include "coordination/entry/placement_planner.hpp"
#include "state/entry/time_units.hpp"

#include <algorithm>

// Constants and helper functions shared by placement_planner.cpp, placement_choice.cpp
// and placement_progress.cpp.
namespace carawayturn::entry::placement
{

/// Target number of requests in flight for each copy of a model, as a fraction of the
/// runner's batch size. Above it, prompts wait noticeably for each other's prefill.
inline constexpr double target_batch_fill = 0.25;
/// Time for which a newly loaded model is not unloaded, so that the requests that waited
/// for it can use it.
inline constexpr duration min_residence_time = std::chrono::milliseconds(1500);
/// Time for which a model or adapter that a report or an answer confirmed is kept even if
/// older data lacks it.
inline constexpr duration confirmation_lifetime = std::chrono::seconds(4);
/// Time after which a report shows the effect of an order. Reports are some hundred
/// milliseconds old.
inline constexpr duration report_delay = std::chrono::milliseconds(400);
/// Time for which a runner's record in the store may show the state before an order.
/// Runners write their record at each heartbeat.
inline constexpr duration record_delay = std::chrono::seconds(3);
/// Time between two reports of a runner that the planner requests.
inline constexpr duration report_interval = std::chrono::milliseconds(150);
/// Interval at which the planner considers a prefetch.
inline constexpr duration prefetch_interval = std::chrono::milliseconds(100);
/// A load that takes longer than this many times its usual time is considered failed.
inline constexpr int load_timeout_factor = 4;
/// Time after which an order of the former hub to a runner that has been evacuated since
/// then is considered finished: load_timeout_factor times the time of a long load.
inline constexpr duration unobserved_order_time = std::chrono::seconds(40);
/// Time from the acceptance of an adapter's load order until the adapter is usable.
inline constexpr duration adapter_load_time = std::chrono::milliseconds(40);
/// Time for which a runner that unloads a model refuses other orders, approximately.
inline constexpr duration unload_time = std::chrono::milliseconds(100);
/// Time for which a runner that refused an order gets no further orders.
inline constexpr duration refusal_pause = std::chrono::milliseconds(500);
/// Window in which starts of loads from the weight store are counted, and the share of
/// the configured rate (loads_per_s) that the planner uses.
inline constexpr duration store_window = std::chrono::seconds(5);
inline constexpr double store_window_share = 0.8;
/// A load that took more than this many times its usual time was slowed down by other
/// loads from the weight store.
inline constexpr double slow_load_ratio = 1.2;
/// Step by which a load at full speed raises the limit of concurrent loads from the
/// weight store, and the maximum of that limit. The limit has to recover: otherwise a
/// single slow load, for example one concurrent with loads of a previous hub, would delay
/// all later ones.
inline constexpr double store_concurrency_step = 0.5;
inline constexpr double max_store_concurrency = 8;
/// A prefetch may evict a copy whose value is at most this.
inline constexpr double max_prefetch_victim_value = 0.2;
/// Cost of loading a model on a runner whose batch is full, in seconds of load time. All
/// models on a runner share its batch.
inline constexpr double full_batch_cost_s = 20;
/// A model that is not loaded may evict a model with at most this many requests in flight
/// for each request that one more copy would serve.
inline constexpr double victim_requests_per_request = 2;
/// Added to the value of a copy that the requests in flight need, and of one whose model
/// has waiting requests.
inline constexpr double needed_copy_value = 100;

/// Returns the number of requests in flight that one copy of a model should serve.
inline double requests_per_copy(engine_traits const& engine)
{
    return std::max(1.0, target_batch_fill * engine.slots);
}

inline bool contains(std::vector<std::string> const& items, std::string const& item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

inline loaded_model* find_held(backend_record& record, std::string const& model)
{
    auto const found =
        std::find_if(record.models.begin(), record.models.end(),
                     [&](loaded_model const& held) { return held.name == model; });
    return found == record.models.end() ? nullptr : &*found;
}

inline bool holds_model(std::vector<loaded_model> const& models, std::string const& model)
{
    return std::any_of(models.begin(), models.end(),
                       [&](loaded_model const& held) { return held.name == model; });
}

inline bool holds(backend_record const& record, std::string const& model)
{
    return holds_model(record.models, model);
}

inline double model_weights_size_mb(engine_traits const& engine, std::string const& model)
{
    auto const* const known = engine.find(model);
    return known == nullptr ? engine.memory_mb : known->memory_mb;
}

inline std::size_t adapter_count(backend_record const& record)
{
    std::size_t count = 0;
    for (auto const& held : record.models)
        count += held.adapters.size();
    return count;
}

inline double adapter_size_mb(engine_traits const& engine, std::string const& model)
{
    auto const* const known = engine.find(model);
    return known == nullptr ? 0 : known->adapter_mb;
}

/// Returns the models of a report, including the adapters that are being loaded, since
/// these occupy adapter slots already.
inline std::vector<loaded_model> models_with_pending(runner_report const& report)
{
    auto models = report.models;
    for (auto const& pending : report.pending_adapters)
    {
        auto const key = model_key::parse(pending.substr(0, pending.find('@')));
        for (auto& held : models)
            if (held.name == key.model && !contains(held.adapters, key.adapter))
                held.adapters.push_back(key.adapter);
    }
    return models;
}

inline bool same_models(std::vector<loaded_model> const& some,
                        std::vector<loaded_model> const& others)
{
    return std::is_permutation(some.begin(), some.end(), others.begin(), others.end(),
                               [](loaded_model const& a, loaded_model const& b)
                               { return a.name == b.name; });
}

} // namespace carawayturn::entry::placement
