#include "coordination/placement/demand_sender.hpp"

namespace carawayturn::placement
{

namespace
{

constexpr duration report_interval = std::chrono::milliseconds(250);
// An item stays in the reports this long after its last request, so that the owner
// learns of arrivals and of the end of waiting even if most reports are lost.
constexpr duration activity_limit = std::chrono::seconds(3);

demand_entry entry_of(time_point now, local_demand const& demand)
{
    demand_entry entry;
    entry.model = demand.model;
    entry.adapter = demand.adapter;
    entry.waiting = demand.waiting;
    entry.arrivals = demand.arrivals;
    entry.organisation = demand.organisation;
    if (demand.waiting > 0)
    {
        entry.oldest_wait = now - demand.oldest;
        entry.tightest_deadline = demand.tightest_deadline - now;
    }
    return entry;
}

} // namespace

void demand_sender::set(time_point now, pool_id const& pool, local_demand const& demand)
{
    auto& known = pools_[pool];
    auto& kept = known.items[{demand.model, demand.adapter}];
    known.soon = known.soon || (kept.demand.waiting == 0 && demand.waiting > 0);
    kept = {demand, now};
}

void demand_sender::report_soon(pool_id const& pool)
{
    if (auto const found = pools_.find(pool); found != pools_.end())
        found->second.soon = true;
}

std::vector<demand_report> demand_sender::due(time_point now)
{
    std::vector<demand_report> reports;
    for (auto& [id, known] : pools_)
    {
        if (!known.soon && known.next_report > now)
            continue;
        std::erase_if(known.items,
                      [now](auto const& entry)
                      {
                          return entry.second.demand.waiting == 0 &&
                                 entry.second.active + activity_limit < now;
                      });
        if (!known.items.empty())
            reports.push_back(report(now, id, known));
    }
    return reports;
}

demand_report demand_sender::report(time_point now, pool_id const& pool,
                                    pool_demand& demand) const
{
    demand.soon = false;
    demand.next_report = now + report_interval;
    demand_report message{pool, incarnation_, ++demand.sequence, {}};
    for (auto const& [key, kept] : demand.items)
        message.entries.push_back(entry_of(now, kept.demand));
    return message;
}

} // namespace carawayturn::placement
