#include "coordination/entry/placement_planner.hpp"

#include "coordination/entry/placement_detail.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace carawayturn::entry
{

using namespace placement;

std::string_view name_of(load_reason reason)
{
    static constexpr std::array<std::string_view, 3> names{"absent", "crowded", "ahead"};
    return names.at(static_cast<std::size_t>(reason));
}

double placement_planner::used_mb(engine_traits const& engine, runner_state const& runner)
{
    double used = 0;
    for (auto const& held : runner.record.models)
        used += model_weights_size_mb(engine, held.name) +
                adapter_size_mb(engine, held.name) *
                    static_cast<double>(held.adapters.size());
    for (auto const& [key, ready] : runner.loading_adapters)
        used += adapter_size_mb(engine, key.model);
    if (runner.current_load)
        used += model_weights_size_mb(engine, runner.current_load->target.model);
    return used;
}

void placement_planner::reset()
{
    runners_.clear();
    changed_.clear();
    store_load_starts_.clear();
}

void placement_planner::put_runner(backend_record const& record, time_point now)
{
    auto& runner = runners_[record.id];
    bool const new_incarnation =
        runner.record.id.empty() || runner.record.born_ms != record.born_ms;
    if (new_incarnation)
    {
        runner = {};
        runner.record = record;
        update_evacuation(runner, now);
        changed_.insert(record.id);
        return;
    }
    auto next = record;
    // Runners write records at heartbeats, and these may arrive late. The models known
    // from reports and answers are therefore kept. A record that differs although it
    // should show the last order by now makes the planner request a report.
    next.models = runner.record.models;
    if (runner.current_load || now < runner.records_stale_until)
    {
        next.cached_in_memory = runner.record.cached_in_memory;
        next.cached_on_disk = runner.record.cached_on_disk;
    }
    else if (!runner.order_pending && !same_models(record.models, runner.record.models))
    {
        runner.wait_for_report(now);
        runner.records_stale_until = now + record_delay;
    }
    if (runner.record == next)
        return;
    runner.record = std::move(next);
    update_evacuation(runner, now);
    changed_.insert(record.id);
}

void placement_planner::set_models(runner_state& runner, std::vector<loaded_model> models,
                                   time_point now)
{
    std::erase_if(runner.confirmed_at, [&](auto const& entry)
                  { return now - entry.second > confirmation_lifetime; });
    for (auto const& confirmed : runner.confirmed_at)
    {
        auto const& key = confirmed.first;
        auto found = std::find_if(models.begin(), models.end(),
                                  [&](loaded_model const& held)
                                  { return held.name == key.model; });
        if (found == models.end() && key.adapter.empty())
        {
            models.push_back({key.model, 0, {}});
            found = std::prev(models.end());
        }
        if (found != models.end() && !key.adapter.empty() &&
            !contains(found->adapters, key.adapter))
            found->adapters.push_back(key.adapter);
    }
    if (models == runner.record.models)
        return;
    runner.record.models = std::move(models);
    changed_.insert(runner.record.id);
}

void placement_planner::remove_runner(std::string const& id)
{
    runners_.erase(id);
    changed_.erase(id);
}

void placement_planner::set_demand(std::string const& service,
                                   std::map<std::string, model_demand> demand)
{
    std::map<std::string, model_demand> totals;
    for (auto const& [key, value] : demand)
    {
        auto const parsed = model_key::parse(key);
        if (parsed.adapter.empty())
            continue;
        auto& total = totals[parsed.model];
        total.waiting += value.waiting;
        total.in_flight += value.in_flight;
        total.rate += value.rate;
    }
    for (auto const& [model, total] : totals)
    {
        auto& base = demand[model];
        base.waiting += total.waiting;
        base.in_flight += total.in_flight;
        base.rate += total.rate;
    }
    demand_[service] = std::move(demand);
}

void placement_planner::set_in_flight(
    std::map<std::pair<std::string, std::string>, std::uint32_t> const& counts)
{
    in_flight_.clear();
    runner_load_.clear();
    for (auto const& [runner_and_model, count] : counts)
    {
        auto const key = model_key::parse(runner_and_model.second);
        in_flight_[{runner_and_model.first, key.model}] += count;
        runner_load_[runner_and_model.first] += count;
        if (!key.adapter.empty())
            in_flight_[runner_and_model] += count;
    }
}

model_demand placement_planner::demand_of(std::string const& service,
                                          std::string const& key) const
{
    auto const models = demand_.find(service);
    if (models == demand_.end())
        return {};
    auto const found = models->second.find(key);
    return found == models->second.end() ? model_demand{} : found->second;
}

void placement_planner::count_models()
{
    counts_.clear();
    for (auto const& [id, runner] : runners_)
    {
        auto const& record = runner.record;
        if (!runner.serves_requests())
            continue;
        auto& models = counts_[record.service];
        for (auto const& held : record.models)
            models[held.name].copies +=
                contains(runner.models_to_unload, held.name) ? 0 : 1;
        for (auto const& cached : {record.cached_on_disk, record.cached_in_memory})
            for (auto const& model : cached)
                models[model].cached = true;
        if (runner.planned_load)
            ++models[runner.planned_load->target.model].planned;
        if (runner.current_load)
            ++models[runner.current_load->target.model].planned;
    }
}

placement_planner::model_counts
placement_planner::counts_of(std::string const& service, std::string const& model) const
{
    auto const models = counts_.find(service);
    if (models == counts_.end())
        return {};
    auto const found = models->second.find(model);
    return found == models->second.end() ? model_counts{} : found->second;
}

std::uint32_t placement_planner::in_flight_on(std::string const& runner,
                                              std::string const& model) const
{
    auto const found = in_flight_.find({runner, model});
    return found == in_flight_.end() ? 0 : found->second;
}

std::uint32_t placement_planner::in_flight_on_runner(runner_state const& runner) const
{
    auto const found = runner_load_.find(runner.record.id);
    return found == runner_load_.end() ? 0 : found->second;
}

std::optional<runner_order> placement_planner::next_order(runner_state& runner,
                                                          time_point now)
{
    if (!runner.accepts_orders(now) || runner.current_load || !runner.planned_load)
        return std::nullopt;
    auto const* const service = config_->find_service(runner.record.service);
    if (service == nullptr || !service->engine)
        return std::nullopt;
    auto const& engine = *service->engine;
    bool const fits =
        used_mb(engine, runner) +
            model_weights_size_mb(engine, runner.planned_load->target.model) <=
        engine.memory_mb;
    if (runner.models_to_unload.empty() && !fits)
    {
        // Adapters have taken the memory since the load was planned.
        runner.planned_load.reset();
        return std::nullopt;
    }
    runner_order order;
    order.runner = runner.record.id;
    order.address = runner.record.address;
    order.expected_count = runner.order_count;
    order.reason = runner.planned_load->reason;
    order.from_store = runner.planned_load->from_store;
    if (!runner.models_to_unload.empty())
    {
        order.operation = runner_order::action::unload;
        order.target = {runner.models_to_unload.back(), ""};
    }
    else
    {
        order.target = runner.planned_load->target;
        if (runner.planned_load->from_store)
            store_load_starts_.push_back(now);
    }
    runner.order_pending = true;
    return order;
}

void placement_planner::confirm_loaded_adapters(time_point now)
{
    for (auto& [id, runner] : runners_)
    {
        std::vector<model_key> arrived;
        for (auto const& [key, ready] : runner.loading_adapters)
            if (ready <= now)
                arrived.push_back(key);
        for (auto const& key : arrived)
        {
            runner.loading_adapters.erase(key);
            runner.confirmed_at[key] = now;
            runner.adapter_last_used[key] = now;
        }
        if (!arrived.empty())
            set_models(runner, runner.record.models, now);
    }
}

std::vector<runner_order> placement_planner::plan(time_point now)
{
    std::vector<runner_order> orders;
    if (config_ == nullptr)
        return orders;
    confirm_loaded_adapters(now);
    drop_unobserved_loads(now);
    count_models();
    for (auto const& service : config_->services)
    {
        if (!service.engine)
            continue;
        plan_models(service, now);
        plan_prefetch(service, now);
        plan_adapters(service, now, orders);
    }
    for (auto& [id, runner] : runners_)
        if (auto order = next_order(runner, now))
            orders.push_back(std::move(*order));
    return orders;
}

backend_record const* placement_planner::find_record(std::string const& id) const
{
    auto const found = runners_.find(id);
    return found == runners_.end() ? nullptr : &found->second.record;
}

std::vector<std::string> placement_planner::take_changed_runners()
{
    std::vector<std::string> changed(changed_.begin(), changed_.end());
    changed_.clear();
    return changed;
}

std::vector<std::pair<std::string, std::string>>
placement_planner::unloading_models() const
{
    std::vector<std::pair<std::string, std::string>> found;
    for (auto const& [id, runner] : runners_)
        for (auto const& model : runner.models_to_unload)
            found.emplace_back(id, model);
    return found;
}

} // namespace carawayturn::entry
