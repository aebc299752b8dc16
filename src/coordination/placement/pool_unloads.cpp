#include "coordination/placement/pool_owner.hpp"

#include <algorithm>

namespace carawayturn::placement
{

namespace
{

bool same_version(loaded_item const& left, loaded_item const& right)
{
    return left.model == right.model && left.version == right.version;
}

/// Memory that unloads in progress will free.
byte_count unloading_bytes(runner_ledger const& ledger)
{
    byte_count total = 0;
    for (auto const& item : ledger.items())
        total += item.in(reservation_phase::unloading) ? item.what.item.bytes : 0;
    return total;
}

} // namespace

time_point pool_owner::last_use(held_item const& item) const
{
    auto const used = demand_.usage(key_of(item.what.item)).last_use();
    return std::max({used.value_or(time_point{}), item.loaded_at, owned_since_});
}

bool pool_owner::idle(time_point now, held_item const& item,
                      backend_report const& report) const
{
    auto const& waiting = demand_.waiting();
    auto const key = key_of(item.what.item);
    bool const wanted = waiting.contains(key);
    auto const* const info = context_.runners.find(report.backend);
    bool const runner_idle = report.running + report.waiting == 0;
    if (!wanted && spare(now, item))
        return runner_idle;
    auto const since = last_use(item);
    if (wanted || since + context_.limits.idle_margin > now)
        return false;
    bool const quiet = runner_idle && info->reported_at > since;
    return quiet || since + context_.limits.longest_request <= now;
}

bool pool_owner::evictable(time_point now, runner_ledger const& ledger,
                           held_item const& item, backend_report const& report)
{
    if (!item.in(reservation_phase::loaded) || !idle(now, item, report))
        return false;
    if (!unload_is_safe(item, report))
    {
        // Only a higher fencing number is missing.
        raise_wanted_ =
            raise_wanted_ || (report.checks_fence && item.load.in_flight == 0);
        return false;
    }
    if (!item.is_model())
        return true;
    // A model goes with its adapters, so that each of them has to be evictable.
    return std::all_of(ledger.items().begin(), ledger.items().end(),
                       [&](held_item const& other)
                       {
                           bool const on_it =
                               !other.is_model() &&
                               same_version(other.what.item, item.what.item);
                           return !on_it || other.in(reservation_phase::unloading) ||
                                  evictable(now, ledger, other, report);
                       });
}

std::vector<eviction_option> pool_owner::eviction_options(time_point now,
                                                          runner_ledger const& ledger,
                                                          loaded_item const& wanted,
                                                          backend_report const& report)
{
    std::vector<eviction_option> options;
    for (auto const& item : ledger.items())
    {
        // An adapter does not displace the model that it needs.
        bool const base = item.is_model() && same_version(item.what.item, wanted);
        if (base || !evictable(now, ledger, item, report))
            continue;
        auto const key = key_of(item.what.item);
        auto const tier = tier_of(report, item.what.item.model);
        options.push_back(
            {item.what.load, item.what.item.bytes, times_.expected(item.what.item, tier),
             demand_.usage(key).use_probability(now, context_.limits.use_horizon),
             last_use(item)});
    }
    return options;
}

bool pool_owner::make_room(time_point now, loaded_item const& wanted,
                           claimed_memory& claimed, actions& out)
{
    auto const cost_of = strategy_of(context_.limits.eviction);
    struct plan
    {
        runner_ledger* ledger;
        double cost;
        std::vector<decision_id> victims;
    };
    std::optional<plan> best;
    for (auto& [id, ledger] : ledgers_)
    {
        auto const* const report = decidable(ledger);
        if (report == nullptr || !may_hold(now, ledger, wanted, *report))
            continue;
        byte_count room =
            free_at(ledger, *report) + unloading_bytes(ledger) - claimed[id];
        plan candidate{&ledger, 0, {}};
        auto options = room >= wanted.bytes || cost_of == nullptr
                           ? std::vector<eviction_option>{}
                           : eviction_options(now, ledger, wanted, *report);
        std::sort(options.begin(), options.end(),
                  [&](auto const& left, auto const& right)
                  { return cost_of(left, now) < cost_of(right, now); });
        for (auto const& option : options)
        {
            if (room >= wanted.bytes)
                break;
            room += option.bytes;
            candidate.cost += cost_of(option, now);
            candidate.victims.push_back(option.load);
        }
        if (room >= wanted.bytes && (!best || candidate.cost < best->cost))
            best = std::move(candidate);
    }
    if (!best)
        return false;
    claimed[best->ledger->id()] += wanted.bytes;
    for (auto const& victim : best->victims)
        begin_unload(now, *best->ledger, victim, out);
    return true;
}

// A model is unloaded only after its adapters: while there are any, only they go, and a
// later round comes back to the model.
void pool_owner::begin_unload(time_point now, runner_ledger& ledger,
                              decision_id const& load, actions& out)
{
    auto* const item = ledger.find(load);
    if (item == nullptr || !item->in(reservation_phase::loaded))
        return;
    bool has_adapters = false;
    for (auto& other : ledger.items())
    {
        if (!item->is_model() || other.is_model() ||
            !same_version(other.what.item, item->what.item))
            continue;
        has_adapters = true;
        if (other.in(reservation_phase::loaded))
            unload_item(now, ledger, other, out);
    }
    if (!has_adapters)
        unload_item(now, ledger, *item, out);
}

void pool_owner::unload_item(time_point now, runner_ledger& ledger, held_item& item,
                             actions& out)
{
    item.what.phase = reservation_phase::unloading;
    item.what.unload = next_decision();
    item.unload = {};
    item.delay = duration::zero();
    item.next_send = now + context_.limits.unload_delay;
    changed_ = true;
    log(403, item.what.unload.str(),
        ledger.id().str() + " " + item.what.item.model.str() + " " +
            item.what.item.adapter.str(),
        out);
}

pool_owner::replica_count pool_owner::count_of(item_key const& key) const
{
    auto const found = counts_.find(key);
    return found == counts_.end() ? replica_count{} : found->second;
}

bool pool_owner::spare(time_point now, held_item const& item) const
{
    auto const key = key_of(item.what.item);
    if (!item.is_model() || !configured(key) || count_of(key).loaded < 2)
        return false;
    auto const waited = last_wait_.find(key);
    time_point const needed = waited == last_wait_.end() ? time_point{} : waited->second;
    auto const keep = demand_.usage(key).keep_alive(context_.limits);
    auto const& model = context_.config.current().models.at(key.model);
    return count_of(key).loaded > model.max_replicas ||
           now - std::max({needed, item.loaded_at, owned_since_}) >= keep;
}

bool pool_owner::expired(time_point now, held_item const& item) const
{
    auto const key = key_of(item.what.item);
    // Replaced by another version, or no longer configured.
    if (!configured(key))
        return true;
    if (configured_item(key).version != item.what.item.version)
        return count_of(key).loaded > 0;
    auto const held = keep_until_.find(key);
    if (held != keep_until_.end() && held->second > now)
        return false;
    auto const idle_for = now - last_use(item);
    // Adapters are small: they go when their memory is needed, or after the longest time.
    if (!item.is_model())
        return idle_for >= context_.limits.keep_alive_max;
    return idle_for >= demand_.usage(key).keep_alive(context_.limits) || spare(now, item);
}

void pool_owner::unload_idle(time_point now, actions& out)
{
    for (auto& [id, ledger] : ledgers_)
    {
        auto const* const report = decidable(ledger);
        if (report == nullptr)
            continue;
        std::vector<decision_id> victims;
        for (auto const& item : ledger.items())
        {
            if (!item.in(reservation_phase::loaded) || !expired(now, item) ||
                !evictable(now, ledger, item, *report))
                continue;
            victims.push_back(item.what.load);
            auto& count = counts_[key_of(item.what.item)];
            count.loaded -= count.loaded > 0 ? 1 : 0;
        }
        for (auto const& victim : victims)
            begin_unload(now, ledger, victim, out);
    }
}

} // namespace carawayturn::placement
