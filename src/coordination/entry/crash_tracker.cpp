#include "coordination/entry/crash_tracker.hpp"

#include "state/stable_hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace carawayturn::entry
{

namespace
{

/// A request that was in flight at this many crashes is refused.
constexpr std::uint32_t crash_limit = 3;
/// A broken connection counts towards a crash that is detected within this time. A
/// server that starts again shows its new incarnation after some seconds.
constexpr duration crash_detection_window = std::chrono::seconds(3);
/// Further attempts that break off at a server within this time are not checked again.
constexpr duration check_interval = std::chrono::milliseconds(300);
/// Reports about one server within this time belong to the same crash: instances detect a
/// crash at different times, and a restart takes seconds.
constexpr duration same_crash_window = std::chrono::seconds(3);
/// A cleared signature is included in updates for this long, so that every instance
/// receives it.
constexpr duration cleared_retention = std::chrono::seconds(10);
/// Signatures without further crashes are forgotten after this time.
constexpr duration suspect_retention = std::chrono::seconds(120);
constexpr std::size_t max_broken = 512;
constexpr std::size_t max_signatures = 4096;

} // namespace

std::uint64_t request_signature(std::string_view target, std::string_view organisation,
                                std::string_view body)
{
    return stable_hash(body, stable_hash(organisation, stable_hash(target)));
}

bool crash_tracker::note_broken_attempt(std::string const& server,
                                        std::uint64_t signature, time_point now)
{
    bool const checked_recently = std::any_of(
        broken_.begin(), broken_.end(),
        [&](broken_attempt const& attempt)
        { return attempt.server == server && now - attempt.at < check_interval; });
    if (broken_.size() < max_broken)
        broken_.push_back({server, signature, now});
    return !checked_recently;
}

std::optional<detected_crash> crash_tracker::note_crash(std::string const& server,
                                                        time_point now)
{
    detected_crash crash;
    std::set<std::uint64_t> signatures;
    std::erase_if(broken_,
                  [&](broken_attempt const& attempt)
                  {
                      if (attempt.server != server)
                          return false;
                      if (now - attempt.at <= crash_detection_window)
                      {
                          signatures.insert(attempt.signature);
                          ++crash.broken_attempts;
                      }
                      return true;
                  });
    for (auto const signature : signatures)
    {
        if (counts_.size() >= max_signatures && counts_.count(signature) == 0)
            continue;
        auto& entry = counts_[signature];
        ++entry.crashes;
        entry.last = now;
        crash.most_crashes = std::max(crash.most_crashes, entry.crashes);
        new_reports_.push_back({signature, server});
    }
    auto const [detected, is_new] = detected_at_.emplace(server, now);
    if (!is_new && now - detected->second <= same_crash_window &&
        crash.broken_attempts == 0)
        return std::nullopt;
    detected->second = now;
    return crash;
}

void crash_tracker::note_cleared(std::uint64_t signature)
{
    if (counts_.erase(signature) != 0)
        newly_cleared_.push_back(signature);
}

void crash_tracker::merge_fleet_counts(std::vector<crash_count> const& crashes,
                                       std::vector<std::uint64_t> const& cleared,
                                       time_point now)
{
    for (auto const signature : cleared)
        counts_.erase(signature);
    for (auto const& crash : crashes)
    {
        auto& entry = counts_[crash.signature];
        entry.crashes = std::max(entry.crashes, crash.crashes);
        entry.last = now;
    }
}

bool crash_tracker::is_blocked(std::uint64_t signature) const
{
    auto const found = counts_.find(signature);
    return found != counts_.end() && found->second.crashes >= crash_limit;
}

std::vector<crash_report> crash_tracker::take_new_reports()
{
    return std::exchange(new_reports_, {});
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

void fleet_crash_tracker::add_reports(std::vector<crash_report> const& crashes,
                                      time_point now)
{
    for (auto const& crash : crashes)
    {
        if (suspects_.size() >= max_signatures && suspects_.count(crash.signature) == 0)
            continue;
        auto& entry = suspects_[crash.signature];
        auto const [server, fresh] = entry.servers.emplace(crash.backend, now);
        if (!fresh && now - server->second <= same_crash_window)
            continue;
        server->second = now;
        ++entry.crashes;
        entry.last = now;
        cleared_.erase(crash.signature);
    }
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
