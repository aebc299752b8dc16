#include "coordination/entry/retry_budget.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Fraction of the operators' bounds that is used. The rest is a margin for windows that
/// differ between instances and for changes of membership.
constexpr double used_fraction = 0.6;

} // namespace

retry_budget::retry_budget(service_bounds const& bounds) : bounds_(bounds) {}

void retry_budget::set_instances(std::size_t count)
{
    instances_ = std::max<std::size_t>(count, 1);
}

double retry_budget::fixed_share() const
{
    return used_fraction * bounds_.retry_slack / static_cast<double>(instances_);
}

retry_budget::account& retry_budget::refresh(std::string const& service, time_point now)
{
    auto& entry = accounts_[service];
    if (entry.fresh)
    {
        entry = {fixed_share() / 2, now, false};
        return entry;
    }
    double const window = to_seconds(bounds_.retry_window);
    // The cap is half of the fixed share, and the other half accrues in each window, so
    // that an instance spends at most the share in any window.
    double const accrued =
        to_seconds(now - entry.last) * fixed_share() / 2 / std::max(window, 1.0);
    double const cap = std::max(fixed_share() / 2, 1.0) + bounds_.retry_ratio * 10;
    entry.tokens = std::min(cap, entry.tokens + accrued);
    entry.last = now;
    return entry;
}

void retry_budget::count_request(std::string const& service, time_point now)
{
    auto& entry = refresh(service, now);
    entry.tokens += used_fraction * bounds_.retry_ratio;
}

bool retry_budget::available(std::string const& service, time_point now)
{
    return refresh(service, now).tokens >= 1;
}

bool retry_budget::take(std::string const& service, time_point now)
{
    if (!available(service, now))
        return false;
    accounts_[service].tokens -= 1;
    return true;
}

void retry_budget::give_back(std::string const& service)
{
    accounts_[service].tokens += 1;
}

} // namespace carawayturn::entry
