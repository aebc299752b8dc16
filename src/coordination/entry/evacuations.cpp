#include "coordination/entry/evacuations.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// A reading is too old to send on this long before a row that it lacks can be binding,
/// so that the request arrives before.
constexpr duration send_margin = std::chrono::milliseconds(700);
/// Between two checks that are further apart than this, the process is assumed to have
/// been paused.
constexpr duration max_check_gap = std::chrono::milliseconds(300);
/// How long after a pause requests wait for a newer reading. The hub's reply takes one
/// interval of the statuses, up to 1.2 s, and a call to the store up to 0.9 s.
constexpr duration refresh_time = std::chrono::milliseconds(2000);

duration non_negative(std::int64_t microseconds)
{
    return duration(std::max<std::int64_t>(microseconds, 0));
}

} // namespace

evacuation_reading evacuation_reading::received(evacuated_domains set, time_point echo,
                                                time_point now, std::uint64_t era)
{
    // The ages may have any value in an odd message.
    auto const limit = now.time_since_epoch().count();
    auto const since_call = non_negative(std::min(set.since_call_us, limit));
    auto const since_answer = non_negative(std::min(set.since_answer_us, limit));
    auto const asked_at = echo == time_point{} || echo - time_point{} <= since_call
                              ? time_point{}
                              : echo - since_call;
    return {std::move(set), asked_at, now - since_answer, era};
}

void evacuations::set_bound(duration bound)
{
    max_age_ = std::max(bound - send_margin, bound / 2);
}

bool evacuations::is_newer(evacuation_reading const& reading) const
{
    if (!known_)
        return true;
    if (reading.era > era_)
        return true;
    // Versions of different eras tell nothing about each other.
    if (reading.era < era_)
        return reading.asked_at > answered_at_;
    if (reading.set.version == version_)
        return reading.asked_at > asked_at_;
    // Versions fall only when the store is restored to an earlier state. Two readings are
    // surely in another order than their versions if their times do not overlap.
    if (reading.set.version > version_)
        return reading.answered_at >= asked_at_;
    return reading.asked_at > answered_at_;
}

std::vector<evacuation_change> evacuations::learn(evacuation_reading reading)
{
    std::vector<evacuation_change> changed;
    if (!reading.set.known || !is_newer(reading))
        return changed;
    std::map<std::string, std::uint64_t> next;
    for (auto& domain : reading.set.domains)
        if (next.size() < max_evacuated_domains)
            next.emplace(std::move(domain.name), domain.row_version);
    for (auto const& [name, row_version] : next)
        if (!contains(name))
            changed.push_back({name, row_version, true});
    for (auto const& [name, row_version] : domains_)
        if (next.count(name) == 0)
            changed.push_back({name, row_version, false});
    domains_ = std::move(next);
    known_ = true;
    era_ = reading.era;
    version_ = reading.set.version;
    // A higher version is at least as recent as the reading before, also if its earliest
    // time is unknown.
    asked_at_ = std::max(asked_at_, reading.asked_at);
    answered_at_ = reading.answered_at;
    changes_ += changed.empty() ? 0 : 1;
    return changed;
}

void evacuations::note_check(time_point now)
{
    if (now - last_check_ >= max_check_gap)
        resumed_at_ = now;
    last_check_ = now;
}

bool evacuations::must_refresh(time_point now) const
{
    if (!known_ || recent(now))
        return false;
    // Right after a pause, a request may be handled before the next check.
    return now - last_check_ >= max_check_gap || now - resumed_at_ < refresh_time;
}

evacuated_domains evacuations::message(time_point now) const
{
    evacuated_domains set;
    set.known = known_;
    if (!known_)
        return set;
    set.version = version_;
    for (auto const& [name, row_version] : domains_)
        set.domains.push_back({name, row_version});
    set.since_call_us = age(now).count();
    set.since_answer_us = (now - answered_at_).count();
    return set;
}

} // namespace carawayturn::entry
