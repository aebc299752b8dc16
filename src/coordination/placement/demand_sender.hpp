#pragma once

#include "coordination/placement/demand_book.hpp"
#include "coordination/placement_manager.hpp"
#include "state/peer_message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carawayturn::placement
{

/// This instance's own demand, and when it is reported to the owners of the pools.
class demand_sender
{
public:
    explicit demand_sender(incarnation_number incarnation) : incarnation_(incarnation) {}

    void set(time_point now, pool_id const& pool, local_demand const& demand);
    /// Reports to the pool's owner with the next call of due().
    void report_soon(pool_id const& pool);
    /// The reports that have to be sent now.
    [[nodiscard]] std::vector<demand_report> due(time_point now);

private:
    struct item
    {
        local_demand demand;
        time_point active{};
    };
    struct pool_demand
    {
        std::map<item_key, item> items;
        std::uint64_t sequence = 0;
        time_point next_report{};
        bool soon = false;
    };

    [[nodiscard]] demand_report report(time_point now, pool_id const& pool,
                                       pool_demand& demand) const;

    incarnation_number incarnation_;
    std::map<pool_id, pool_demand> pools_;
};

} // namespace carawayturn::placement
