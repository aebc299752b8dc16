#include "coordination/placement/pool_owner.hpp"

#include <algorithm>

namespace carawayturn::placement
{

namespace
{

constexpr duration publication_interval = std::chrono::seconds(1);
// A load that takes longer than expected is expected to take this part of its present
// time more.
constexpr int overdue_divisor = 4;

/// Assigns queued loads to the load slots as they become free, at the allowed rate.
class slot_plan
{
public:
    slot_plan(std::uint32_t slots, double rate)
        : free_at_(std::max(slots, 1U)), spacing_(std::chrono::duration_cast<duration>(
                                             std::chrono::duration<double>(1.0 / rate)))
    {
    }

    /// Occupies the slot that is free first. Returns when the load will be finished.
    duration occupy(duration load_time)
    {
        auto const slot = std::min_element(free_at_.begin(), free_at_.end());
        duration const start = std::max(*slot, next_start_);
        next_start_ = start + spacing_;
        *slot = start + load_time;
        return *slot;
    }

    void occupy_until(duration end)
    {
        *std::min_element(free_at_.begin(), free_at_.end()) += end;
    }

private:
    std::vector<duration> free_at_;
    duration spacing_;
    duration next_start_{0};
};

} // namespace

std::vector<replica> pool_owner::current_replicas() const
{
    std::vector<replica> replicas;
    auto const counts = count_replicas();
    for (auto const& [id, ledger] : ledgers_)
    {
        if (!servable(ledger))
            continue;
        for (auto const& item : ledger.items())
        {
            auto const key = key_of(item.what.item);
            auto const found = counts.find(key);
            bool const replaced = found != counts.end() && found->second.loaded > 0 &&
                                  configured_item(key).version != item.what.item.version;
            if (item.in(reservation_phase::loaded) && configured(key) && !replaced)
                replicas.push_back({id, item.what.item});
        }
    }
    return replicas;
}

duration pool_owner::expected_load_time(loaded_item const& item) const
{
    cache_tier tier = cache_tier::none;
    for (auto const& [id, ledger] : ledgers_)
    {
        if (auto const* const report = decidable(ledger))
            tier = std::min(tier, tier_of(*report, item.model));
    }
    return times_.expected(item, tier);
}

bool pool_owner::any_decidable() const
{
    return std::any_of(ledgers_.begin(), ledgers_.end(),
                       [this](auto const& entry)
                       { return decidable(entry.second) != nullptr; });
}

std::vector<std::pair<loaded_item, duration>> pool_owner::estimates(time_point now) const
{
    std::vector<std::pair<loaded_item, duration>> loading;
    auto const* const config = pool();
    if (config == nullptr)
        return loading;
    slot_plan plan(config->load_slots, config->loads_per_second);
    for (auto const& [id, ledger] : ledgers_)
    {
        for (auto const& item : ledger.items())
        {
            if (!item.in(reservation_phase::loading))
                continue;
            auto const& loaded = item.what.item;
            // The start of an inherited load is not known; without this case it would
            // look overdue by the age of the process, and callers would be told that
            // wait.
            auto const taken =
                item.decided_at == time_point{} ? duration{0} : now - item.decided_at;
            auto const expected = expected_load_time(loaded);
            auto const left =
                taken < expected ? expected - taken : taken / overdue_divisor;
            if (item.uses_store())
                plan.occupy_until(left);
            if (servable(ledger))
                loading.emplace_back(loaded, left);
        }
    }
    // Before the first report there is no telling whether memory is free.
    if (!any_decidable())
        return loading;
    for (auto const& need : queue_)
    {
        loaded_item queued = need.item;
        queued.bytes = 0;
        auto const load_time = expected_load_time(need.item);
        duration wait = need.item.adapter.empty() ? plan.occupy(load_time) : load_time;
        if (need.without_memory)
            wait = std::max(wait, context_.limits.wait_without_memory);
        loading.emplace_back(std::move(queued), wait);
    }
    return loading;
}

std::vector<std::pair<item_key, bool>> pool_owner::loading_items() const
{
    std::vector<std::pair<item_key, bool>> items;
    for (auto const& [id, ledger] : ledgers_)
    {
        for (auto const& item : ledger.items())
        {
            if (item.in(reservation_phase::loading))
                items.emplace_back(key_of(item.what.item), true);
        }
    }
    for (auto const& need : queue_)
        items.emplace_back(key_of(need.item), false);
    return items;
}

void pool_owner::compare_publication()
{
    publish_now_ = publish_now_ || current_replicas() != published_ ||
                   loading_items() != published_loading_;
}

std::optional<placement_update> pool_owner::take_publication(time_point now)
{
    if (!usable(now) || !context_.runners.has_list())
        return std::nullopt;
    if (next_publication_ > now && !publish_now_)
        return std::nullopt;
    publish_now_ = false;
    next_publication_ = now + publication_interval;
    placement_update update;
    update.pool = id_;
    update.fence = owned_->fence;
    update.version = ++version_;
    update.replicas = current_replicas();
    update.loading = estimates(now);
    published_ = update.replicas;
    published_loading_ = loading_items();
    return update;
}

} // namespace carawayturn::placement
