#include "coordination/entry/cold_servers.hpp"

#include "state/entry/directory_digest.hpp"
#include "state/entry/time_units.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace carawayturn::entry
{

namespace
{

/// Added to the cold time of a record, which normally ends when the hub clears the mark.
constexpr duration mark_margin = std::chrono::seconds(1);
/// How long slots are asked for after the last request that used or lacked one.
constexpr duration demand_memory = 2 * cold_slot_spacing;
/// When a slot is expected that was asked for just now: the hub answers within
/// milliseconds if it has one.
constexpr duration expected_grant = std::chrono::milliseconds(250);
/// When a slot is looked for again that is reserved for another request.
constexpr duration reservation_time = std::chrono::milliseconds(20);
/// Mean time after the cold time during which a server is preferred less, and the range
/// by which servers differ from it, as a part of it.
constexpr duration return_time = std::chrono::seconds(6);
constexpr double return_spread = 1.0 / 3;
constexpr duration longest_return = std::chrono::seconds(8);
/// Penalty at the end of the cold time, in requests for each slot.
constexpr double return_penalty = 1.5;
/// Penalty for a server to which this instance has sent within the gap, which falls from
/// `return_gap` to zero during the return time.
constexpr double gap_penalty = 1.0;
constexpr duration return_gap = std::chrono::milliseconds(500);

constexpr std::array<std::string_view, 4> source_names{"directory", "answer",
                                                       "connection", "evacuation"};

} // namespace

std::string_view name_of(cold_source source)
{
    return source_names.at(static_cast<std::size_t>(source));
}

cold_servers::state const* cold_servers::find(std::string const& id) const
{
    auto const found = states_.find(id);
    return found == states_.end() ? nullptr : &found->second;
}

cold_servers::state const* cold_servers::find_cold(backend_record const& record,
                                                   time_point now) const
{
    auto const* const known = find(record.id);
    bool const cold = known != nullptr && known->cold_until() > now;
    return cold && bound_.terms(record.service) ? known : nullptr;
}

void cold_servers::put(backend_record const& record, time_point now)
{
    auto const found = states_.find(record.id);
    if (found == states_.end() && record.cold_for_s == 0)
        return;
    auto& known = states_[record.id];
    if (known.born_ms != record.born_ms)
    {
        // What was noticed about the former incarnation no longer counts.
        known.noticed_until = std::min(known.noticed_until, now);
        known.flag = 0;
    }
    known.born_ms = record.born_ms;
    if (record.cold_for_s == 0)
        known.told_until = std::min(known.told_until, now);
    else if (record.cold_for_s != known.flag)
        known.told_until = now + std::chrono::seconds(record.cold_for_s) + mark_margin;
    known.flag = record.cold_for_s;
    if (known.told_until > now)
        known.source = cold_source::directory;
}

void cold_servers::remove(std::string const& id, time_point now)
{
    auto const found = states_.find(id);
    if (found == states_.end())
        return;
    // The sends and slots still count if a server of this id is back within a second.
    found->second.told_until = std::min(found->second.told_until, now);
    found->second.noticed_until = std::min(found->second.noticed_until, now);
    found->second.flag = 0;
}

void cold_servers::notice(backend_record const& record, cold_source source, duration left,
                          time_point now)
{
    auto& known = states_[record.id];
    known.born_ms = record.born_ms;
    known.noticed_at = now;
    known.noticed_until = now + left;
    known.source = source;
}

void cold_servers::note_cold_left(backend_record const& record, duration left,
                                  time_point now)
{
    if (!bound_.terms(record.service))
        return;
    if (left > duration::zero())
        notice(record, cold_source::answer, left, now);
    else if (auto const found = states_.find(record.id);
             found != states_.end() && found->second.born_ms == record.born_ms)
    {
        found->second.told_until = std::min(found->second.told_until, now);
        found->second.noticed_until = std::min(found->second.noticed_until, now);
    }
}

void cold_servers::note_broken(backend_record const& record, time_point now)
{
    if (auto const terms = bound_.terms(record.service))
        notice(record, cold_source::connection, terms->cold_time, now);
}

void cold_servers::note_evacuation_ended(backend_record const& record, time_point now)
{
    if (auto const terms = bound_.terms(record.service))
        notice(record, cold_source::evacuation, terms->cold_time, now);
}

void cold_servers::apply(std::vector<cold_slot_grant> const& grants, time_point sent_at,
                         time_point now)
{
    std::map<std::uint32_t, cold_slot_grant const*> by_id;
    for (auto const& grant : grants)
        by_id[grant.short_server_id] = &grant;
    if (by_id.empty())
        return;
    for (auto& [id, known] : states_)
    {
        auto const found = by_id.find(short_id(id));
        if (found == by_id.end() || sent_at <= known.answered_status)
            continue;
        auto const& grant = *found->second;
        known.answered_status = sent_at;
        known.slots = grant.slots;
        known.slots_until = sent_at + cold_slot_validity;
        // The hub read the row after this time.
        auto const row_at = sent_at - duration(grant.warm_row_age_us);
        if (grant.warm_row_age_us >= 0 && row_at >= known.noticed_at + cold_row_delay)
            known.noticed_until = std::min(known.noticed_until, now);
    }
}

std::size_t cold_servers::sends_since(state const& known, time_point since)
{
    return static_cast<std::size_t>(std::count_if(known.sends.begin(), known.sends.end(),
                                                  [&](time_point sent_at)
                                                  { return sent_at > since; }));
}

std::vector<cold_slot_request> cold_servers::take_requests(time_point now)
{
    std::vector<cold_slot_request> requests;
    for (auto const& [id, known] : states_)
    {
        if (known.cold_until() <= now)
            continue;
        auto const sends = sends_since(known, now - demand_memory);
        bool const lacked =
            known.lacked_at != time_point{} && now - known.lacked_at < demand_memory;
        if (sends == 0 && !lacked)
            continue;
        // The sends are those of two spacings. An instance that lacked slots asks for
        // twice as many as it could use.
        auto const used = (sends + 1) / 2;
        auto const wanted = lacked ? std::max<std::size_t>(2 * used, 1) : used;
        requests.push_back({short_id(id), static_cast<std::uint32_t>(wanted)});
    }
    return requests;
}

bool cold_servers::is_cold(backend_record const& record, time_point now) const
{
    return find_cold(record, now) != nullptr;
}

time_point cold_servers::usable_at(backend_record const& record, time_point now) const
{
    auto const* const known = find_cold(record, now);
    if (known == nullptr)
        return now;
    auto const expected = std::min(now + expected_grant, known->cold_until());
    if (known->slots == 0 || known->slots_until <= now)
        return expected;
    auto const sends = sends_since(*known, now - cold_slot_spacing);
    if (sends + known->reserved < known->slots)
        return now;
    if (sends < known->slots)
        return now + reservation_time;
    auto const oldest = *(known->sends.end() - static_cast<std::ptrdiff_t>(known->slots));
    return std::min(oldest + cold_slot_spacing, known->cold_until());
}

bool cold_servers::reserve(std::string const& id)
{
    auto const found = states_.find(id);
    if (found == states_.end() || !found->second.shown_cold)
        return false;
    ++found->second.reserved;
    return true;
}

void cold_servers::release(std::string const& id)
{
    auto const found = states_.find(id);
    if (found != states_.end() && found->second.reserved > 0)
        --found->second.reserved;
}

cold_decision cold_servers::spend(backend_record const& record, time_point now)
{
    auto const found = states_.find(record.id);
    if (found == states_.end())
        return cold_decision::warm;
    auto& known = found->second;
    if (find_cold(record, now) == nullptr)
    {
        known.warm_send = now;
        return cold_decision::warm;
    }
    while (!known.sends.empty() && known.sends.front() <= now - demand_memory)
        known.sends.pop_front();
    if (known.slots_until <= now ||
        sends_since(known, now - cold_slot_spacing) >= known.slots)
    {
        known.lacked_at = now;
        return cold_decision::no_slot;
    }
    known.sends.push_back(now);
    return cold_decision::slot_used;
}

void cold_servers::note_wanted(std::string const& id, time_point now)
{
    if (auto const found = states_.find(id); found != states_.end())
        found->second.lacked_at = now;
}

double cold_servers::random_part(std::string const& id, std::uint64_t salt) const
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(stable_hash(id, salt) >> 11U) * scale;
}

double cold_servers::penalty(backend_record const& record, time_point now) const
{
    auto const* const known = find(record.id);
    if (known == nullptr || !bound_.terms(record.service))
        return 0;
    auto const age = now - known->cold_until();
    auto const length =
        return_time * (1 + return_spread * (2 * random_part(record.id, 0) - 1));
    if (age < duration::zero() || age >= length)
        return 0;
    double const left = 1 - age / length;
    auto const gap = return_gap * left;
    bool const too_early = age < return_gap * random_part(record.id, seed_);
    bool const in_gap = now - known->warm_send < gap;
    return return_penalty * left + (too_early || in_gap ? gap_penalty : 0);
}

time_point cold_servers::cold_until(std::string const& id) const
{
    auto const* const known = find(id);
    return known == nullptr ? time_point{} : known->cold_until();
}

std::vector<cold_change> cold_servers::take_changes(time_point now)
{
    std::vector<cold_change> changes;
    cold_count_ = 0;
    for (auto& [id, known] : states_)
    {
        bool const cold = known.cold_until() > now;
        cold_count_ += cold ? 1 : 0;
        if (cold != std::exchange(known.shown_cold, cold))
            changes.push_back({id, cold, known.source,
                               cold ? known.cold_until() - now : duration::zero()});
    }
    std::erase_if(states_, [&](auto const& entry)
                  { return entry.second.cold_until() + longest_return <= now; });
    return changes;
}

std::uint64_t cold_servers::slots_held(time_point now) const
{
    std::uint64_t held = 0;
    for (auto const& [id, known] : states_)
        if (known.cold_until() > now && known.slots_until > now)
            held += known.slots;
    return held;
}

} // namespace carawayturn::entry
