#pragma once

#include "coordination/placement/demand_book.hpp"
#include "coordination/placement_manager.hpp"
#include "state/peer_message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carawayturn::placement
{

/// Replicas and estimates of all pools as their owners last published them.
class replica_view
{
public:
    /// Takes an update if its (fence, version) is higher than the one kept. Returns
    /// whether replicas or estimates changed.
    bool apply(time_point now, instance_id const& from, placement_update update);

    /// The instance that published last; empty if none did.
    [[nodiscard]] instance_id owner(pool_id const& pool) const;
    [[nodiscard]] fencing_number fence(pool_id const& pool) const;
    [[nodiscard]] std::vector<replica> replicas(item_key const& item) const;
    [[nodiscard]] std::optional<load_estimate> estimate(time_point now,
                                                        item_key const& item) const;

private:
    struct published
    {
        instance_id owner;
        time_point received{};
        placement_update update;
    };

    std::map<pool_id, published> pools_;
    std::map<item_key, std::vector<replica>> replicas_;
};

} // namespace carawayturn::placement
