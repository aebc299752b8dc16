#include "coordination/placement/runner_ledger.hpp"

#include <algorithm>

namespace carawayturn::placement
{

namespace
{

// A lost unload order that arrives later than this costs a reload; it overcommits
// nothing, so that the runner need not be closed to the item for good.
constexpr duration late_unload_limit = std::chrono::seconds(30);

reservation const* find_reservation(runner_row const& row, decision_id const& load)
{
    auto const found =
        std::find_if(row.reservations.begin(), row.reservations.end(),
                     [&](auto const& entry) { return entry.load == load; });
    return found == row.reservations.end() ? nullptr : &*found;
}

bool same_item(loaded_item const& left, loaded_item const& right)
{
    return left.model == right.model && left.adapter == right.adapter &&
           left.version == right.version;
}

/// A load that a new incarnation may have received or may still receive: its copy has no
/// answer yet, or was lost so recently that it may have gone to the new process.
bool may_have_reached(held_item const& item, time_point now, duration settle_time)
{
    bool const recent = item.load.lost > 0 && item.load.last_sent + settle_time > now;
    return item.load.in_flight > 0 || recent;
}

void restart_load(held_item& item, time_point now)
{
    item.what.phase = reservation_phase::loading;
    item.what.settled = false;
    item.what.unload = {};
    item.unload = {};
    item.inherited = false;
    item.refused = false;
    // The new process may have lost its cache.
    item.from_store = true;
    item.missing_since.reset();
    item.delay = duration::zero();
    item.next_send = now;
}

} // namespace

runner_ledger::runner_ledger(backend_id id, pool_id pool, fencing_number owner_fence)
    : id_(std::move(id)), pool_(std::move(pool)), owner_fence_(owner_fence)
{
}

void runner_ledger::inherit(row_version version, runner_row const& row)
{
    version_ = version;
    durable_ = row;
    incarnation_ = row.incarnation;
    capacity_ = row.capacity;
    inherited_ = true;
    items_.clear();
    for (auto const& entry : row.reservations)
    {
        held_item item;
        item.what = entry;
        item.inherited = true;
        item.inherited_phase = entry.phase;
        items_.push_back(std::move(item));
    }
}

held_item* runner_ledger::find(decision_id const& decision)
{
    // Items in other phases than unloading have an empty unload decision.
    if (decision.empty())
        return nullptr;
    auto const found = std::find_if(items_.begin(), items_.end(),
                                    [&](held_item const& item) {
                                        return item.what.load == decision ||
                                               item.what.unload == decision;
                                    });
    return found == items_.end() ? nullptr : &*found;
}

held_item const* runner_ledger::find(decision_id const& decision) const
{
    return const_cast<runner_ledger*>(this)->find(decision);
}

held_item const* runner_ledger::find(loaded_item const& item) const
{
    auto const found = std::find_if(items_.begin(), items_.end(),
                                    [&](held_item const& held)
                                    { return same_item(held.what.item, item); });
    return found == items_.end() ? nullptr : &*found;
}

std::optional<runner_row> runner_ledger::wanted() const
{
    if (removed_)
        return std::nullopt;
    runner_row row{pool_, incarnation_, capacity_, owner_fence_, {}};
    for (auto const& item : items_)
        row.reservations.push_back(item.what);
    return row;
}

bool runner_ledger::dirty() const
{
    if (unreadable_)
        return false;
    if (!durable_ && (removed_ || items_.empty()) && !write_required_)
        return false;
    return write_required_ || durable_ != wanted();
}

void runner_ledger::note_durable(row_version version, std::optional<runner_row> row)
{
    version_ = version;
    durable_ = std::move(row);
    write_required_ = false;
}

void runner_ledger::drop_undurable()
{
    std::erase_if(items_,
                  [this](held_item const& item)
                  {
                      return item.load.sent == 0 && !item.inherited &&
                             item.in(reservation_phase::loading) &&
                             (!durable_ || !find_reservation(*durable_, item.what.load));
                  });
    for (auto& item : items_)
    {
        auto const* const kept =
            durable_ ? find_reservation(*durable_, item.what.load) : nullptr;
        if (!item.in(reservation_phase::unloading) || item.unload.sent > 0 ||
            kept == nullptr || kept->phase == reservation_phase::unloading)
            continue;
        item.what.phase = kept->phase;
        item.what.unload = {};
    }
}

bool runner_ledger::durably_needed(held_item const& item) const
{
    if (item.in(reservation_phase::loaded) || !durable_ || unreadable_ || removed_)
        return false;
    auto const* const kept = find_reservation(*durable_, item.what.load);
    return kept != nullptr && kept->phase == item.what.phase &&
           kept->unload == item.what.unload;
}

bool runner_ledger::note_incarnation(time_point now, incarnation_number seen,
                                     duration settle_time)
{
    if (seen <= incarnation_)
        return false;
    bool const restarted = incarnation_ != 0 || !items_.empty();
    incarnation_ = seen;
    freed_.clear();
    late_unloads_.clear();
    unknown_.clear();
    if (!restarted)
        return false;
    std::erase_if(items_, [&](held_item const& item)
                  { return !may_have_reached(item, now, settle_time); });
    for (auto& item : items_)
        restart_load(item, now);
    inherited_ = false;
    return true;
}

byte_count runner_ledger::reserved() const
{
    byte_count total = 0;
    for (auto const& item : items_)
        total += item.what.item.bytes;
    return total;
}

void runner_ledger::free_item(decision_id const& unload, time_point until)
{
    auto const found =
        std::find_if(items_.begin(), items_.end(),
                     [&](auto const& item) { return item.what.unload == unload; });
    if (found == items_.end())
        return;
    freed_.push_back({found->what.item, until});
    bool const inherited = found->inherited_phase == reservation_phase::unloading;
    if (found->unload.open() || (found->inherited && inherited))
        late_unloads_.push_back(
            {found->what.item, found->unload.lost_fence, until + late_unload_limit});
    items_.erase(found);
}

bool runner_ledger::unload_may_arrive(time_point now, loaded_item const& item,
                                      backend_report const& report,
                                      fencing_number fence) const
{
    return std::any_of(late_unloads_.begin(), late_unloads_.end(),
                       [&](late_unload const& lost)
                       {
                           bool const refused = report.checks_fence && lost.fence < fence;
                           return lost.until > now && !refused &&
                                  same_item(lost.item, item);
                       });
}

bool runner_ledger::freed_lately(loaded_item const& item) const
{
    return std::any_of(freed_.begin(), freed_.end(),
                       [&](dated_item const& freed)
                       { return same_item(freed.item, item); });
}

void runner_ledger::forget_freed(time_point now, backend_report const& report)
{
    std::erase_if(late_unloads_,
                  [now](late_unload const& lost) { return lost.until <= now; });
    std::erase_if(freed_,
                  [&](dated_item const& freed)
                  {
                      bool const reported = std::any_of(
                          report.loaded.begin(), report.loaded.end(),
                          [&](auto const& item) { return same_item(item, freed.item); });
                      return freed.time <= now || !reported;
                  });
}

std::vector<loaded_item> runner_ledger::note_unknown_items(time_point now,
                                                           backend_report const& report,
                                                           duration lag)
{
    std::vector<dated_item> unknown;
    std::vector<loaded_item> lasting;
    for (auto const& item : report.loaded)
    {
        if (find(item) != nullptr || freed_lately(item))
            continue;
        auto const known = std::find_if(unknown_.begin(), unknown_.end(),
                                        [&](dated_item const& entry)
                                        { return same_item(entry.item, item); });
        time_point const since = known == unknown_.end() ? now : known->time;
        unknown.push_back({item, since});
        if (since + lag <= now)
            lasting.push_back(item);
    }
    unknown_ = std::move(unknown);
    return lasting;
}

byte_count runner_ledger::unexplained(backend_report const& report) const
{
    byte_count unknown_items = 0;
    for (auto const& item : report.loaded)
    {
        auto const* const held = find(item);
        byte_count explained = held == nullptr ? 0 : held->what.item.bytes;
        explained = freed_lately(item) ? item.bytes : explained;
        unknown_items += std::max<byte_count>(0, item.bytes - explained);
    }
    byte_count explained = 0;
    for (auto const& item : items_)
    {
        bool const reported = std::any_of(report.loaded.begin(), report.loaded.end(),
                                          [&](auto const& entry)
                                          { return same_item(entry, item.what.item); });
        // A load under way may take memory before the report lists it.
        bool const may_hold =
            reported || (!item.refused && (item.inherited || item.load.sent > 0));
        explained += may_hold ? item.what.item.bytes : 0;
    }
    for (auto const& item : report.loaded)
        explained += find(item) == nullptr && freed_lately(item) ? item.bytes : 0;
    return std::max(unknown_items, report.used_bytes - explained);
}

byte_count runner_ledger::free(backend_report const& report) const
{
    byte_count const capacity = std::min(capacity_, report.capacity_bytes);
    return capacity - reserved() - std::max<byte_count>(0, unexplained(report));
}

bool runner_ledger::decidable(backend_report const& report) const
{
    return !unreadable_ && !removed_ && report.incarnation == incarnation_ &&
           !needs_fence(report);
}

decision_id runner_ledger::fence_decision() const
{
    return decision_id("fence/" + std::to_string(owner_fence_) + "/" + id_.str());
}

bool runner_ledger::needs_fence(backend_report const& report) const
{
    return inherited_ && report.checks_fence && !fence_seen_;
}

} // namespace carawayturn::placement
