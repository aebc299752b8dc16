#include "coordination/entry/quota.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn::entry
{

namespace
{

/// An organisation whose bucket holds less than this share of its burst is listed as
/// drained.
constexpr double drained_share = 0.5;
/// Upper bound on the balance of an instance without a hub, in seconds of its share of
/// the rate.
constexpr double without_hub_burst_s = 1.0;
/// Part of an instance's own share that new requests may spend while resumed streams
/// wait, and the time for which an unspent part is kept.
constexpr double new_part_without_hub = 0.25;
constexpr double new_part_kept_s = 1.0;
/// An instance refuses requests by itself for at most this long after the hub refused
/// one, since waiting requests may leave the hub's queue earlier than expected.
constexpr duration max_block = std::chrono::milliseconds(500);

} // namespace

void hub_quota::set_connected_share(double share)
{
    share_ = std::clamp(share, 0.0, 1.0);
}

void hub_quota::reset(double initial_fill)
{
    initial_fill_ = initial_fill;
    buckets_.clear();
}

hub_quota::bucket& hub_quota::refresh(std::string const& organisation,
                                      quota_terms const& terms, time_point now)
{
    auto& entry = buckets_[organisation];
    if (entry.fresh)
        entry = {terms.burst * initial_fill_, terms, now, false, terms.burst};
    entry.terms = terms;
    entry.level = accrued(entry, entry.level, now);
    entry.demand_level = accrued(entry, entry.demand_level, now);
    entry.last = now;
    return entry;
}

double hub_quota::accrued(bucket const& entry, double level, time_point now) const
{
    double const gain = to_seconds(now - entry.last) * entry.terms.rate * share_;
    return std::min(level + gain, entry.terms.burst);
}

std::vector<std::string> hub_quota::drained(time_point now) const
{
    std::vector<std::string> names;
    for (auto const& [organisation, entry] : buckets_)
        if (accrued(entry, entry.level, now) < entry.terms.burst * drained_share)
            names.push_back(organisation);
    return names;
}

std::vector<std::string> hub_quota::above_rate(time_point now) const
{
    std::vector<std::string> names;
    for (auto const& [organisation, entry] : buckets_)
        if (accrued(entry, entry.demand_level, now) < 0)
            names.push_back(organisation);
    return names;
}

std::vector<std::string> hub_quota::exhausted(time_point now) const
{
    auto names = drained(now);
    std::set<std::string> const drained_names(names.begin(), names.end());
    for (auto const& name : above_rate(now))
        names.insert(names.end(), drained_names.contains(name) ? 1 : 2, name);
    return names;
}

quota_grant hub_quota::grant(std::string const& organisation, quota_terms const& terms,
                             double units, double reserve, time_point now)
{
    auto& entry = refresh(organisation, terms, now);
    entry.demand_level = std::max(entry.demand_level - units, -terms.burst);
    // A request larger than the burst is granted when the bucket is full, and leaves a
    // negative level.
    double const needed = std::min(units, terms.burst);
    if (entry.level < needed)
    {
        double const rate = std::max(terms.rate * share_, 1e-6);
        return {0, from_seconds((needed - entry.level) / rate)};
    }
    entry.level -= units;
    double const extra = std::clamp(entry.level / 2, 0.0, reserve);
    entry.level -= extra;
    entry.demand_level -= extra;
    return {units + extra, duration::zero()};
}

bucket_state hub_quota::state(std::string const& organisation, quota_terms const& terms,
                              time_point now)
{
    return {refresh(organisation, terms, now).level, terms.rate * share_, terms.burst};
}

void hub_quota::take(std::string const& organisation, double units)
{
    buckets_[organisation].level -= units;
}

void hub_quota::note_demand(std::string const& organisation, quota_terms const& terms,
                            double units, time_point now)
{
    auto& entry = refresh(organisation, terms, now);
    entry.demand_level = std::max(entry.demand_level - units, -terms.burst);
}

instance_quota::instance_quota(std::uint64_t seed) : random_(seed) {}

bool instance_quota::spend(std::string const& organisation, double units)
{
    auto& entry = accounts_[organisation];
    if (entry.balance < units)
        return false;
    entry.balance -= units;
    return true;
}

void instance_quota::deposit(std::string const& organisation, double units)
{
    accounts_[organisation].balance += units;
}

void instance_quota::set_drained(std::vector<std::string> const& organisations,
                                 time_point now)
{
    drained_ = {organisations.begin(), organisations.end()};
    last_hub_update_ = now;
}

void instance_quota::set_exhausted(std::vector<std::string> const& organisations,
                                   time_point now)
{
    set_drained(organisations, now);
    above_rate_.clear();
    std::set<std::string> seen;
    for (auto const& name : organisations)
        if (!seen.insert(name).second)
            above_rate_.insert(name);
}

bool instance_quota::spend_without_hub(std::string const& organisation,
                                       quota_terms const& terms, double units,
                                       std::size_t instances, time_point now,
                                       bool resumes_stream)
{
    double const instance_rate =
        terms.rate / static_cast<double>(std::max<std::size_t>(instances, 1));
    double const cap = instance_rate * without_hub_burst_s;
    auto& entry = accounts_[organisation];
    // Starts from what the hub's last update left. A negative balance from an earlier
    // time without a hub is kept.
    auto const hub_update = last_hub_update_.value_or(now);
    if (entry.without_hub_updated_at < hub_update)
        entry.accrue_without_hub(
            instance_rate, drained_.contains(organisation) ? 0 : cap * drained_share,
            hub_update);
    entry.accrue_without_hub(instance_rate, cap, now);
    bool const takes_new_part = !resumes_stream && entry.resumed_waiting > 0;
    if (takes_new_part && entry.kept_for_resumed(instance_rate, now))
        return false;
    if (entry.without_hub_balance <= 0)
        return false;
    if (takes_new_part)
        entry.new_allowance -= units;
    if (entry.without_hub_balance < units && above_rate_.contains(organisation))
        return spend_at_random(entry, units);
    entry.without_hub_balance -= units;
    return true;
}

bool instance_quota::account::kept_for_resumed(double instance_rate, time_point now)
{
    double const rate = instance_rate * new_part_without_hub;
    new_allowance =
        std::min(new_allowance + to_seconds(now - new_allowance_updated_at) * rate,
                 rate * new_part_kept_s);
    new_allowance_updated_at = now;
    return new_allowance <= 0;
}

void instance_quota::begin_resumed_wait(std::string const& organisation, time_point now)
{
    auto& entry = accounts_[organisation];
    // The part of new requests accrues only while resumed streams wait.
    if (entry.resumed_waiting++ == 0)
        entry.new_allowance_updated_at = now;
}

void instance_quota::end_resumed_wait(std::string const& organisation)
{
    --accounts_[organisation].resumed_waiting;
}

resumed_quota_wait::resumed_quota_wait(instance_quota& quota, std::string organisation,
                                       bool resumes_stream, time_point now)
    : quota_(quota), organisation_(std::move(organisation)),
      resumes_stream_(resumes_stream)
{
    if (resumes_stream_)
        quota_.begin_resumed_wait(organisation_, now);
}

resumed_quota_wait::~resumed_quota_wait()
{
    if (resumes_stream_)
        quota_.end_resumed_wait(organisation_);
}

bool instance_quota::spend_at_random(account& entry, double units)
{
    std::uniform_real_distribution<double> position(0, units);
    bool const passes = position(random_) < entry.without_hub_balance;
    entry.without_hub_balance = 0;
    return passes;
}

void instance_quota::account::accrue_without_hub(double instance_rate, double cap,
                                                 time_point until)
{
    without_hub_balance = std::min(
        without_hub_balance + to_seconds(until - without_hub_updated_at) * instance_rate,
        cap);
    without_hub_updated_at = until;
}

void instance_quota::block(std::string const& organisation, double units,
                           time_point expected, time_point now, quota_rank rank)
{
    accounts_[organisation].refused.at(rank.resumes_stream ? 1 : 0) = {
        units, rank, std::min(expected, now + max_block), expected};
}

duration instance_quota::blocked_for(std::string const& organisation, double units,
                                     time_point now, quota_rank rank) const
{
    auto const found = accounts_.find(organisation);
    if (found == accounts_.end())
        return duration::zero();
    auto const& refused = found->second.refused.at(rank.resumes_stream ? 1 : 0);
    if (units < refused.units || refused.applies_until <= now ||
        rank.priority < refused.rank.priority || rank.max_wait > refused.rank.max_wait)
        return duration::zero();
    return refused.units_expected_at - now;
}

} // namespace carawayturn::entry
