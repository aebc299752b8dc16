#include "coordination/entry/placement_detail.hpp"

#include <cmath>

namespace carawayturn::entry
{

using namespace placement;

double placement_planner::copy_value(service_config const& service,
                                     std::string const& model) const
{
    auto const* const known = service.engine->find(model);
    double const reload = known == nullptr ? 1.0 : to_seconds(known->disk_load_time);
    auto const demand = demand_of(service.name, model);
    auto const count = std::max(counts_of(service.name, model).copies, 1U);
    // The added rate keeps the values of models without recent requests above zero, so
    // that these models still differ by load time and number of copies.
    double value = (demand.rate + 0.005) * reload / (count * count);
    if (demand.in_flight > 0 && count <= wanted_copies(service, model))
        value += needed_copy_value;
    if (demand.waiting > 0)
        value += needed_copy_value;
    return value;
}

std::uint32_t placement_planner::wanted_copies(service_config const& service,
                                               std::string const& model) const
{
    auto const demand = demand_of(service.name, model);
    return static_cast<std::uint32_t>(std::ceil((demand.waiting + demand.in_flight) /
                                                requests_per_copy(*service.engine)));
}

std::uint32_t placement_planner::pending_store_loads() const
{
    std::uint32_t count = 0;
    for (auto const& [id, runner] : runners_)
    {
        count += runner.current_load && runner.current_load->from_store ? 1 : 0;
        count += runner.planned_load && runner.planned_load->from_store ? 1 : 0;
        // The order of the previous hub may be a load from the weight store.
        count += runner.runs_previous_hub_order ? 1 : 0;
    }
    return count;
}

bool placement_planner::store_load_allowed(engine_traits const& engine, time_point now)
{
    std::erase_if(store_load_starts_,
                  [&](time_point begin) { return now - begin > store_window; });
    double const allowed =
        std::max(1.0, engine.loads_per_s * to_seconds(store_window) * store_window_share);
    // The limit is rounded down unless its fraction is at least 0.75.
    return pending_store_loads() + 1 <=
               std::max(1.0, std::floor(store_concurrency_ + 0.25)) &&
           static_cast<double>(store_load_starts_.size()) + 1 <= allowed;
}

bool placement_planner::choose_victims(service_config const& service,
                                       runner_state& runner, hosted_model const& model,
                                       time_point now, eviction_limit limit,
                                       load_option& option)
{
    auto const& engine = *service.engine;
    double free_mb = engine.memory_mb - used_mb(engine, runner);
    struct victim
    {
        std::string name;
        double value = 0;
        double size = 0;
    };
    std::vector<victim> victims;
    for (auto const& held : runner.record.models)
    {
        auto const confirmed = runner.confirmed_at.find({held.name, ""});
        if (confirmed != runner.confirmed_at.end() &&
            now - confirmed->second < min_residence_time)
            continue;
        auto const running = in_flight_on(runner.record.id, held.name);
        if (running > limit.max_in_flight)
            continue;
        double const value = copy_value(service, held.name) + running;
        if (value > limit.max_value)
            continue;
        victims.push_back({held.name, value, model_weights_size_mb(engine, held.name)});
    }
    std::sort(victims.begin(), victims.end(),
              [](victim const& a, victim const& b) { return a.value < b.value; });
    for (auto const& candidate : victims)
    {
        if (free_mb >= model.memory_mb)
            break;
        free_mb += candidate.size;
        option.victims.push_back(candidate.name);
        option.cost += candidate.value;
    }
    return free_mb >= model.memory_mb;
}

std::optional<placement_planner::load_option>
placement_planner::best_option(service_config const& service, hosted_model const& model,
                               time_point now, bool store_allowed, eviction_limit limit)
{
    std::optional<load_option> best;
    for (auto& [id, runner] : runners_)
    {
        auto const& record = runner.record;
        if (record.service != service.name || !runner.accepts_orders(now) ||
            runner.current_load || runner.planned_load || holds(record, model.name))
            continue;
        load_option option;
        option.runner = &runner;
        option.load_time = model.store_load_time;
        option.from_store = true;
        if (contains(record.cached_on_disk, model.name))
        {
            option.load_time = model.disk_load_time;
            option.from_store = false;
        }
        if (contains(record.cached_in_memory, model.name))
        {
            option.load_time = model.memory_load_time;
            option.from_store = false;
        }
        if (option.from_store && !store_allowed)
            continue;
        option.cost = to_seconds(option.load_time) + full_batch_cost_s *
                                                         in_flight_on_runner(runner) /
                                                         service.engine->slots;
        if (!choose_victims(service, runner, model, now, limit, option))
            continue;
        if (!best || option.cost < best->cost)
            best = std::move(option);
    }
    return best;
}

void placement_planner::plan_load(load_option const& option, hosted_model const& model,
                                  load_reason reason, time_point now)
{
    auto& runner = *option.runner;
    runner.models_to_unload = option.victims;
    runner.planned_load =
        load_task{{model.name, ""}, reason, option.from_store, option.load_time, now, 0};
    auto& counts = counts_[runner.record.service];
    ++counts[model.name].planned;
    for (auto const& victim : option.victims)
    {
        auto& copies = counts[victim].copies;
        copies -= std::min(copies, 1U);
    }
}

std::vector<placement_planner::needed_model>
placement_planner::needed_models(service_config const& service) const
{
    std::vector<needed_model> needed;
    double const per_copy = requests_per_copy(*service.engine);
    for (auto const& model : service.engine->models)
    {
        auto const demand = demand_of(service.name, model.name);
        auto const counts = counts_of(service.name, model.name);
        auto const copies = counts.copies + counts.planned;
        double const requests = demand.waiting + demand.in_flight - copies * per_copy;
        if (requests <= 0)
            continue;
        auto const reason =
            copies == 0 ? load_reason::absent : load_reason::too_few_copies;
        bool const urgent = !evacuated_.empty() && demand.waiting > 0;
        needed.push_back({&model, requests, reason, urgent});
    }
    std::stable_sort(needed.begin(), needed.end(),
                     [](needed_model const& a, needed_model const& b) {
                         return a.urgent != b.urgent ? a.urgent : a.requests > b.requests;
                     });
    return needed;
}

void placement_planner::plan_models(service_config const& service, time_point now)
{
    for (auto const& needed : needed_models(service))
    {
        auto const& model = *needed.model;
        bool const absent = needed.reason == load_reason::absent;
        bool const store = store_load_allowed(*service.engine, now);
        // The default limit allows the eviction of models of any value that have no
        // requests in flight.
        auto option = best_option(service, model, now, store, {});
        if (!option && absent)
        {
            eviction_limit limit;
            limit.max_in_flight =
                static_cast<std::uint32_t>(victim_requests_per_request * needed.requests);
            option = best_option(service, model, now, store, limit);
        }
        if (option && (absent || option->cost < needed_copy_value))
            plan_load(*option, model, needed.reason, now);
    }
}

void placement_planner::plan_prefetch(service_config const& service, time_point now)
{
    if (now < next_prefetch_ || !store_load_allowed(*service.engine, now))
        return;
    next_prefetch_ = now + prefetch_interval;
    hosted_model const* next = nullptr;
    double best_rate = -1;
    for (auto const& model : service.engine->models)
    {
        auto const counts = counts_of(service.name, model.name);
        if (counts.copies + counts.planned > 0 || counts.cached)
            continue;
        double const rate = demand_of(service.name, model.name).rate;
        if (rate <= best_rate)
            continue;
        best_rate = rate;
        next = &model;
    }
    if (next == nullptr)
        return;
    auto const option =
        best_option(service, *next, now, true,
                    eviction_limit{max_prefetch_victim_value, /*max_in_flight=*/0});
    if (option)
        plan_load(*option, *next, load_reason::prefetch, now);
}

std::optional<runner_order> placement_planner::adapter_order(engine_traits const& engine,
                                                             runner_state& runner,
                                                             model_key const& target)
{
    runner_order order;
    order.runner = runner.record.id;
    order.address = runner.record.address;
    order.expected_count = runner.order_count;
    order.target = target;
    bool const fits = used_mb(engine, runner) + adapter_size_mb(engine, target.model) <=
                      engine.memory_mb;
    if (fits && adapter_count(runner.record) + runner.loading_adapters.size() <
                    engine.adapter_slots)
        return order;
    // There is no room for the adapter: unload the idle one that was used least recently.
    std::optional<model_key> oldest;
    time_point oldest_use = time_point::max();
    for (auto const& held : runner.record.models)
    {
        for (auto const& adapter : held.adapters)
        {
            model_key const key{held.name, adapter};
            if (in_flight_on(runner.record.id, key.str()) > 0)
                continue;
            auto const used = runner.adapter_last_used.find(key);
            auto const last =
                used == runner.adapter_last_used.end() ? time_point{} : used->second;
            if (last >= oldest_use)
                continue;
            oldest_use = last;
            oldest = key;
        }
    }
    if (!oldest)
        return std::nullopt;
    order.operation = runner_order::action::unload;
    order.target = *oldest;
    return order;
}

void placement_planner::plan_adapters(service_config const& service, time_point now,
                                      std::vector<runner_order>& orders)
{
    auto const models = demand_.find(service.name);
    if (models == demand_.end())
        return;
    for (auto const& [text, demand] : models->second)
    {
        auto const key = model_key::parse(text);
        if (key.adapter.empty())
            continue;
        runner_state* best = nullptr;
        std::uint32_t best_in_flight = 0;
        bool present = false;
        for (auto& [id, runner] : runners_)
        {
            auto* const held = find_held(runner.record, key.model);
            if (runner.record.service != service.name || held == nullptr)
                continue;
            if (demand.in_flight > 0 && in_flight_on(id, text) > 0)
                runner.adapter_last_used[key] = now;
            if (contains(held->adapters, key.adapter) ||
                runner.loading_adapters.count(key) != 0)
                present = present || runner.serves_requests();
            auto const in_flight = in_flight_on(id, key.model);
            if (!runner.accepts_orders(now) ||
                contains(runner.models_to_unload, key.model))
                continue;
            if (best == nullptr || in_flight < best_in_flight)
            {
                best = &runner;
                best_in_flight = in_flight;
            }
        }
        if (demand.waiting == 0 || present || best == nullptr)
            continue;
        auto const order = adapter_order(*service.engine, *best, key);
        if (!order)
            continue;
        best->order_pending = true;
        orders.push_back(*order);
    }
}

std::vector<load_estimate> placement_planner::estimates(time_point now) const
{
    std::vector<load_estimate> found;
    for (auto const& [service, models] : demand_)
    {
        auto const* const known = config_ ? config_->find_service(service) : nullptr;
        if (known == nullptr || !known->engine)
            continue;
        std::uint32_t queued = 0;
        for (auto const& [text, demand] : models)
        {
            auto const key = model_key::parse(text);
            auto const* const model = known->engine->find(key.model);
            if (demand.waiting == 0 || !key.adapter.empty() || model == nullptr)
                continue;
            duration ready = duration::max();
            for (auto const& [id, runner] : runners_)
            {
                if (runner.evacuated)
                    continue;
                if (runner.current_load && runner.current_load->target.model == key.model)
                    ready = std::min(ready, runner.current_load->started +
                                                runner.current_load->load_time - now);
                if (runner.planned_load && runner.planned_load->target.model == key.model)
                    ready = std::min(ready, runner.planned_load->load_time);
            }
            auto const counts = counts_of(service, key.model);
            if (ready == duration::max() && counts.copies > 0)
                continue;
            if (ready == duration::max() && counts.cached)
                ready = model->disk_load_time;
            if (ready == duration::max())
            {
                // Loads from the weight store run in rounds of store_concurrency_ loads.
                // The model is expected half a load time after the end of its round.
                ++queued;
                double const rounds = 1 + std::ceil((queued + pending_store_loads()) /
                                                    std::max(store_concurrency_, 1.0));
                ready = std::chrono::duration_cast<duration>(model->store_load_time *
                                                             std::max(rounds - 0.5, 1.0));
            }
            found.push_back({service, key, std::max(ready, duration::zero())});
        }
    }
    return found;
}

} // namespace carawayturn::entry
