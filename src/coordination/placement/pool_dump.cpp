#include "coordination/placement/pool_owner.hpp"

#include <boost/json.hpp>

namespace carawayturn::placement
{

namespace
{

namespace json = boost::json;

std::int64_t milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

json::object describe(held_item const& item)
{
    return {{"decision", item.needed().str()},
            {"model", item.what.item.model.str()},
            {"adapter", item.what.item.adapter.str()},
            {"version", item.what.item.version},
            {"bytes", item.what.item.bytes},
            {"phase", name_of(item.what.phase)},
            {"inherited", item.inherited},
            {"refused", item.refused},
            {"orders_sent", item.load.sent + item.unload.sent},
            {"answers_lost", item.load.lost + item.unload.lost}};
}

json::object describe(runner_ledger const& ledger, runner_info const* info)
{
    json::array items;
    for (auto const& item : ledger.items())
        items.push_back(describe(item));
    json::object object{{"id", ledger.id().str()},
                        {"incarnation", ledger.incarnation()},
                        {"capacity_bytes", ledger.capacity()},
                        {"reserved_bytes", ledger.reserved()},
                        {"row_version", ledger.version()},
                        {"row_dirty", ledger.dirty()},
                        {"row_unreadable", ledger.unreadable()},
                        {"usable", info != nullptr && info->usable()},
                        {"reservations", std::move(items)}};
    if (info != nullptr && info->report)
        object["free_bytes"] = ledger.free(*info->report);
    return object;
}

json::object describe(load_need const& need)
{
    return {{"model", need.item.model.str()},
            {"adapter", need.item.adapter.str()},
            {"organisation", need.organisation.str()},
            {"waited_ms", milliseconds(need.waited)},
            {"deadline_ms", milliseconds(need.left)},
            {"without_memory", need.without_memory}};
}

} // namespace

std::string pool_owner::dump(time_point now) const
{
    json::object object{{"pool", id_.str()},
                        {"owned", owned_.has_value()},
                        {"usable", usable(now)},
                        {"fence", owned_ ? owned_->fence : 0},
                        {"table_call_in_progress", call_.has_value()},
                        {"publication", version_}};
    json::array runners;
    for (auto const& [id, ledger] : ledgers_)
        runners.push_back(describe(ledger, context_.runners.find(id)));
    json::array queue;
    for (auto const& need : queue_)
        queue.push_back(describe(need));
    json::array expected;
    for (auto const& [item, wait] : estimates(now))
        expected.push_back(json::object{{"model", item.model.str()},
                                        {"adapter", item.adapter.str()},
                                        {"queued", item.bytes == 0},
                                        {"wait_ms", milliseconds(wait)}});
    object["runners"] = std::move(runners);
    object["queue"] = std::move(queue);
    object["estimates"] = std::move(expected);
    return json::serialize(object);
}

} // namespace carawayturn::placement
