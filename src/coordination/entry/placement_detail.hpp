#pragma once

#include "coordination/entry/placement_planner.hpp"
#include "state/entry/time_units.hpp"

#include <algorithm>

// Constants and helpers of placement_planner.cpp, placement_choice.cpp and
// placement_progress.cpp.
namespace carawayturn::entry::placement
{

/// Requests in flight that one copy of a model should carry, in parts of the batch.
/// Beyond it prompts wait noticeably for each other's prefill.
inline constexpr double target_batch_fill = 0.25;
/// A model that has just been loaded is not unloaded for this long, so that those who
/// waited for it can use it.
inline constexpr duration min_residence_time = std::chrono::milliseconds(1500);
/// What a report or an answer told is kept for this long against older records.
inline constexpr duration confirmation_lifetime = std::chrono::seconds(4);
/// Reports are some hundred milliseconds old; an unknown outcome shows after this time.
inline constexpr duration report_delay = std::chrono::milliseconds(400);
/// Runners write their record at each heartbeat; it may show the state before an order
/// for this long.
inline constexpr duration record_delay = std::chrono::seconds(3);
inline constexpr duration report_interval = std::chrono::milliseconds(150);
/// How often a load in advance is considered.
inline constexpr duration prefetch_interval = std::chrono::milliseconds(100);
/// A load that takes this many times its usual time has failed.
inline constexpr int load_timeout_factor = 4;
/// An adapter is usable this long after its order was accepted.
inline constexpr duration adapter_load_time = std::chrono::milliseconds(40);
/// A runner that unloads a model refuses other orders for about this long.
inline constexpr duration unload_time = std::chrono::milliseconds(100);
/// A runner that refused an order is left alone for this long.
inline constexpr duration refusal_pause = std::chrono::milliseconds(500);
/// Window and part of the allowed begins of loads from the weight store that is used.
inline constexpr duration store_window = std::chrono::seconds(5);
inline constexpr double store_window_share = 0.8;
/// A load that took longer than this many times its usual time shared the weight store.
inline constexpr double slow_load_ratio = 1.2;
/// What a load at full speed adds to the number of loads at once, and its bound. One slow
/// load, for example beside those of a former hub, must not hold back all later ones.
inline constexpr double store_concurrency_step = 0.5;
inline constexpr double max_store_concurrency = 8;
/// A copy with a lower value may make way for a model that nobody waits for.
inline constexpr double max_prefetch_victim_value = 0.2;
/// What a runner whose batch is full costs a model that is loaded there, in seconds of
/// load time: everything that a runner holds shares its batch.
inline constexpr double full_batch_cost_s = 20;
/// A model that requests wait for displaces one with at most this many times as many
/// requests in flight.
inline constexpr double victim_requests_per_request = 2;
/// Weight of each copy that is needed for the requests in flight.
inline constexpr double needed_copy_value = 100;

/// Requests in flight that one copy of a model should carry.
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

inline double weights_mb(engine_traits const& engine, std::string const& model)
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

/// The models of a report with the adapters that are on their way to the runner, which
/// take places already.
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
