#include "coordination/entry/placement_planner.hpp"

#include <algorithm>
#include <cmath>

namespace carawayturn::entry
{

namespace
{

/// Requests in flight that one copy of a model should carry, in parts of the batch.
/// Beyond it prompts wait noticeably for each other's prefill.
constexpr double copy_target = 0.25;
/// A model that has just been loaded is not unloaded for this long, so that those who
/// waited for it can use it.
constexpr duration settle_time = std::chrono::milliseconds(1500);
/// What a report or an answer told is kept for this long against older records.
constexpr duration confirmation_time = std::chrono::seconds(4);
/// Reports are some hundred milliseconds old; an unknown outcome shows after this time.
constexpr duration report_lag = std::chrono::milliseconds(400);
/// Runners write their record at each heartbeat; it may show the state before an order
/// for this long.
constexpr duration record_lag = std::chrono::seconds(3);
constexpr duration report_interval = std::chrono::milliseconds(150);
/// How often a load in advance is considered.
constexpr duration prefetch_interval = std::chrono::milliseconds(100);
/// A load that takes this many times its usual time has failed.
constexpr int give_up_factor = 4;
/// An adapter is usable this long after its order was accepted.
constexpr duration adapter_arrival = std::chrono::milliseconds(40);
/// A runner that refused an order is left alone for this long.
constexpr duration refusal_pause = std::chrono::milliseconds(500);
/// Window and part of the allowed begins of loads from the weight store that is used.
constexpr duration store_window = std::chrono::seconds(5);
constexpr double store_window_part = 0.8;
/// A load that took longer than this many times its usual time shared the weight store.
constexpr double shared_load_ratio = 1.2;
/// A copy with a lower value may make way for a model that nobody waits for.
constexpr double cheap_copy_value = 0.2;
/// Weight of each copy that is needed for the requests in flight.
constexpr double needed_copy_value = 100;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

bool contains(std::vector<std::string> const& items, std::string const& item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

held_model* find_held(backend_record& record, std::string const& model)
{
    auto const found =
        std::find_if(record.models.begin(), record.models.end(),
                     [&](held_model const& held) { return held.name == model; });
    return found == record.models.end() ? nullptr : &*found;
}

bool holds(backend_record const& record, std::string const& model)
{
    return find_held(const_cast<backend_record&>(record), model) != nullptr;
}

double weights_of(engine_traits const& engine, std::string const& model)
{
    auto const* const known = engine.find(model);
    return known == nullptr ? engine.weights_mb : known->weights_mb;
}

std::size_t adapter_count(backend_record const& record)
{
    std::size_t count = 0;
    for (auto const& held : record.models)
        count += held.adapters.size();
    return count;
}

double adapter_size(engine_traits const& engine, std::string const& model)
{
    auto const* const known = engine.find(model);
    return known == nullptr ? 0 : known->adapter_mb;
}

/// The models of a report with the adapters that are on their way to the runner, which
/// take places already.
std::vector<held_model> models_with_pending(runner_report const& report)
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

bool same_models(std::vector<held_model> const& some,
                 std::vector<held_model> const& others)
{
    return std::is_permutation(some.begin(), some.end(), others.begin(), others.end(),
                               [](held_model const& a, held_model const& b)
                               { return a.name == b.name; });
}

} // namespace

double placement_planner::used_mb(engine_traits const& engine, runner_state const& runner)
{
    double used = 0;
    for (auto const& held : runner.record.models)
        used +=
            weights_of(engine, held.name) +
            adapter_size(engine, held.name) * static_cast<double>(held.adapters.size());
    for (auto const& [key, ready] : runner.arriving)
        used += adapter_size(engine, key.model);
    if (runner.loading)
        used += weights_of(engine, runner.loading->target.model);
    return used;
}

void placement_planner::reset()
{
    runners_.clear();
    changed_.clear();
    store_load_begins_.clear();
}

void placement_planner::put_runner(backend_record const& record, time_point now)
{
    auto& runner = runners_[record.id];
    bool const fresh =
        runner.record.id.empty() || runner.record.born_ms != record.born_ms;
    if (fresh)
    {
        runner = {};
        runner.record = record;
        changed_.insert(record.id);
        return;
    }
    auto next = record;
    // Records are written at heartbeats and may arrive late, so they never replace what
    // reports and answers told; one that differs for long calls for a report.
    next.models = runner.record.models;
    if (runner.loading || now < runner.records_old_until)
    {
        next.cached_in_memory = runner.record.cached_in_memory;
        next.cached_on_disk = runner.record.cached_on_disk;
    }
    else if (!runner.order_out && !same_models(record.models, runner.record.models))
    {
        runner.unsure = true;
        runner.next_report = now;
        runner.records_old_until = now + record_lag;
    }
    if (runner.record == next)
        return;
    runner.record = std::move(next);
    changed_.insert(record.id);
}

void placement_planner::adopt(runner_state& runner, std::vector<held_model> models,
                              time_point now)
{
    std::erase_if(runner.confirmed, [&](auto const& entry)
                  { return now - entry.second > confirmation_time; });
    for (auto const& confirmed : runner.confirmed)
    {
        auto const& key = confirmed.first;
        auto found =
            std::find_if(models.begin(), models.end(),
                         [&](held_model const& held) { return held.name == key.model; });
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

void placement_planner::keep_only(std::set<std::string> const& ids)
{
    std::erase_if(runners_,
                  [&](auto const& entry) { return ids.count(entry.first) == 0; });
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
    for (auto const& [place, count] : counts)
    {
        auto const key = model_key::parse(place.second);
        in_flight_[{place.first, key.model}] += count;
        if (!key.adapter.empty())
            in_flight_[place] += count;
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
        if (record.draining)
            continue;
        auto& models = counts_[record.service];
        for (auto const& held : record.models)
            models[held.name].copies += contains(runner.victims, held.name) ? 0 : 1;
        for (auto const& cached : {record.cached_on_disk, record.cached_in_memory})
            for (auto const& model : cached)
                models[model].cached = true;
        if (runner.goal)
            ++models[runner.goal->target.model].planned;
        if (runner.loading)
            ++models[runner.loading->target.model].planned;
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

std::uint32_t placement_planner::wanted_copies(served_service const& service,
                                               std::string const& model) const
{
    auto const demand = demand_of(service.name, model);
    double const per_copy = std::max(1.0, copy_target * service.engine->slots);
    return static_cast<std::uint32_t>(std::ceil(demand.in_flight / per_copy));
}

double placement_planner::copy_value(served_service const& service,
                                     std::string const& model) const
{
    auto const* const known = service.engine->find(model);
    double const reload = known == nullptr ? 1.0 : seconds(known->disk_load);
    auto const demand = demand_of(service.name, model);
    auto const count = std::max(counts_of(service.name, model).copies, 1U);
    double value = (demand.rate + 0.005) * reload / (count * count);
    if (demand.in_flight > 0 && count <= wanted_copies(service, model))
        value += needed_copy_value;
    if (demand.waiting > 0)
        value += needed_copy_value;
    return value;
}

std::uint32_t placement_planner::store_loads() const
{
    std::uint32_t count = 0;
    for (auto const& [id, runner] : runners_)
    {
        count += runner.loading && runner.loading->from_store ? 1 : 0;
        count += runner.goal && runner.goal->from_store ? 1 : 0;
    }
    return count;
}

bool placement_planner::store_load_allowed(engine_traits const& engine, time_point now)
{
    std::erase_if(store_load_begins_,
                  [&](time_point begin) { return now - begin > store_window; });
    double const allowed =
        std::max(1.0, engine.loads_per_s * seconds(store_window) * store_window_part);
    return store_loads() + 1 <= std::max(1.0, std::floor(store_width_ + 0.25)) &&
           static_cast<double>(store_load_begins_.size()) + 1 <= allowed;
}

bool placement_planner::choose_victims(served_service const& service,
                                       runner_state& runner, hosted_model const& model,
                                       time_point now, victim_rule rule,
                                       plan_option& option)
{
    auto const& engine = *service.engine;
    double room = engine.weights_mb - used_mb(engine, runner);
    struct victim
    {
        std::string name;
        double value = 0;
        double size = 0;
    };
    std::vector<victim> victims;
    for (auto const& held : runner.record.models)
    {
        auto const confirmed = runner.confirmed.find({held.name, ""});
        if (confirmed != runner.confirmed.end() && now - confirmed->second < settle_time)
            continue;
        auto const running = in_flight_on(runner.record.id, held.name);
        if (running > 0 && rule != victim_rule::any)
            continue;
        double const value = copy_value(service, held.name) + running;
        if (rule == victim_rule::cheap && value > cheap_copy_value)
            continue;
        victims.push_back({held.name, value, weights_of(engine, held.name)});
    }
    std::sort(victims.begin(), victims.end(),
              [](victim const& a, victim const& b) { return a.value < b.value; });
    for (auto const& candidate : victims)
    {
        if (room >= model.weights_mb)
            break;
        room += candidate.size;
        option.victims.push_back(candidate.name);
        option.cost += candidate.value;
    }
    return room >= model.weights_mb;
}

std::optional<placement_planner::plan_option>
placement_planner::best_option(served_service const& service, hosted_model const& model,
                               time_point now, bool store_allowed, victim_rule rule)
{
    std::optional<plan_option> best;
    for (auto& [id, runner] : runners_)
    {
        auto const& record = runner.record;
        if (record.service != service.name || !runner.free_for_orders(now) ||
            runner.loading || runner.goal || holds(record, model.name))
            continue;
        plan_option option;
        option.runner = &runner;
        option.load_time = model.store_load;
        option.from_store = true;
        if (contains(record.cached_on_disk, model.name))
        {
            option.load_time = model.disk_load;
            option.from_store = false;
        }
        if (contains(record.cached_in_memory, model.name))
        {
            option.load_time = model.memory_load;
            option.from_store = false;
        }
        if (option.from_store && !store_allowed)
            continue;
        option.cost = seconds(option.load_time);
        if (!choose_victims(service, runner, model, now, rule, option))
            continue;
        if (!best || option.cost < best->cost)
            best = std::move(option);
    }
    return best;
}

void placement_planner::start_goal(plan_option const& option, hosted_model const& model,
                                   time_point now)
{
    auto& runner = *option.runner;
    runner.victims = option.victims;
    runner.goal = job{{model.name, ""}, option.from_store, option.load_time, now, 0};
    auto& counts = counts_[runner.record.service];
    ++counts[model.name].planned;
    for (auto const& victim : option.victims)
    {
        auto& copies = counts[victim].copies;
        copies -= std::min(copies, 1U);
    }
}

void placement_planner::plan_models(served_service const& service, time_point now)
{
    struct wanted_model
    {
        hosted_model const* model = nullptr;
        std::uint32_t waiting = 0;
    };
    std::vector<wanted_model> wanted;
    for (auto const& model : service.engine->models)
    {
        auto const demand = demand_of(service.name, model.name);
        if (demand.waiting == 0)
            continue;
        auto const counts = counts_of(service.name, model.name);
        if (counts.copies + counts.planned == 0)
            wanted.push_back({&model, demand.waiting});
    }
    std::stable_sort(wanted.begin(), wanted.end(),
                     [](wanted_model const& a, wanted_model const& b)
                     { return a.waiting > b.waiting; });
    for (auto const& entry : wanted)
    {
        bool const store = store_load_allowed(*service.engine, now);
        auto option = best_option(service, *entry.model, now, store, victim_rule::idle);
        if (!option)
            option = best_option(service, *entry.model, now, store, victim_rule::any);
        if (option)
            start_goal(*option, *entry.model, now);
    }
}

void placement_planner::plan_copies(served_service const& service, time_point now)
{
    for (auto const& model : service.engine->models)
    {
        if (demand_of(service.name, model.name).in_flight == 0)
            continue;
        auto const counts = counts_of(service.name, model.name);
        if (counts.copies + counts.planned >= wanted_copies(service, model.name))
            continue;
        bool const store = store_load_allowed(*service.engine, now);
        auto const option = best_option(service, model, now, store, victim_rule::idle);
        if (option && option->cost < needed_copy_value)
            start_goal(*option, model, now);
    }
}

void placement_planner::plan_prefetch(served_service const& service, time_point now)
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
    auto const option = best_option(service, *next, now, true, victim_rule::cheap);
    if (option)
        start_goal(*option, *next, now);
}

std::optional<runner_order> placement_planner::next_order(runner_state& runner,
                                                          time_point now)
{
    if (!runner.free_for_orders(now) || runner.loading || !runner.goal)
        return std::nullopt;
    auto const* const service = config_->find_service(runner.record.service);
    if (service == nullptr || !service->engine)
        return std::nullopt;
    auto const& engine = *service->engine;
    bool const fits =
        used_mb(engine, runner) + weights_of(engine, runner.goal->target.model) <=
        engine.weights_mb;
    if (runner.victims.empty() && !fits)
    {
        // Adapters took the room since the goal was set.
        runner.goal.reset();
        return std::nullopt;
    }
    runner_order order;
    order.runner = runner.record.id;
    order.address = runner.record.address;
    order.expected_count = runner.order_count;
    if (!runner.victims.empty())
    {
        order.what = runner_order::action::unload;
        order.target = {runner.victims.back(), ""};
    }
    else
    {
        order.target = runner.goal->target;
        if (runner.goal->from_store)
            store_load_begins_.push_back(now);
    }
    runner.order_out = true;
    return order;
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
    bool const fits =
        used_mb(engine, runner) + adapter_size(engine, target.model) <= engine.weights_mb;
    if (fits &&
        adapter_count(runner.record) + runner.arriving.size() < engine.adapter_slots)
        return order;
    std::optional<model_key> oldest;
    time_point oldest_use = time_point::max();
    for (auto const& held : runner.record.models)
    {
        for (auto const& adapter : held.adapters)
        {
            model_key const key{held.name, adapter};
            if (in_flight_on(runner.record.id, key.str()) > 0)
                continue;
            auto const used = runner.adapter_used.find(key);
            auto const last =
                used == runner.adapter_used.end() ? time_point{} : used->second;
            if (last >= oldest_use)
                continue;
            oldest_use = last;
            oldest = key;
        }
    }
    if (!oldest)
        return std::nullopt;
    order.what = runner_order::action::unload;
    order.target = *oldest;
    return order;
}

void placement_planner::plan_adapters(served_service const& service, time_point now,
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
        std::uint32_t best_load = 0;
        bool present = false;
        for (auto& [id, runner] : runners_)
        {
            auto* const held = find_held(runner.record, key.model);
            if (runner.record.service != service.name || held == nullptr)
                continue;
            if (demand.in_flight > 0 && in_flight_on(id, text) > 0)
                runner.adapter_used[key] = now;
            if (contains(held->adapters, key.adapter) || runner.arriving.count(key) != 0)
                present = present || !runner.record.draining;
            auto const load = in_flight_on(id, key.model);
            if (!runner.free_for_orders(now) || contains(runner.victims, key.model))
                continue;
            if (best == nullptr || load < best_load)
            {
                best = &runner;
                best_load = load;
            }
        }
        if (demand.waiting == 0 || present || best == nullptr)
            continue;
        auto const order = adapter_order(*service.engine, *best, key);
        if (!order)
            continue;
        best->order_out = true;
        orders.push_back(*order);
    }
}

void placement_planner::take_arrived(time_point now)
{
    for (auto& [id, runner] : runners_)
    {
        std::vector<model_key> arrived;
        for (auto const& [key, ready] : runner.arriving)
            if (ready <= now)
                arrived.push_back(key);
        for (auto const& key : arrived)
        {
            runner.arriving.erase(key);
            runner.confirmed[key] = now;
            runner.adapter_used[key] = now;
        }
        if (!arrived.empty())
            adopt(runner, runner.record.models, now);
    }
}

std::vector<runner_order> placement_planner::plan(time_point now)
{
    std::vector<runner_order> orders;
    if (config_ == nullptr)
        return orders;
    take_arrived(now);
    count_models();
    for (auto const& service : config_->services)
    {
        if (!service.engine)
            continue;
        plan_models(service, now);
        plan_copies(service, now);
        plan_prefetch(service, now);
        plan_adapters(service, now, orders);
    }
    for (auto& [id, runner] : runners_)
        if (auto order = next_order(runner, now))
            orders.push_back(std::move(*order));
    return orders;
}

void placement_planner::load_accepted(runner_state& runner, runner_order const& order,
                                      time_point now)
{
    if (!order.target.adapter.empty())
    {
        runner.arriving[order.target] = now + adapter_arrival;
        return;
    }
    if (!runner.goal)
        return;
    runner.loading = std::move(runner.goal);
    runner.goal.reset();
    runner.loading->started = now;
    runner.loading->store_width = store_loads();
    runner.next_report = now + runner.loading->load_time;
}

void placement_planner::unload_done(runner_state& runner, model_key const& target)
{
    runner.confirmed.erase(target);
    if (target.adapter.empty())
    {
        std::erase(runner.victims, target.model);
        std::erase_if(runner.confirmed, [&](auto const& entry)
                      { return entry.first.model == target.model; });
        std::erase_if(runner.record.models,
                      [&](held_model const& held) { return held.name == target.model; });
    }
    else if (auto* const held = find_held(runner.record, target.model))
    {
        std::erase(held->adapters, target.adapter);
    }
    changed_.insert(runner.record.id);
}

void placement_planner::order_answered(runner_order const& order, order_outcome outcome,
                                       time_point now)
{
    auto const found = runners_.find(order.runner);
    if (found == runners_.end())
        return;
    auto& runner = found->second;
    if (!runner.order_out)
        return;
    runner.order_out = false;
    switch (outcome)
    {
    case order_outcome::accepted:
    case order_outcome::done:
        runner.order_count = order.expected_count + 1;
        runner.records_old_until = now + record_lag;
        if (order.what == runner_order::action::unload && !order.target.adapter.empty() &&
            outcome == order_outcome::accepted)
        {
            // A request uses the adapter; it keeps its place until a report lacks it.
            runner.unsure = true;
            runner.next_report = now + report_lag;
        }
        else if (order.what == runner_order::action::unload)
            unload_done(runner, order.target);
        else
            load_accepted(runner, order, now);
        break;
    case order_outcome::conflict:
        runner.unsure = true;
        runner.next_report = now + report_interval;
        break;
    case order_outcome::unknown:
        runner.unsure = true;
        runner.next_report = now + report_lag;
        break;
    case order_outcome::rejected:
        runner.goal.reset();
        runner.victims.clear();
        runner.unsure = true;
        runner.next_report = now + report_lag;
        runner.not_before = now + refusal_pause;
        break;
    }
}

std::vector<std::string> placement_planner::wanted_reports(time_point now)
{
    std::vector<std::string> wanted;
    for (auto& [id, runner] : runners_)
    {
        if (runner.report_out || runner.order_out || now < runner.next_report)
            continue;
        if (!runner.unsure && !runner.loading)
            continue;
        runner.report_out = true;
        wanted.push_back(id);
    }
    return wanted;
}

void placement_planner::learn_store_width(job const& done, time_point now)
{
    if (!done.from_store || done.store_width == 0)
        return;
    double const took = seconds(now - done.started - report_lag);
    double const ratio = took / std::max(seconds(done.load_time), 0.1);
    if (ratio > shared_load_ratio)
        store_width_ = std::clamp(done.store_width / ratio, 1.0, store_width_);
}

void placement_planner::load_done(runner_state& runner, time_point now)
{
    auto const done = *runner.loading;
    runner.loading.reset();
    learn_store_width(done, now);
    runner.confirmed[done.target] = now;
    if (!contains(runner.record.cached_on_disk, done.target.model))
        runner.record.cached_on_disk.push_back(done.target.model);
    changed_.insert(runner.record.id);
}

void placement_planner::reported(std::string const& id, runner_report const& report,
                                 time_point now)
{
    auto const found = runners_.find(id);
    if (found == runners_.end())
        return;
    auto& runner = found->second;
    runner.report_out = false;
    runner.next_report = now + report_interval;
    if (report.born_ms && *report.born_ms != runner.record.born_ms)
    {
        auto record = runner.record;
        runner = {};
        runner.record = std::move(record);
        runner.record.born_ms = *report.born_ms;
        runner.record.models = report.models;
        runner.next_report = now + report_lag;
        changed_.insert(id);
        return;
    }
    bool const current = report.order_count >= runner.order_count;
    if (runner.unsure)
    {
        if (report.busy || !current)
            return;
        runner.unsure = false;
        runner.order_count = report.order_count;
        runner.confirmed.clear();
        runner.arriving.clear();
        adopt(runner, models_with_pending(report), now);
        if (runner.goal && holds(runner.record, runner.goal->target.model))
            runner.goal.reset();
        if (!runner.goal)
            runner.victims.clear();
        std::erase_if(runner.victims, [&](std::string const& model)
                      { return !holds(runner.record, model); });
        return;
    }
    if (!runner.loading || !current)
        return;
    auto const loaded = std::any_of(report.models.begin(), report.models.end(),
                                    [&](held_model const& held) {
                                        return held.name == runner.loading->target.model;
                                    });
    auto const taken = now - runner.loading->started;
    if (loaded)
    {
        load_done(runner, now);
        adopt(runner, report.models, now);
    }
    else
    {
        // An idle runner without the model has dropped the load; a busy one may be slow.
        auto const patience = report.busy ? give_up_factor * runner.loading->load_time
                                          : runner.loading->load_time;
        if (taken <= patience + 2 * report_lag)
            return;
        runner.loading.reset();
        runner.unsure = true;
    }
}

void placement_planner::report_failed(std::string const& id, time_point now)
{
    auto const found = runners_.find(id);
    if (found == runners_.end())
        return;
    found->second.report_out = false;
    found->second.next_report = now + report_lag;
}

backend_record const* placement_planner::view(std::string const& id) const
{
    auto const found = runners_.find(id);
    return found == runners_.end() ? nullptr : &found->second.record;
}

std::vector<std::string> placement_planner::take_changed()
{
    std::vector<std::string> changed(changed_.begin(), changed_.end());
    changed_.clear();
    return changed;
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
                if (runner.loading && runner.loading->target.model == key.model)
                    ready = std::min(ready, runner.loading->started +
                                                runner.loading->load_time - now);
                if (runner.goal && runner.goal->target.model == key.model)
                    ready = std::min(ready, runner.goal->load_time);
            }
            auto const counts = counts_of(service, key.model);
            if (ready == duration::max() && counts.copies > 0)
                continue;
            if (ready == duration::max() && counts.cached)
                ready = model->disk_load;
            if (ready == duration::max())
            {
                ++queued;
                double const rounds =
                    1 + std::ceil((queued + store_loads()) / std::max(store_width_, 1.0));
                ready = std::chrono::duration_cast<duration>(model->store_load *
                                                             std::max(rounds - 0.5, 1.0));
            }
            found.push_back({service, key, std::max(ready, duration::zero())});
        }
    }
    return found;
}

std::vector<std::pair<std::string, std::string>> placement_planner::retiring() const
{
    std::vector<std::pair<std::string, std::string>> found;
    for (auto const& [id, runner] : runners_)
        for (auto const& model : runner.victims)
            found.emplace_back(id, model);
    return found;
}

} // namespace carawayturn::entry
