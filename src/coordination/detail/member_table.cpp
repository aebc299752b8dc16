#include "coordination/detail/member_table.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn::detail
{

namespace
{

// Long enough to outlast a partition, so that a late entry of the same process is still
// recognised as old; bounds the memory that replaced instances take.
constexpr duration forget_after = std::chrono::minutes(10);

auto order_of(member_entry const& entry)
{
    return std::pair(entry.incarnation, entry.heartbeat);
}

duration scaled(duration period, double factor)
{
    return std::chrono::duration_cast<duration>(period * factor);
}

} // namespace

authority_periods::authority_periods(lease_timing const& timing)
    : time_to_live(timing.time_to_live),
      cautious(scaled(timing.time_to_live, 1.0 - timing.drift_margin)),
      patient(scaled(timing.time_to_live, 1.0 + timing.drift_margin)),
      recent_contact(timing.time_to_live / 2),
      no_contact(scaled(timing.time_to_live, 0.45)), contact_gap(scaled(no_contact, 0.8))
{
}

member_table::member_table(instance_id self, incarnation_number incarnation,
                           authority_periods periods)
    : self_(std::move(self)), incarnation_(incarnation), periods_(periods)
{
}

void member_table::merge(time_point now, instance_id const& from, gossip const& message)
{
    bool first = true;
    for (auto const& entry : message.entries)
    {
        merge_entry(now, entry, first && entry.id == from);
        first = false;
    }
}

void member_table::merge_entry(time_point now, member_entry const& entry, bool direct)
{
    if (entry.id == self_)
    {
        superseded_ = superseded_ || entry.incarnation > incarnation_;
        return;
    }
    auto const [found, is_new] = members_.try_emplace(entry.id);
    member& known = found->second;
    if (!is_new && order_of(entry) < order_of(known.entry))
        return;
    if (is_new || order_of(entry) > order_of(known.entry))
        take(now, known, entry, is_new);
    bool const without_contact = entry.store_contact_age >= periods_.no_contact;
    if (direct)
    {
        known.direct_at = now;
        known.direct_without_contact = without_contact;
    }
    else if (!without_contact)
    {
        known.direct_without_contact = false;
    }
}

void member_table::take(time_point now, member& known, member_entry const& entry,
                        bool is_new)
{
    time_point const contact = now - entry.store_contact_age;
    bool const restarted = is_new || entry.incarnation != known.entry.incarnation;
    if (restarted)
        known = member{};
    // A gap as long as this may hide a report of no contact, which rule (b) counts.
    if (restarted || contact - known.contact_at >= periods_.contact_gap)
        known.contact_since = contact;
    known.contact_at = restarted ? contact : std::max(contact, known.contact_at);
    known.entry = entry;
    known.heard_at = now;
}

void member_table::note_alive(time_point now, instance_id const& from)
{
    if (auto const found = members_.find(from); found != members_.end())
        found->second.heard_at = now;
}

void member_table::evict(time_point now)
{
    std::erase_if(members_, [now](auto const& item)
                  { return now - item.second.heard_at > forget_after; });
}

member const* member_table::find(instance_id const& id) const
{
    auto const found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

member_entry member_table::aged(member const& known, time_point now)
{
    member_entry entry = known.entry;
    entry.store_contact_age = now - known.contact_at;
    return entry;
}

bool member_table::live(member const& known, time_point now) const
{
    return known.entry.state != instance_state::left &&
           now - known.heard_at < periods_.time_to_live;
}

std::map<slot_number, member const*> member_table::holders(slot_number slots) const
{
    std::map<slot_number, member const*> best;
    for (auto const& [id, known] : members_)
    {
        if (!known.entry.has_slot || known.entry.slot >= slots)
            continue;
        auto& holder = best[known.entry.slot];
        if (holder == nullptr || known.entry.fence > holder->entry.fence)
            holder = &known;
    }
    return best;
}

member const* member_table::claimant(slot_number slot, fencing_number above) const
{
    member const* best = nullptr;
    for (auto const& [id, known] : members_)
    {
        if (!known.entry.has_slot || known.entry.slot != slot ||
            known.entry.fence <= above)
            continue;
        if (best == nullptr || known.entry.fence > best->entry.fence)
            best = &known;
    }
    return best;
}

member const* member_table::rival_of(instance_id const& peer) const
{
    auto const* const known = find(peer);
    if (known == nullptr || !known->entry.has_slot)
        return nullptr;
    return claimant(known->entry.slot, known->entry.fence);
}

config_version member_table::highest_config(time_point now) const
{
    config_version highest = 0;
    for (auto const& [id, known] : members_)
    {
        if (live(known, now))
            highest = std::max(highest, known.entry.config);
    }
    return highest;
}

} // namespace carawayturn::detail
