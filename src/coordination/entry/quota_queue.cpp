#include "coordination/entry/quota_queue.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace carawayturn::entry
{

namespace
{

/// Bounds on the waiting requests, each of which takes about 150 bytes.
constexpr std::size_t max_waiting_of_organisation = 1024;
constexpr std::size_t max_waiting = 4096;
/// Interval between two settlements, and what each instance adds to it: at 300 instances
/// an instance gets fewer than three updates a second because of them.
constexpr duration base_interval = std::chrono::milliseconds(50);
constexpr duration interval_per_instance = std::chrono::milliseconds(1);
/// Time without a message after which the requests of an instance are dropped. It exceeds
/// two intervals of the statuses in a fleet of 300.
constexpr duration silence_limit = std::chrono::milliseconds(3000);

} // namespace

void quota_queue::clear()
{
    lines_.clear();
    instances_.clear();
    settled_.clear();
}

void quota_queue::heard(std::string const& instance, std::uint64_t incarnation,
                        time_point now)
{
    auto& state = instances_[instance];
    bool const restarted = state.incarnation != 0 && state.incarnation != incarnation;
    state = {incarnation, now};
    if (restarted)
        drop([&](quota_claim const& claim)
             { return claim.instance == instance && claim.incarnation != incarnation; });
}

void quota_queue::cancel(std::string const& instance,
                         std::vector<std::uint64_t> const& ids)
{
    if (ids.empty())
        return;
    std::set<std::uint64_t> const cancelled(ids.begin(), ids.end());
    drop([&](quota_claim const& claim)
         { return claim.instance == instance && cancelled.contains(claim.id); });
}

void quota_queue::drop(organisation_queue::drop_rule const& rule)
{
    for (auto& [name, line] : lines_)
        line.drop(rule);
}

void quota_queue::drop_silent_instances(time_point now)
{
    std::set<std::string> silent;
    for (auto const& [instance, state] : instances_)
        if (now - state.heard_at > silence_limit)
            silent.insert(instance);
    if (silent.empty())
        return;
    drop([&](quota_claim const& claim) { return silent.contains(claim.instance); });
    for (auto const& instance : silent)
        instances_.erase(instance);
}

void quota_queue::pay(std::string const& organisation, organisation_queue& line,
                      quota_terms const& terms, time_point now)
{
    while (auto claim = line.pay_next(bank_.state(organisation, terms, now), now))
    {
        bank_.take(organisation, claim->units);
        settled_.push_back({std::move(claim->instance),
                            claim->incarnation,
                            claim->id,
                            claim->units,
                            {}});
    }
}

void quota_queue::refuse(quota_claim const& claim, duration retry_after)
{
    settled_.push_back({claim.instance, claim.incarnation, claim.id, 0, retry_after});
}

quota_decision quota_queue::pay_without_wait(quota_ask const& ask,
                                             organisation_queue& line,
                                             quota_terms const& terms, time_point now)
{
    auto const bucket = bank_.state(ask.organisation, terms, now);
    if (line.pay_without_wait(ask.claim, bucket, now))
    {
        bank_.take(ask.organisation, ask.claim.units);
        return {quota_verdict::granted, ask.claim.units, {}};
    }
    return {quota_verdict::refused, 0,
            line.expected_without_wait(ask.claim, bucket, now)};
}

bool quota_queue::make_room(organisation_queue& line, quota_claim const& claim,
                            bucket_state const& bucket, time_point now)
{
    if (line.size() < max_waiting_of_organisation && waiting() < max_waiting)
        return true;
    auto const displaced = line.take_last_below(claim);
    if (displaced)
        refuse(*displaced, line.expected_wait(*displaced, bucket, now));
    return displaced.has_value();
}

bool quota_queue::take_settled(quota_claim const& claim)
{
    auto const found = std::find_if(settled_.begin(), settled_.end(),
                                    [&claim](settled_quota const& item)
                                    {
                                        return item.id == claim.id &&
                                               item.instance == claim.instance &&
                                               item.incarnation == claim.incarnation;
                                    });
    if (found == settled_.end())
        return false;
    settled_.erase(found);
    return true;
}

quota_decision quota_queue::request(quota_ask ask, quota_terms const& terms,
                                    time_point now)
{
    auto& line = lines_[ask.organisation];
    auto& claim = ask.claim;
    // A grant may be sent up to an interval later than it is decided.
    bool const can_wait = ask.max_wait > interval_;
    claim.latest = now + (can_wait ? ask.max_wait - interval_ : duration::zero());
    if (!can_wait)
        line.note_unable_to_wait(claim, now);
    if (line.empty())
    {
        auto const granted =
            bank_.grant(ask.organisation, terms, claim.units, ask.reserve, now);
        if (granted.units > 0)
            return {quota_verdict::granted, granted.units, {}};
        if (!can_wait)
            return {quota_verdict::refused, 0, granted.retry_after};
    }
    else
    {
        bank_.note_demand(ask.organisation, terms, claim.units, now);
        if (!can_wait)
            return pay_without_wait(ask, line, terms, now);
    }
    auto const bucket = bank_.state(ask.organisation, terms, now);
    if (!line.admits(claim, bucket, now) || !make_room(line, claim, bucket, now))
        return {quota_verdict::refused, 0, line.expected_wait(claim, bucket, now)};
    line.add(claim, now);
    pay(ask.organisation, line, terms, now);
    if (take_settled(claim))
        return {quota_verdict::granted, claim.units, {}};
    return {quota_verdict::queued, 0, {}};
}

std::vector<settled_quota> quota_queue::settle(std::size_t instances,
                                               find_terms const& terms_of, time_point now)
{
    interval_ = base_interval + interval_per_instance * static_cast<int>(instances);
    if (now - settled_at_ < interval_)
        return {};
    settled_at_ = now;
    drop_silent_instances(now);
    for (auto& [organisation, line] : lines_)
    {
        if (line.empty())
            continue;
        auto const terms = terms_of(organisation);
        if (!terms)
        {
            // The organisation is no longer in the configuration.
            line.drop(
                [this](quota_claim const& claim)
                {
                    refuse(claim, {});
                    return true;
                });
            continue;
        }
        // Refused first, so that no units go to a request whose time has passed.
        auto const bucket = bank_.state(organisation, *terms, now);
        for (auto const& claim : line.take_hopeless(bucket, now))
            refuse(claim, line.expected_wait(claim, bucket, now));
        pay(organisation, line, *terms, now);
    }
    return std::exchange(settled_, {});
}

std::size_t quota_queue::waiting() const
{
    std::size_t total = 0;
    for (auto const& [name, line] : lines_)
        total += line.size();
    return total;
}

std::map<std::string, std::size_t> quota_queue::waiting_by_organisation() const
{
    std::map<std::string, std::size_t> waiting;
    for (auto const& [name, line] : lines_)
        if (!line.empty())
            waiting[name] = line.size();
    return waiting;
}

} // namespace carawayturn::entry
