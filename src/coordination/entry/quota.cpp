#include "coordination/entry/quota.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// An instance that has not heard of a hub for longer than this starts its own part of
/// the rate from nothing.
constexpr duration alone_gap = std::chrono::seconds(2);
/// Burst of an instance that is alone, in seconds of its part of the rate.
constexpr double alone_burst_s = 1.0;

} // namespace

void quota_ledger::set_connected_share(double share)
{
    share_ = std::clamp(share, 0.0, 1.0);
}

void quota_ledger::reset(double initial_fill)
{
    initial_fill_ = initial_fill;
    buckets_.clear();
}

quota_ledger::bucket& quota_ledger::refreshed(std::string const& organisation,
                                              quota_terms const& terms, time_point now)
{
    auto& entry = buckets_[organisation];
    if (entry.fresh)
        entry = {terms.burst * initial_fill_, now, false};
    entry.level += to_seconds(now - entry.last) * terms.rate * share_;
    entry.level = std::min(entry.level, terms.burst);
    entry.last = now;
    return entry;
}

quota_grant quota_ledger::ask(std::string const& organisation, quota_terms const& terms,
                              double units, double reserve, time_point now)
{
    auto& entry = refreshed(organisation, terms, now);
    // A request larger than the burst passes once the bucket is full and leaves a debt.
    double const needed = std::min(units, terms.burst);
    if (entry.level < needed)
    {
        double const rate = std::max(terms.rate * share_, 1e-6);
        return {0, from_seconds((needed - entry.level) / rate)};
    }
    entry.level -= units;
    double const extra = std::clamp(entry.level / 2, 0.0, reserve);
    entry.level -= extra;
    return {units + extra, duration::zero()};
}

bool quota_account::spend(std::string const& organisation, double units)
{
    auto& entry = accounts_[organisation];
    if (entry.balance < units)
        return false;
    entry.balance -= units;
    return true;
}

void quota_account::deposit(std::string const& organisation, double units)
{
    accounts_[organisation].balance += units;
}

bool quota_account::spend_alone(std::string const& organisation, quota_terms const& terms,
                                double units, std::size_t instances, time_point now)
{
    auto& entry = accounts_[organisation];
    double const part =
        terms.rate / static_cast<double>(std::max<std::size_t>(instances, 1));
    if (entry.alone_since == time_point{} || now - entry.alone_since > alone_gap)
        entry.alone = std::min(entry.alone, part * alone_burst_s);
    double const waited = std::min(to_seconds(now - entry.alone_since), alone_burst_s);
    entry.alone = std::min(entry.alone + waited * part, part * alone_burst_s);
    entry.alone_since = now;
    double const needed = std::min(units, part * alone_burst_s);
    if (entry.alone < needed)
        return false;
    entry.alone -= units;
    return true;
}

void quota_account::block(std::string const& organisation, double units, time_point until)
{
    auto& entry = accounts_[organisation];
    entry.blocked_units = units;
    entry.blocked_until = until;
}

duration quota_account::blocked_for(std::string const& organisation, double units,
                                    time_point now) const
{
    auto const found = accounts_.find(organisation);
    if (found == accounts_.end() || units < found->second.blocked_units ||
        found->second.blocked_until <= now)
        return duration::zero();
    return found->second.blocked_until - now;
}

} // namespace carawayturn::entry
