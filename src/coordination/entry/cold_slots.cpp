#include "coordination/entry/cold_slots.hpp"

#include "state/entry/directory_digest.hpp"
#include "state/entry/time_units.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawayturn::entry
{

namespace
{

/// A mark is sent again only if the cold time grew by more than this. Rows state it with
/// differences of up to the time between two readings of the store.
constexpr duration flag_tolerance = std::chrono::seconds(1);
/// After a server became cold, slots are granted evenly for this long, so that the first
/// instance that asks does not get all of them.
constexpr duration even_phase = std::chrono::milliseconds(600);
/// An instance asks for one slot first and then for twice as many as it uses. For this
/// long after it lacked slots, free ones are kept for it up to its share, so that one
/// that asks for all of them does not get them in between. Longer than the interval of
/// the statuses at 300 instances.
constexpr duration growth_time = std::chrono::milliseconds(1500);

} // namespace

void cold_slots::start(bool first_holder, time_point now)
{
    grants_from_ = first_holder ? now : now + cold_slot_validity + cold_slot_spacing;
    for (auto& [key, known] : servers_)
    {
        known.holdings.clear();
        known.returning.clear();
    }
}

void cold_slots::describe(server& target, backend_record const& record)
{
    target.id = record.id;
    target.service = record.service;
    target.domain = record.failure_domain;
    target.born_ms = record.born_ms;
}

void cold_slots::make_cold(server& target, time_point until, time_point now)
{
    if (target.cold_until <= now)
        target.cold_since = now;
    target.cold_until = until;
}

void cold_slots::update_flag(server& target, time_point now)
{
    auto const former = target.flag;
    if (target.cold_until <= now)
    {
        target.flag = 0;
        target.flagged_until = now;
    }
    else if (former == 0 || target.cold_until > target.flagged_until + flag_tolerance)
    {
        auto const left = std::ceil(to_seconds(target.cold_until - now));
        target.flag = static_cast<std::uint32_t>(left);
        // Receivers recognize an extension by another value.
        if (target.flag == former)
            ++target.flag;
        target.flagged_until = target.cold_until;
    }
    target.changed = target.changed || target.flag != former;
}

std::uint32_t cold_slots::put(backend_record const& record, bool newly_started,
                              time_point now)
{
    if (!bound_.enabled())
        return 0;
    auto const terms = bound_.terms(record.service);
    // Rows may be read before the configuration is.
    bool const limited = terms || !bound_.configured();
    auto const [entry, inserted] = servers_.try_emplace(short_id(record.id));
    auto& known = entry->second;
    bool const started = inserted ? newly_started : known.born_ms != record.born_ms;
    describe(known, record);
    known.removed = false;
    if (started && terms)
    {
        make_cold(known, now + terms->cold_time, now);
        known.rows_count_from = now;
    }
    if (record.cold_left && limited && now >= known.rows_count_from)
    {
        make_cold(known, now + *record.cold_left, now);
        known.row_at = now;
    }
    update_flag(known, now);
    known.changed = false;
    return known.flag;
}

void cold_slots::remove(std::string const& id)
{
    // The slots may still be valid when a server of this id is back.
    auto const found = servers_.find(short_id(id));
    if (found != servers_.end())
        found->second.removed = true;
}

void cold_slots::inherit(backend_record const& record, time_point until)
{
    auto const [entry, inserted] = servers_.try_emplace(short_id(record.id));
    auto& known = entry->second;
    if (inserted)
        describe(known, record);
    if (known.born_ms == record.born_ms)
        known.cold_until = std::max(known.cold_until, until);
}

void cold_slots::note_evacuation_ended(std::string const& domain, time_point now)
{
    for (auto& [key, known] : servers_)
    {
        auto const terms = bound_.terms(known.service);
        if (known.domain != domain || !terms)
            continue;
        make_cold(known, std::max(known.cold_until, now + terms->cold_time), now);
        known.rows_count_from = now + cold_row_delay;
        known.row_at = {};
    }
}

std::vector<std::string> cold_slots::take_changed(time_point now)
{
    std::vector<std::string> changed;
    for (auto& [key, known] : servers_)
    {
        if (known.removed)
            take_back_expired(known, now);
        update_flag(known, now);
        if (std::exchange(known.changed, false) && !known.removed)
            changed.push_back(known.id);
    }
    std::erase_if(servers_,
                  [](auto const& entry)
                  {
                      auto const& known = entry.second;
                      return known.removed && known.holdings.empty() &&
                             known.returning.empty();
                  });
    return changed;
}

std::uint32_t cold_slots::cold_for_s(std::string const& id) const
{
    auto const found = servers_.find(short_id(id));
    return found == servers_.end() ? 0 : found->second.flag;
}

void cold_slots::take_back_expired(server& target, time_point now)
{
    for (auto const& [name, held] : target.holdings)
        if (held.valid_until <= now && held.slots > 0)
            target.returning.emplace_back(held.valid_until + cold_slot_spacing,
                                          held.slots);
    std::erase_if(target.holdings,
                  [&](auto const& entry) { return entry.second.valid_until <= now; });
    std::erase_if(target.returning,
                  [&](auto const& entry) { return entry.first <= now; });
}

std::uint32_t cold_slots::free_slots(server const& target, std::uint32_t slots)
{
    std::uint32_t used = 0;
    for (auto const& [name, held] : target.holdings)
        used += held.slots;
    for (auto const& [free_at, count] : target.returning)
        used += count;
    return slots > used ? slots - used : 0;
}

std::uint32_t cold_slots::target_slots(server const& target, owner const& asker,
                                       std::uint32_t slots, std::size_t instances,
                                       time_point now)
{
    auto const share = [slots](std::size_t count)
    {
        auto const part = slots / std::max<std::size_t>(count, 1);
        return std::max(static_cast<std::uint32_t>(part), 1U);
    };
    auto const fair = share(target.holdings.size());
    bool const others_lack = std::any_of(target.holdings.begin(), target.holdings.end(),
                                         [&](auto const& entry)
                                         {
                                             auto const& held = entry.second;
                                             return entry.first != asker &&
                                                    held.slots < fair &&
                                                    now < held.lacked_at + growth_time;
                                         });
    auto most = others_lack ? fair : slots;
    if (now < target.cold_since + even_phase)
        most = std::min(most, share(instances));
    auto const& own = target.holdings.at(asker);
    return std::min(own.wanted, std::max(most, others_lack ? 0U : own.slots));
}

std::uint32_t cold_slots::grant(server& target, owner const& asker, std::uint32_t wanted,
                                std::size_t instances, time_point now) const
{
    auto const terms = bound_.terms(target.service);
    auto const slots = terms ? terms->slots : 0;
    take_back_expired(target, now);
    auto& own = target.holdings[asker];
    own.wanted = wanted;
    if (wanted > own.slots)
        own.lacked_at = now;
    auto const wish = target_slots(target, asker, slots, instances, now);
    if (wish < own.slots)
        target.returning.emplace_back(own.valid_until + cold_slot_spacing,
                                      own.slots - wish);
    own.slots = wish <= own.slots
                    ? wish
                    : own.slots + std::min(wish - own.slots, free_slots(target, slots));
    own.valid_until = now + cold_slot_validity;
    return own.slots;
}

std::vector<cold_slot_grant> cold_slots::answer(node_status const& status,
                                                std::size_t instances, time_point now)
{
    std::vector<cold_slot_grant> grants;
    if (now < grants_from_)
        return grants;
    for (auto const& request : status.cold_requests)
    {
        auto const found = servers_.find(request.short_server_id);
        if (found == servers_.end())
            continue;
        auto& target = found->second;
        bool const warm = target.row_at != time_point{} && target.cold_until <= now;
        auto const slots = grant(target, {status.node, status.incarnation},
                                 request.wanted, instances, now);
        grants.push_back(
            {request.short_server_id, slots, warm ? (now - target.row_at).count() : -1});
    }
    return grants;
}

} // namespace carawayturn::entry
