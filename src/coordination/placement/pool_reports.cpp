#include "coordination/placement/pool_owner.hpp"

#include <algorithm>

namespace carawayturn::placement
{

namespace
{

bool lists(backend_report const& report, loaded_item const& item)
{
    return std::any_of(report.loaded.begin(), report.loaded.end(),
                       [&](loaded_item const& entry) {
                           return key_of(entry) == key_of(item) &&
                                  entry.version == item.version;
                       });
}

} // namespace

void pool_owner::take_report(time_point now, backend_report const& report, actions& out)
{
    if (!owned_ || !runners_read_)
        return;
    if (auto const found = ledgers_.find(report.backend); found != ledgers_.end())
        apply_report(now, found->second, report, out);
    // Free memory may have appeared for what waits.
    changed_ = changed_ || !queue_.empty();
}

void pool_owner::refresh_ledgers(time_point now, actions& out)
{
    if (!runners_read_)
        return;
    for (auto const& id : context_.runners.listed_in(id_))
    {
        auto const [entry, added] = ledgers_.try_emplace(id, id, id_, owned_->fence);
        auto const* const info = context_.runners.find(id);
        if (added && info->report)
            apply_report(now, entry->second, *info->report, out);
    }
    for (auto& [id, ledger] : ledgers_)
    {
        if (ledger.removed() || ledger.unreadable() || !gone(now, id))
            continue;
        ledger.remove_row();
        changed_ = true;
        log(409, id.str(), "not listed and unreachable", out);
    }
}

bool pool_owner::gone(time_point now, backend_id const& runner) const
{
    if (!context_.runners.has_list())
        return false;
    auto const* const info = context_.runners.find(runner);
    if (info != nullptr)
        return !info->listed && !info->reachable;
    // This instance's list may lag behind the former owner's.
    return owned_since_ + context_.limits.never_listed_limit <= now;
}

bool pool_owner::servable(runner_ledger const& ledger) const
{
    auto const* const info = context_.runners.find(ledger.id());
    if (info == nullptr || ledger.removed() || ledger.unreadable())
        return false;
    bool const leaving = info->leaving && *info->leaving >= info->incarnation();
    return info->listed && info->reachable && !leaving &&
           info->incarnation() <= ledger.incarnation();
}

backend_report const* pool_owner::decidable(runner_ledger const& ledger) const
{
    auto const* const info = context_.runners.find(ledger.id());
    if (info == nullptr || !info->usable() || !ledger.decidable(*info->report))
        return nullptr;
    return &*info->report;
}

bool pool_owner::unload_is_safe(held_item const& item, backend_report const& report) const
{
    if (item.load.in_flight > 0)
        return false;
    // The unload order carries a higher fencing number than any lost copy of the load.
    if (report.checks_fence)
        return item.load.lost == 0 || item.load.lost_fence < owned_->fence;
    bool const recorded = context_.limits.trust_recorded_answers && item.what.settled;
    return item.load.lost == 0 && (!item.inherited || recorded);
}

void pool_owner::apply_report(time_point now, runner_ledger& ledger,
                              backend_report const& report, actions& out)
{
    if (report.incarnation < ledger.incarnation() || ledger.unreadable())
        return;
    if (ledger.note_incarnation(now, report.incarnation, context_.limits.report_lag))
    {
        log(408, ledger.id().str(),
            "incarnation " + std::to_string(report.incarnation) + " in a report", out);
        changed_ = true;
    }
    ledger.note_capacity(report.capacity_bytes);
    ledger.forget_freed(now, report);
    for (auto& item : ledger.items())
        compare_item(now, ledger, item, report, out);
    adopt_unknown(now, ledger, report, out);
}

void pool_owner::compare_item(time_point now, runner_ledger& ledger, held_item& item,
                              backend_report const& report, actions& out)
{
    bool const listed = lists(report, item.what.item);
    if (item.refused)
        return explain_refusal(now, ledger, item, report, out);
    if (item.in(reservation_phase::loading) && listed && item.load.lost > 0)
    {
        // The load has arrived, and only its answer is missing.
        item.next_send = std::min(item.next_send, now);
        return;
    }
    if (!item.in(reservation_phase::loaded) || listed)
    {
        item.missing_since.reset();
        return;
    }
    if (!item.missing_since)
        item.missing_since = now;
    if (*item.missing_since + context_.limits.report_lag > now)
        return;
    log(412, ledger.id().str(), item.what.item.model.str(), out);
    item.what.phase = reservation_phase::loading;
    item.from_store = true;
    item.missing_since.reset();
    item.next_send = now;
    changed_ = true;
}

void pool_owner::explain_refusal(time_point now, runner_ledger& ledger, held_item& item,
                                 backend_report const& report, actions& out)
{
    item.refused = false;
    changed_ = true;
    bool const fits = lists(report, item.what.item) ||
                      report.used_bytes + item.what.item.bytes <= report.capacity_bytes;
    if (!fits && unload_is_safe(item, report))
        return unload_item(now, ledger, item, out);
    repeat_later(now, item, order_result::no_memory, ledger.id(), out);
}

// Memory that no decision explains is charged to the runner from the first report on. If
// it lasts, it becomes a reservation, so that it can be used and unloaded.
void pool_owner::adopt_unknown(time_point now, runner_ledger& ledger,
                               backend_report const& report, actions& out)
{
    if (!usable(now) || decidable(ledger) == nullptr)
        return;
    for (auto const& item :
         ledger.note_unknown_items(now, report, context_.limits.report_lag))
    {
        if (ledger.reserved() + item.bytes > report.capacity_bytes)
            continue;
        held_item held;
        held.what = {next_decision(), {}, item, reservation_phase::loaded};
        held.inherited = true;
        held.decided_at = now;
        held.loaded_at = now;
        ledger.items().push_back(std::move(held));
        changed_ = true;
        log(411, ledger.id().str(), item.model.str() + " " + item.adapter.str(), out);
    }
}

} // namespace carawayturn::placement
