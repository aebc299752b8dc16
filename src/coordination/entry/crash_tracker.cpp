#include "coordination/entry/crash_tracker.hpp"

#include "state/stable_hash.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn::entry
{

namespace
{

/// A signature that was in flight at this many crashes is refused.
constexpr std::uint32_t crash_limit = 3;
/// A broken connection counts towards a crash that is detected within this time. A
/// server that starts again shows its new incarnation after some seconds.
constexpr duration crash_detection_window = std::chrono::seconds(3);
/// Further attempts that break off at a server within this time are not checked again.
constexpr duration check_interval = std::chrono::milliseconds(300);
/// Crashes of several servers within this time count once. Servers that crash under a
/// request do so one after the other; several at once have another cause.
constexpr duration common_cause_window = std::chrono::milliseconds(100);
/// Reports about one server within this time belong to the same crash: instances detect a
/// crash at different times, and a restart takes seconds.
constexpr duration same_crash_window = std::chrono::seconds(3);
/// A cleared signature is included in updates for this long, so that every instance
/// receives it.
constexpr duration cleared_retention = std::chrono::seconds(10);
/// Signatures without further crashes or refused requests are forgotten after this time.
constexpr duration suspect_retention = std::chrono::seconds(120);
/// How often the hub is told that a signature is still refused. It forgets signatures
/// after suspect_retention too.
constexpr duration refusal_report_interval = std::chrono::seconds(10);
/// How often a hub that does not list a blocked signature is told of it.
constexpr duration unlisted_report_interval = std::chrono::seconds(1);
/// Number of answered parts of prompts that an instance remembers.
constexpr std::size_t max_answered_parts = 4096;
/// An answered part clears the counts of other instances for this long.
constexpr duration sound_retention = std::chrono::seconds(5);
/// Crashes in a row that are not counted for an answered part of prompts.
constexpr std::uint32_t tolerated_crashes = 2;
constexpr std::size_t max_broken = 512;
constexpr std::size_t max_unproven_ends = 512;
constexpr std::size_t max_signatures = 4096;
/// Limit of the reports that wait for a hub.
constexpr std::size_t max_reports = 4096;

} // namespace

std::uint64_t request_signature(std::string_view target, std::string_view organisation,
                                std::string_view body)
{
    return stable_hash(body, stable_hash(organisation, stable_hash(target)));
}

std::uint64_t part_signature(std::string_view service, std::string_view id)
{
    return stable_hash(id, stable_hash(service, stable_hash("prompt part")));
}

crash_tracker::crash_tracker() : answered_(max_answered_parts, tolerated_crashes) {}

bool crash_tracker::note_broken_attempt(std::string const& server,
                                        crash_signatures const& signatures,
                                        time_point now)
{
    bool const checked_recently = std::any_of(
        broken_.begin(), broken_.end(),
        [&](broken_attempt const& attempt)
        { return attempt.server == server && now - attempt.at < check_interval; });
    if (broken_.size() < max_broken)
        broken_.push_back({server, signatures, now});
    return !checked_recently;
}

bool crash_tracker::note_unproven_end(std::string const& server,
                                      crash_signatures const& signatures, bool success,
                                      bool suspect, time_point now)
{
    if (unproven_count_ >= max_unproven_ends)
        return false;
    auto& ends = unproven_ends_[server];
    ends.push_back({signatures, success, suspect, now});
    ++unproven_count_;
    return ends.size() == 1;
}

bool crash_tracker::note_alive(std::string const& server, time_point alive_at)
{
    auto const found = unproven_ends_.find(server);
    if (found == unproven_ends_.end())
        return false;
    auto& ends = found->second;
    auto const later = std::find_if(ends.begin(), ends.end(),
                                    [&](auto const& end) { return end.at >= alive_at; });
    std::for_each(ends.begin(), later,
                  [&](unproven_end const& end)
                  { note_answered(end.signatures, end.success, alive_at); });
    unproven_count_ -= static_cast<std::size_t>(later - ends.begin());
    ends.erase(ends.begin(), later);
    if (!ends.empty())
        return true;
    unproven_ends_.erase(found);
    return false;
}

void crash_tracker::drop_unproven_ends(std::string const& server)
{
    auto const found = unproven_ends_.find(server);
    if (found == unproven_ends_.end())
        return;
    unproven_count_ -= found->second.size();
    unproven_ends_.erase(found);
}

void crash_tracker::suspect_unproven_ends(std::string const& server)
{
    auto const found = unproven_ends_.find(server);
    if (found == unproven_ends_.end())
        return;
    for (auto const& end : found->second)
        if (end.suspect && broken_.size() < max_broken)
            broken_.push_back({server, end.signatures, end.at});
    drop_unproven_ends(server);
}

void crash_tracker::count_crash(std::uint64_t signature, std::string const& server,
                                time_point now, detected_crash& crash)
{
    if (counts_.size() >= max_signatures && counts_.count(signature) == 0)
        return;
    auto& entry = counts_[signature];
    bool const same_crash =
        entry.server == server && now - entry.crashed_at <= same_crash_window;
    bool const common_cause = now - entry.crashed_at < common_cause_window;
    if (same_crash || common_cause)
        return;
    set_crashes(signature, entry, entry.crashes + 1);
    entry.last = now;
    entry.crashed_at = now;
    entry.server = server;
    entry.seen_here = true;
    crash.most_crashes = std::max(crash.most_crashes, entry.crashes);
    add_report({signature, server});
}

void crash_tracker::set_crashes(std::uint64_t signature, suspicion& entry,
                                std::uint32_t crashes)
{
    bool const was_blocked = entry.crashes >= crash_limit;
    entry.crashes = crashes;
    if (!was_blocked && crashes >= crash_limit && newly_blocked_.size() < max_signatures)
        newly_blocked_.push_back({signature, crashes});
}

std::optional<detected_crash> crash_tracker::note_crash(std::string const& server,
                                                        time_point now)
{
    suspect_unproven_ends(server);
    detected_crash crash;
    std::set<std::uint64_t> requests;
    std::set<std::uint64_t> parts;
    std::erase_if(broken_,
                  [&](broken_attempt const& attempt)
                  {
                      if (attempt.server != server)
                          return false;
                      if (now - attempt.at > crash_detection_window)
                          return true;
                      ++crash.broken_attempts;
                      requests.insert(attempt.signatures.request);
                      parts.insert(attempt.signatures.parts.begin(),
                                   attempt.signatures.parts.end());
                      return true;
                  });
    for (auto const signature : requests)
        count_crash(signature, server, now, crash);
    for (auto const signature : parts)
        if (!answered_.tolerates_crash(signature, now))
            count_crash(signature, server, now, crash);
    auto const [detected, is_new] = detected_at_.emplace(server, now);
    if (!is_new && now - detected->second <= same_crash_window &&
        crash.broken_attempts == 0)
        return std::nullopt;
    detected->second = now;
    return crash;
}

void crash_tracker::clear(std::uint64_t signature)
{
    if (counts_.erase(signature) != 0)
        newly_cleared_.push_back(signature);
}

void crash_tracker::note_answered(crash_signatures const& signatures, bool success,
                                  time_point now)
{
    clear(signatures.request);
    if (!success)
        return;
    for (auto const part : signatures.parts)
    {
        answered_.note_answered(part, now);
        clear(part);
    }
}

void crash_tracker::merge_fleet_counts(std::vector<crash_count> const& crashes,
                                       std::vector<std::uint64_t> const& cleared,
                                       time_point now)
{
    for (auto const signature : cleared)
        counts_.erase(signature);
    std::set<std::uint64_t> listed(cleared.begin(), cleared.end());
    for (auto const& crash : crashes)
    {
        listed.insert(crash.signature);
        auto& entry = counts_[crash.signature];
        if (crash.crashes > entry.crashes)
        {
            set_crashes(crash.signature, entry, crash.crashes);
            entry.last = now;
        }
        // The other instances have not heard yet that this part is answered.
        if (answered_.is_sound(crash.signature, sound_retention, now))
            clear(crash.signature);
    }
    report_unlisted(listed, now);
}

void crash_tracker::report_unlisted(std::set<std::uint64_t> const& listed, time_point now)
{
    for (auto& [signature, entry] : counts_)
    {
        bool const told =
            entry.reported_at && now - *entry.reported_at < unlisted_report_interval;
        if (entry.seen_here && entry.crashes >= crash_limit && !told &&
            listed.count(signature) == 0)
            report_blocked(signature, entry, now);
    }
}

bool crash_tracker::is_blocked(std::uint64_t signature) const
{
    auto const found = counts_.find(signature);
    return found != counts_.end() && found->second.crashes >= crash_limit;
}

bool crash_tracker::is_blocked(crash_signatures const& signatures) const
{
    return is_blocked(signatures.request) ||
           std::any_of(signatures.parts.begin(), signatures.parts.end(),
                       [this](std::uint64_t part) { return is_blocked(part); });
}

void crash_tracker::note_refused(crash_signatures const& signatures, time_point now)
{
    auto note = [&](std::uint64_t signature)
    {
        auto const found = counts_.find(signature);
        if (found == counts_.end() || found->second.crashes < crash_limit)
            return;
        auto& entry = found->second;
        entry.last = now;
        entry.seen_here = true;
        if (!entry.reported_at || now - *entry.reported_at >= refusal_report_interval)
            report_blocked(signature, entry, now);
    };
    note(signatures.request);
    std::for_each(signatures.parts.begin(), signatures.parts.end(), note);
}

void crash_tracker::report_blocked(std::uint64_t signature, suspicion& entry,
                                   time_point now)
{
    entry.reported_at = now;
    add_report({signature, {}});
}

void crash_tracker::add_report(crash_report report)
{
    if (new_reports_.size() < max_reports)
        new_reports_.push_back(std::move(report));
}

std::vector<crash_report> crash_tracker::take_new_reports()
{
    return std::exchange(new_reports_, {});
}

std::vector<crash_count> crash_tracker::take_newly_blocked()
{
    return std::exchange(newly_blocked_, {});
}

std::vector<std::uint64_t> crash_tracker::take_cleared()
{
    return std::exchange(newly_cleared_, {});
}

void crash_tracker::expire(time_point now)
{
    std::erase_if(broken_, [&](broken_attempt const& attempt)
                  { return now - attempt.at > crash_detection_window; });
    std::erase_if(counts_, [&](auto const& entry)
                  { return now - entry.second.last > suspect_retention; });
    std::erase_if(detected_at_, [&](auto const& entry)
                  { return now - entry.second > same_crash_window; });
}

void fleet_crash_tracker::add_report(crash_report const& report, suspect& entry,
                                     time_point now)
{
    entry.last = now;
    // A report without a server says that an instance refuses the signature, perhaps
    // since a time before this hub.
    if (report.backend.empty())
    {
        entry.crashes = std::max(entry.crashes, crash_limit);
        return;
    }
    std::erase_if(entry.servers, [&](auto const& server)
                  { return now - server.second > same_crash_window; });
    bool const common_cause =
        entry.crashes > 0 && now - entry.crashed_at < common_cause_window;
    if (!entry.servers.emplace(report.backend, now).second || common_cause)
        return;
    ++entry.crashes;
    entry.crashed_at = now;
    cleared_.erase(report.signature);
}

bool fleet_crash_tracker::add_reports(std::vector<crash_report> const& crashes,
                                      time_point now)
{
    bool newly_blocked = false;
    for (auto const& crash : crashes)
    {
        bool const known = suspects_.count(crash.signature) != 0;
        bool const outdated =
            crash.backend.empty() && cleared_.count(crash.signature) != 0;
        if (outdated || (!known && suspects_.size() >= max_signatures))
            continue;
        auto& entry = suspects_[crash.signature];
        bool const was_blocked = entry.crashes >= crash_limit;
        add_report(crash, entry, now);
        newly_blocked = newly_blocked || (!was_blocked && entry.crashes >= crash_limit);
    }
    return newly_blocked;
}

void fleet_crash_tracker::note_cleared(std::vector<std::uint64_t> const& signatures,
                                       time_point now)
{
    for (auto const signature : signatures)
    {
        suspects_.erase(signature);
        cleared_[signature] = now;
    }
}

std::vector<crash_count> fleet_crash_tracker::blocked() const
{
    std::vector<crash_count> found;
    for (auto const& [signature, entry] : suspects_)
        if (entry.crashes >= crash_limit)
            found.push_back({signature, entry.crashes});
    return found;
}

std::vector<std::uint64_t> fleet_crash_tracker::cleared(time_point now)
{
    std::erase_if(cleared_, [&](auto const& entry)
                  { return now - entry.second > cleared_retention; });
    std::vector<std::uint64_t> found;
    for (auto const& [signature, at] : cleared_)
        found.push_back(signature);
    return found;
}

std::vector<crash_count> fleet_crash_tracker::suspects(time_point now)
{
    std::erase_if(suspects_, [&](auto const& entry)
                  { return now - entry.second.last > suspect_retention; });
    std::vector<crash_count> found;
    for (auto const& [signature, entry] : suspects_)
        if (entry.crashes > 1)
            found.push_back({signature, entry.crashes});
    return found;
}

} // namespace carawayturn::entry
