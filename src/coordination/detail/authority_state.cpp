#include "coordination/detail/authority_state.hpp"

#include "state/stable_hash.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <functional>

namespace carawayturn::detail
{

namespace
{

// Reported as the age when the table service never answered.
constexpr duration never_contacted = std::chrono::hours(24);
std::uint32_t const default_instance_slots = fleet_config{}.instance_slots;
// Submissions wait for acceptance for submission_limit; this many versions cannot be
// committed in that time.
constexpr std::size_t version_starts_kept = 1024;

// Allowed for the time that a message is on its way, which its ages do not include.
constexpr duration message_delay = std::chrono::milliseconds(300);

std::int64_t milliseconds(duration period)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(period).count();
}

} // namespace

void store_contact::note(time_point now)
{
    if (!last_ || now - *last_ >= periods_.contact_gap)
        since_ = now;
    last_ = now;
}

duration store_contact::age(time_point now) const
{
    return last_ ? now - *last_ : never_contacted;
}

bool store_contact::unbroken_for(time_point now, duration period) const
{
    return last_ && now - *last_ < periods_.contact_gap && since_ <= now - period;
}

authority_state::authority_state(instance_identity identity, lease_timing timing)
    : identity_(std::move(identity)), timing_(timing), periods_(timing),
      contact_(periods_), lease_(periods_),
      members_(identity_.id, identity_.incarnation, periods_), gossip_(identity_),
      random_(stable_hash(identity_.id.str(), identity_.seed + 1))
{
}

void authority_state::handle(time_point now, event const& input, actions& out)
{
    last_call_ = now;
    if (auto const* const answer = std::get_if<table_answered>(&input))
        on_table_answer(now, *answer, out);
    else if (auto const* const received = std::get_if<peer_received>(&input))
        on_peer(now, *received, out);
    else if (auto const* const listed = std::get_if<instances_listed>(&input))
        gossip_.note_listed(listed->instances);
    else if (std::holds_alternative<change_submitted>(input))
        read_all_until_ = now + submission_limit;
    else if (std::holds_alternative<tick>(input))
        on_tick(now, out);
    else
        return;
    refresh_rule_b(now);
}

void authority_state::on_peer(time_point now, peer_received const& received, actions& out)
{
    bool const was_superseded = members_.superseded();
    if (auto const* const message = std::get_if<gossip>(&received.message))
        members_.merge(now, received.from, *message);
    else
        members_.note_alive(now, received.from);
    if (members_.superseded() && !was_superseded)
        out.emplace_back(log_record{104, identity_.id.str(),
                                    "a process with this id and a higher incarnation "
                                    "is running"});
    auto const held = lease_.held();
    if (held && members_.claimant(held->slot, held->fence) != nullptr)
        lose_slot("claimed by another instance, according to gossip", out);
}

void authority_state::gossip_round(time_point now, actions& out)
{
    ++heartbeat_;
    members_.evict(now);
    gossip_.send_round(now, own_entry(now), members_, out);
}

member_entry authority_state::own_entry(time_point now) const
{
    member_entry entry;
    entry.id = identity_.id;
    entry.incarnation = identity_.incarnation;
    if (auto const& held = lease_.held())
    {
        entry.has_slot = true;
        entry.slot = held->slot;
        entry.fence = held->fence;
    }
    entry.heartbeat = heartbeat_;
    entry.state = state_;
    entry.peer_address = identity_.peer_address;
    entry.failure_domain = identity_.failure_domain;
    entry.store_contact_age = contact_.age(now);
    entry.config = view_.version;
    return entry;
}

slot_number authority_state::slots() const
{
    return view_.instance_slots == 0 ? default_instance_slots : view_.instance_slots;
}

void authority_state::set_config(config_view view)
{
    if (view.version < view_.version)
        return;
    if (view.version > view_.version)
        version_starts_.push_back({view.version, last_call_});
    if (version_starts_.size() > version_starts_kept)
        version_starts_.pop_front();
    view_ = view;
    refresh_confirmed();
    refresh_rule_b(last_call_);
}

void authority_state::confirm_config(time_point asked, config_version newest)
{
    if (newest <= view_.version && (!confirmed_ || *confirmed_ < asked))
        confirmed_ = asked;
}

std::optional<time_point> authority_state::config_confirmed() const
{
    return confirmed_;
}

void authority_state::refresh_confirmed()
{
    if (head_)
        confirm_config(head_->asked, head_->version);
}

/// Whether the member lost contact too early to have backed a claim of this instance's
/// slot. A claim takes effect `patient` after the last renewal at the earliest and needs
/// a majority whose contact is recent then; rule (b) counts only members outside every
/// such majority.
bool authority_state::unclaimed_while_in_contact(member const& known) const
{
    auto const renewed = lease_.renewed();
    return renewed && known.contact_at + periods_.recent_contact + message_delay <=
                          *renewed + periods_.patient;
}

void authority_state::refresh_rule_b(time_point now)
{
    rule_b_until_.reset();
    // Also while the lease is valid, so that the rule is ready when it lapses between
    // events.
    if (members_.highest_config(now) > view_.version)
        return;
    auto const& held = lease_.held();
    std::vector<time_point> ends;
    for (auto const& [slot, known] : members_.holders(slots()))
    {
        if (held && slot == held->slot)
            continue;
        if (known->direct_at && known->direct_without_contact &&
            (!held || unclaimed_while_in_contact(*known)))
            ends.push_back(*known->direct_at + periods_.cautious);
    }
    std::size_t const needed = majority() - (held ? 1 : 0);
    if (ends.size() < needed)
        return;
    std::sort(ends.begin(), ends.end(), std::greater<>());
    rule_b_until_ = needed == 0 ? time_point::max() : ends[needed - 1];
}

bool authority_state::may_serve(time_point now) const
{
    if (members_.superseded() || state_ == instance_state::left)
        return false;
    // A confirmation from before the lease's present validity does not count: changes may
    // have been accepted without this instance in the gap.
    if (lease_.valid(now))
        return confirmed_ && *confirmed_ > lease_.valid_since() &&
               now - *confirmed_ < periods_.cautious;
    return rule_b_until_ && now < *rule_b_until_ && !has_store_contact(now);
}

bool authority_state::lease_valid(time_point now) const
{
    return lease_left(now) > duration{0};
}

duration authority_state::lease_left(time_point now) const
{
    return members_.superseded() ? duration{0} : lease_.left(now);
}

std::optional<held_slot> authority_state::slot() const
{
    return lease_.held();
}

bool authority_state::owns_base_share(time_point now) const
{
    return lease_.held() && may_serve(now);
}

std::vector<member_entry> authority_state::live_members(time_point now) const
{
    std::vector<member_entry> live{own_entry(now)};
    for (auto const& [id, known] : members_.all())
    {
        if (members_.live(known, now))
            live.push_back(member_table::aged(known, now));
    }
    std::sort(live.begin(), live.end(),
              [](auto const& left, auto const& right) { return left.id < right.id; });
    return live;
}

bool authority_state::has_store_contact(time_point now) const
{
    return contact_.age(now) < periods_.no_contact;
}

/// Counts slots whose holders had contact during the whole period. The set has to be the
/// same during the period, or it need not intersect the majority that rule (b) counts.
bool authority_state::majority_has_contact(time_point now) const
{
    if (!contact_.unbroken_for(now, periods_.patient) ||
        contact_.age(now) >= periods_.recent_contact)
        return false;
    auto const& held = lease_.held();
    std::size_t count = lease_.valid(now) ? 1 : 0;
    for (auto const& [slot, known] : members_.holders(slots()))
    {
        if (held && slot == held->slot)
            continue;
        if (known->contact_since <= now - periods_.patient &&
            now - known->contact_at < periods_.recent_contact)
            ++count;
    }
    return count >= majority();
}

bool authority_state::holder_stopped(time_point now, slot_watch const& watch) const
{
    if (watch.free())
        return true;
    // The row is compared between two reads, so that a renewal sent after the last read
    // restarts a lease that had lapsed before.
    if (watch.unreadable || watch.asked - watch.first_seen < periods_.patient)
        return false;
    bool const own_id = watch.row->holder == identity_.id;
    auto const* const known = members_.find(watch.row->holder);
    auto const newest = own_id             ? identity_.incarnation
                        : known != nullptr ? known->entry.incarnation
                                           : watch.row->incarnation;
    // The process ended if one with its name and a higher incarnation runs.
    if (newest > watch.row->incarnation)
        return true;
    if (own_id || (known != nullptr && now - known->heard_at < periods_.patient))
        return false;
    return majority_has_contact(now);
}

bool authority_state::proven_stopped(time_point now, slot_number slot,
                                     fencing_number fence) const
{
    auto const* const watch = watches_.find(slot);
    if (watch == nullptr || !watch->row || watch->row->fence < fence)
        return false;
    return watch->row->fence > fence || holder_stopped(now, *watch);
}

std::optional<time_point> authority_state::in_force_since(config_version version) const
{
    if (version > view_.version)
        return std::nullopt;
    for (auto const& start : version_starts_)
    {
        if (start.version >= version)
            return start.since;
    }
    return time_point{};
}

bool authority_state::rows_read_since(time_point since) const
{
    for (slot_number slot = 0; slot < slots(); ++slot)
    {
        auto const* const watch = watches_.find(slot);
        if (watch == nullptr || watch->asked < since)
            return false;
    }
    return true;
}

bool authority_state::row_confirmed(time_point now, slot_watch const& watch,
                                    config_version version) const
{
    if (watch.free())
        return true;
    if (watch.unreadable)
        return false;
    if (watch.row->holder == identity_.id &&
        watch.row->incarnation == identity_.incarnation)
        return view_.version >= version;
    auto const* const known = members_.find(watch.row->holder);
    if (known != nullptr && known->entry.incarnation == watch.row->incarnation &&
        known->entry.config >= version)
        return true;
    return holder_stopped(now, watch);
}

std::vector<instance_id> authority_state::unconfirmed(time_point now,
                                                      config_version version) const
{
    std::vector<instance_id> missing;
    for (auto const& [slot, watch] : watches_.all())
    {
        if (!row_confirmed(now, watch, version))
            missing.push_back(watch.row ? watch.row->holder
                                        : instance_id(slot_key(slot)));
    }
    // An instance may have claimed a slot after the rows were read last; until they are
    // read again, this instance itself is given as missing.
    auto const since = in_force_since(version);
    if (!since || !rows_read_since(*since))
        missing.push_back(identity_.id);
    std::sort(missing.begin(), missing.end());
    missing.erase(std::unique(missing.begin(), missing.end()), missing.end());
    return missing;
}

std::string authority_state::dump(time_point now) const
{
    namespace json = boost::json;
    json::array members;
    for (auto const& [id, known] : members_.all())
    {
        members.push_back(json::object{
            {"id", id.str()},
            {"incarnation", known.entry.incarnation},
            {"slot", known.entry.has_slot ? json::value(known.entry.slot) : nullptr},
            {"state", static_cast<int>(known.entry.state)},
            {"config", known.entry.config},
            {"heard_ms_ago", milliseconds(now - known.heard_at)},
            {"store_contact_ms_ago", milliseconds(now - known.contact_at)}});
    }
    auto const& held = lease_.held();
    return json::serialize(json::object{
        {"slot", held ? json::value(held->slot) : nullptr},
        {"fence", held ? json::value(held->fence) : nullptr},
        {"lease_left_ms", milliseconds(lease_left(now))},
        {"may_serve", may_serve(now)},
        {"store_contact", has_store_contact(now)},
        {"config", view_.version},
        {"config_confirmed_ms_ago",
         confirmed_ ? json::value(milliseconds(now - *confirmed_)) : nullptr},
        {"superseded", members_.superseded()},
        {"members", std::move(members)}});
}

} // namespace carawayturn::detail
