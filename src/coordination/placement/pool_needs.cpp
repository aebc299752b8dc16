#include "coordination/placement/pool_owner.hpp"

#include <algorithm>

namespace carawayturn::placement
{

namespace
{

constexpr duration idle_check_interval = std::chrono::seconds(1);
constexpr duration prewarm_check_interval = std::chrono::seconds(10);

void merge(item_demand& total, item_demand const& part)
{
    bool const first = total.waiting == 0;
    if (first || part.oldest < total.oldest)
    {
        total.oldest = part.oldest;
        total.organisation = part.organisation;
    }
    if (first || part.tightest_deadline < total.tightest_deadline)
        total.tightest_deadline = part.tightest_deadline;
    total.waiting += part.waiting;
}

byte_count claimed_at(std::map<backend_id, byte_count> const& claimed,
                      backend_id const& runner)
{
    auto const found = claimed.find(runner);
    return found == claimed.end() ? 0 : found->second;
}

} // namespace

void pool_owner::decide(time_point now, actions& out)
{
    counts_ = count_replicas();
    free_.clear();
    for (auto const& [key, demand] : demand_.waiting())
        last_wait_[{key.model, {}}] = now;
    auto needs = collect_needs(now);
    strategy_of(context_.limits.load_order)(needs, turns_);
    bool const nothing_waits = needs.empty();
    place_loads(now, std::move(needs), out);
    if (next_idle_check_ <= now)
    {
        next_idle_check_ = now + idle_check_interval;
        unload_idle(now, out);
    }
    if (nothing_waits && context_.limits.prewarm && next_prewarm_check_ <= now)
    {
        next_prewarm_check_ = now + prewarm_check_interval;
        prewarm(now, out);
    }
}

pool_owner::replica_counts pool_owner::count_replicas() const
{
    replica_counts counts;
    for (auto const& [id, ledger] : ledgers_)
    {
        if (!servable(ledger))
            continue;
        for (auto const& item : ledger.items())
        {
            auto const key = key_of(item.what.item);
            bool const current =
                configured(key) && configured_item(key).version == item.what.item.version;
            if (!current || item.in(reservation_phase::unloading))
                continue;
            auto& count = counts[key];
            ++(item.in(reservation_phase::loaded) ? count.loaded : count.loading);
        }
    }
    return counts;
}

bool pool_owner::configured(item_key const& key) const
{
    auto const& config = context_.config.current();
    auto const* const own = pool();
    bool const in_pool =
        own != nullptr && config.models.contains(key.model) &&
        std::find(own->models.begin(), own->models.end(), key.model) != own->models.end();
    if (!in_pool || key.adapter.empty())
        return in_pool;
    auto const found = config.adapters.find(key.adapter);
    return found != config.adapters.end() && found->second.model == key.model;
}

loaded_item pool_owner::configured_item(item_key const& key) const
{
    auto const& config = context_.config.current();
    auto const& model = config.models.at(key.model);
    if (key.adapter.empty())
        return {key.model, {}, model.version, model.bytes};
    // An adapter belongs to one version of its model.
    return {key.model, key.adapter, model.version, config.adapters.at(key.adapter).bytes};
}

load_need pool_owner::need_for(time_point now, loaded_item item,
                               item_demand const& demand) const
{
    return {std::move(item), demand.organisation, now - demand.oldest,
            demand.tightest_deadline - now, false};
}

// Requests that wait for an adapter only count for its model while a model replica could
// serve them: while none is there, or once the adapter itself is loaded and still not
// enough.
std::map<model_id, item_demand>
pool_owner::demand_by_model(replica_counts const& counts) const
{
    std::map<model_id, item_demand> totals;
    for (auto const& [key, demand] : demand_.waiting())
    {
        auto const of_model = counts.find({key.model, {}});
        auto const own = counts.find(key);
        bool const model_present =
            of_model != counts.end() && of_model->second.total() > 0;
        bool const own_loaded = own != counts.end() && own->second.loaded > 0;
        if (configured(key) && (key.adapter.empty() || !model_present || own_loaded))
            merge(totals[key.model], demand);
    }
    return totals;
}

std::vector<load_need> pool_owner::collect_needs(time_point now) const
{
    std::vector<load_need> needs;
    auto counts = counts_;
    auto const per_replica = context_.limits.waiting_per_replica;
    auto const wants_more = [&](std::uint32_t waiting, std::uint32_t replicas)
    {
        bool const adds =
            context_.limits.add_replicas && waiting > per_replica * replicas;
        return waiting > 0 && (replicas == 0 || adds);
    };
    for (auto const& [model, demand] : demand_by_model(counts))
    {
        auto const replicas = counts[{model, {}}].total();
        auto const& config = context_.config.current().models.at(model);
        if (replicas < config.max_replicas && wants_more(demand.waiting, replicas))
            needs.push_back(need_for(now, configured_item({model, {}}), demand));
    }
    for (auto const& [key, demand] : demand_.waiting())
    {
        if (key.adapter.empty() || !configured(key))
            continue;
        auto const replicas = counts[key].total();
        if (replicas < counts[{key.model, {}}].loaded &&
            wants_more(demand.waiting, replicas))
            needs.push_back(need_for(now, configured_item(key), demand));
    }
    return needs;
}

std::uint32_t pool_owner::loads_available(time_point now, bool adapters) const
{
    auto const* const config = pool();
    std::uint32_t in_progress = 0;
    std::uint32_t unsent = 0;
    for (auto const& [id, ledger] : ledgers_)
    {
        for (auto const& item : ledger.items())
        {
            bool const refused = item.refused && !item.load.open();
            bool const counted = adapters ? !item.is_model() : item.uses_store();
            if (!counted || !item.in(reservation_phase::loading) || refused)
                continue;
            ++in_progress;
            unsent += item.load.sent == 0 ? 1 : 0;
        }
    }
    auto const limit = adapters ? config->adapter_load_slots : config->load_slots;
    auto const slots = limit > in_progress ? limit - in_progress : 0;
    if (adapters)
        return slots;
    auto const starts = pace_.available(now, config->loads_per_second);
    return std::min(slots, starts > unsent ? starts - unsent : 0);
}

void pool_owner::place_loads(time_point now, std::vector<load_need> needs, actions& out)
{
    queue_.clear();
    claimed_memory claimed;
    std::uint32_t model_loads = loads_available(now, false);
    std::uint32_t adapter_loads = loads_available(now, true);
    // No more memory is freed than can be loaded into with the slots available.
    std::uint32_t model_rooms = model_loads;
    std::uint32_t adapter_rooms = adapter_loads;
    for (auto& need : needs)
    {
        bool const adapter = !need.item.adapter.empty();
        auto& available = adapter ? adapter_loads : model_loads;
        auto& rooms = adapter ? adapter_rooms : model_rooms;
        // A model whose checkpoint a runner has cached needs no weight-store slot.
        auto* const runner = !adapter || available > 0
                                 ? choose_runner(now, need.item, claimed, available > 0)
                                 : nullptr;
        if (runner != nullptr)
        {
            auto const& load = decide_load(now, *runner, need.item, out);
            turns_.note_served(need.organisation);
            available -= adapter || load.uses_store() ? 1 : 0;
            continue;
        }
        if (available > 0 && rooms > 0)
        {
            need.without_memory = !make_room(now, need.item, claimed, out);
            rooms -= need.without_memory ? 0 : 1;
        }
        queue_.push_back(std::move(need));
    }
}

// Adding up a runner's memory compares all its items with its report, which is too much
// for each pair of a need and a runner.
byte_count pool_owner::free_at(runner_ledger const& ledger, backend_report const& report)
{
    auto const [entry, added] = free_.try_emplace(ledger.id(), 0);
    if (added)
        entry->second = ledger.free(report);
    return entry->second;
}

bool pool_owner::may_hold(time_point now, runner_ledger const& ledger,
                          loaded_item const& item, backend_report const& report) const
{
    if (ledger.find(item) != nullptr ||
        ledger.unload_may_arrive(now, item, report, owned_->fence))
        return false;
    if (item.adapter.empty())
        return true;
    // An adapter is loaded only where its model is.
    loaded_item const base{item.model, {}, item.version, 0};
    auto const* const model = ledger.find(base);
    return model != nullptr && model->in(reservation_phase::loaded);
}

runner_ledger* pool_owner::choose_runner(time_point now, loaded_item const& item,
                                         claimed_memory const& claimed,
                                         bool store_allowed)
{
    std::optional<runner_option> best;
    auto const better = strategy_of(context_.limits.runner_choice);
    for (auto const& [id, ledger] : ledgers_)
    {
        auto const* const report = decidable(ledger);
        if (report == nullptr || !may_hold(now, ledger, item, *report))
            continue;
        auto const tier = tier_of(*report, item.model);
        if (!store_allowed && tier == cache_tier::none)
            continue;
        auto const& items = ledger.items();
        auto const loads = std::count_if(items.begin(), items.end(),
                                         [](auto const& held)
                                         { return held.in(reservation_phase::loading); });
        runner_option option{id, tier, free_at(ledger, *report) - claimed_at(claimed, id),
                             report->running + report->waiting,
                             static_cast<std::uint32_t>(loads)};
        if (option.free >= item.bytes && (!best || better(option, *best)))
            best = std::move(option);
    }
    return best ? &ledgers_.at(best->runner) : nullptr;
}

held_item const& pool_owner::decide_load(time_point now, runner_ledger& ledger,
                                         loaded_item const& item, actions& out)
{
    held_item held;
    held.what = {next_decision(), {}, item, reservation_phase::loading};
    held.decided_at = now;
    auto const* const report = decidable(ledger);
    held.from_store =
        report == nullptr || tier_of(*report, item.model) == cache_tier::none;
    log(402, held.what.load.str(),
        ledger.id().str() + " " + item.model.str() + " " + item.adapter.str(), out);
    ledger.items().push_back(std::move(held));
    free_.erase(ledger.id());
    return ledger.items().back();
}

// Loads what woke at this time on the days before, if there is room without evictions.
void pool_owner::prewarm(time_point now, actions& out)
{
    for (auto const& [key, usage] : demand_.usages())
    {
        auto const until = usage.expected_wake(now, context_.limits);
        if (!until || !configured(key))
            continue;
        keep_until_[key] = *until;
        auto const item = configured_item(key);
        auto* const runner =
            count_of(key).total() == 0 && loads_available(now, !key.adapter.empty()) > 0
                ? choose_runner(now, item, {}, true)
                : nullptr;
        if (runner != nullptr)
            decide_load(now, *runner, item, out);
    }
    std::erase_if(keep_until_, [now](auto const& entry) { return entry.second < now; });
}

} // namespace carawayturn::placement
