#include "coordination/entry/quota.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Below this share of its burst an organisation counts as drained.
constexpr double drained_share = 0.5;
/// Most that accrues to an instance that is alone, in seconds of its part of the rate.
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
        entry = {terms.burst * initial_fill_, terms, now, false};
    entry.terms = terms;
    entry.level = level_at(entry, now);
    entry.last = now;
    return entry;
}

double quota_ledger::level_at(bucket const& entry, time_point now) const
{
    double const accrued = to_seconds(now - entry.last) * entry.terms.rate * share_;
    return std::min(entry.level + accrued, entry.terms.burst);
}

std::vector<std::string> quota_ledger::drained(time_point now) const
{
    std::vector<std::string> names;
    for (auto const& [organisation, entry] : buckets_)
        if (level_at(entry, now) < entry.terms.burst * drained_share)
            names.push_back(organisation);
    return names;
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

void quota_account::set_drained(std::vector<std::string> const& organisations,
                                time_point now)
{
    drained_ = {organisations.begin(), organisations.end()};
    hub_word_ = now;
}

bool quota_account::spend_alone(std::string const& organisation, quota_terms const& terms,
                                double units, std::size_t instances, time_point now)
{
    double const part =
        terms.rate / static_cast<double>(std::max<std::size_t>(instances, 1));
    double const most = part * alone_burst_s;
    auto& entry = accounts_[organisation];
    // What the hub left is the start; a debt of the last time alone counts on.
    auto const word = hub_word_.value_or(now);
    if (entry.alone_at < word)
        entry.accrue_alone(
            part, drained_.contains(organisation) ? 0 : most * drained_share, word);
    entry.accrue_alone(part, most, now);
    if (entry.alone <= 0)
        return false;
    entry.alone -= units;
    return true;
}

void quota_account::account::accrue_alone(double part, double most, time_point until)
{
    alone = std::min(alone + to_seconds(until - alone_at) * part, most);
    alone_at = until;
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
