#include "coordination/placement/replica_view.hpp"

#include <algorithm>
#include <tuple>

namespace carawayturn::placement
{

namespace
{

// Three publications lost in a row: the owner's estimates no longer hold.
constexpr duration estimate_validity = std::chrono::seconds(3);

/// Finds the shortest wait for the item. Queued loads come in order and without bytes.
std::optional<load_estimate> find_estimate(placement_update const& update,
                                           item_key const& item)
{
    std::optional<load_estimate> best;
    std::uint32_t queued = 0;
    for (auto const& [loading, wait] : update.loading)
    {
        bool const in_progress = loading.bytes > 0;
        queued += in_progress ? 0 : 1;
        if (key_of(loading) == item && (!best || wait < best->wait))
            best = load_estimate{wait, in_progress ? 0 : queued};
    }
    return best;
}

} // namespace

bool replica_view::apply(time_point now, instance_id const& from, placement_update update)
{
    auto& kept = pools_[update.pool];
    if (std::tie(update.fence, update.version) <=
        std::tie(kept.update.fence, kept.update.version))
        return false;
    bool const replaced = update.replicas != kept.update.replicas;
    bool const changed = replaced || update.loading != kept.update.loading;
    for (auto const& old : kept.update.replicas)
    {
        if (replaced)
            replicas_.erase(key_of(old.item));
    }
    kept = {from, now, std::move(update)};
    for (auto const& added : kept.update.replicas)
    {
        if (replaced)
            replicas_[key_of(added.item)].push_back(added);
    }
    return changed;
}

instance_id replica_view::owner(pool_id const& pool) const
{
    auto const found = pools_.find(pool);
    return found == pools_.end() ? instance_id{} : found->second.owner;
}

fencing_number replica_view::fence(pool_id const& pool) const
{
    auto const found = pools_.find(pool);
    return found == pools_.end() ? 0 : found->second.update.fence;
}

std::vector<replica> replica_view::replicas(item_key const& item) const
{
    auto const found = replicas_.find(item);
    return found == replicas_.end() ? std::vector<replica>{} : found->second;
}

std::optional<load_estimate> replica_view::estimate(time_point now,
                                                    item_key const& item) const
{
    for (auto const& [id, kept] : pools_)
    {
        if (kept.received + estimate_validity < now)
            continue;
        auto found = find_estimate(kept.update, item);
        // An adapter is loaded right after its model.
        if (!found && !item.adapter.empty())
            found = find_estimate(kept.update, {item.model, {}});
        if (!found)
            continue;
        found->wait = std::max(found->wait - (now - kept.received), duration::zero());
        return found;
    }
    return std::nullopt;
}

} // namespace carawayturn::placement
