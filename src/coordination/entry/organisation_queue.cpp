#include "coordination/entry/organisation_queue.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <limits>

namespace carawayturn::entry
{

namespace
{

/// Part of the units that the priorities below the first one get together while several
/// wait. The first one keeps nine tenths, and a lower one whose requests cost half a
/// second of the rate is paid every five seconds.
constexpr double lower_share = 0.1;
/// Part of the units that resumed streams of a priority get while new requests of the
/// same priority wait. A caller can state on any request of a resumable route that it
/// takes a stream up, so new requests keep the rest.
constexpr double resumed_share = 0.75;
/// Requests whose latest starts are in the same step are paid fairly over instances.
constexpr duration start_step = std::chrono::milliseconds(250);
/// The units before a new request may take this part of its time. The rest is left for
/// requests that pass it later; with no such rest, a queue full of patient requests would
/// refuse every hurried one.
constexpr double planned_part = 0.75;
/// Bound of the units that each pool for requests that cannot wait holds, as a part of
/// the burst.
constexpr double max_kept_burst = 0.25;
/// Time constant of the averages of what requests ask for.
constexpr double rate_time_constant_s = 2.0;
/// Expected waits are bounded by this, so that they fit into a duration.
constexpr double max_wait_s = 3600;
/// A request is refused early only if it is expected later than this after its latest
/// start, since the expectation is an average.
constexpr duration hopeless_tolerance = std::chrono::milliseconds(250);

std::int64_t step_of(time_point latest)
{
    return latest.time_since_epoch() / start_step;
}

} // namespace

void organisation_queue::decaying_rate::add(double units, time_point now)
{
    value = at(now) + units / rate_time_constant_s;
    updated_at = now;
}

double organisation_queue::decaying_rate::at(time_point now) const
{
    return value * std::exp(-to_seconds(now - updated_at) / rate_time_constant_s);
}

organisation_queue::entry_order organisation_queue::order_of(quota_claim const& claim)
{
    return {!claim.resumes_stream, step_of(claim.latest)};
}

organisation_queue::class_entry organisation_queue::first_in_step(priority_class& members,
                                                                  class_entry position)
{
    auto const [begin, end] = members.entries.equal_range(position->first);
    auto const granted = [&members](entry const& item)
    {
        auto const found = members.granted.find(item.claim.instance);
        return std::max(members.granted_floor,
                        found == members.granted.end() ? 0 : found->second);
    };
    return std::min_element(
        begin, end,
        [&granted](auto const& left, auto const& right)
        {
            return std::pair(granted(left.second), left.second.sequence) <
                   std::pair(granted(right.second), right.second.sequence);
        });
}

organisation_queue::class_entry organisation_queue::first_new(priority_class& members)
{
    return members.entries.lower_bound({true, std::numeric_limits<std::int64_t>::min()});
}

organisation_queue::class_entry organisation_queue::first_of(priority_class& members)
{
    auto const first = first_in_step(members, members.entries.begin());
    auto const position = first_new(members);
    if (!first->second.claim.resumes_stream || position == members.entries.end())
        return first;
    auto const next_new = first_in_step(members, position);
    return members.new_credit >= next_new->second.claim.units ? next_new : first;
}

void organisation_queue::settle_new_credit(priority_class& members,
                                           quota_claim const& paid)
{
    auto const position = first_new(members);
    if (!paid.resumes_stream)
    {
        members.new_credit = std::max(members.new_credit - paid.units, 0.0);
        return;
    }
    if (position == members.entries.end())
        return;
    double const gain = paid.units * (1 - resumed_share) / resumed_share;
    // Credit beyond the next new request would let several pass in a row.
    members.new_credit = std::min(members.new_credit + gain,
                                  first_in_step(members, position)->second.claim.units);
}

void organisation_queue::erase(priority_class& members, class_entry position)
{
    auto const& claim = position->second.claim;
    members.units -= claim.units;
    members.resumed_units -= claim.resumes_stream ? claim.units : 0;
    members.entries.erase(position);
    --size_;
    if (!members.entries.empty())
        return;
    members.units = 0;
    members.resumed_units = 0;
    members.new_credit = 0;
    members.credit = 0;
    members.granted.clear();
    members.granted_floor = 0;
}

void organisation_queue::add(quota_claim claim, time_point now)
{
    if (empty())
    {
        kept_for_equals_.units = 0;
        kept_for_lower_.units = 0;
        kept_updated_at_ = now;
    }
    auto& members = classes_[claim.priority];
    members.inflow.add(claim.units, now);
    members.units += claim.units;
    members.resumed_units += claim.resumes_stream ? claim.units : 0;
    auto const order = order_of(claim);
    members.entries.emplace(order, entry{std::move(claim), next_sequence_++});
    ++size_;
}

std::map<std::uint32_t, organisation_queue::priority_class>::iterator
organisation_queue::top_class()
{
    return std::find_if(classes_.begin(), classes_.end(),
                        [](auto const& item) { return !item.second.entries.empty(); });
}

std::map<std::uint32_t, organisation_queue::priority_class>::iterator
organisation_queue::next_class()
{
    auto const top = top_class();
    auto best = top;
    double best_credit = 0;
    for (auto item = top; item != classes_.end(); ++item)
    {
        auto& members = item->second;
        if (item == top || members.entries.empty() || members.credit <= best_credit ||
            members.credit < first_of(members)->second.claim.units)
            continue;
        best = item;
        best_credit = members.credit;
    }
    return best;
}

std::size_t organisation_queue::other_classes(std::uint32_t priority) const
{
    return static_cast<std::size_t>(std::count_if(classes_.begin(), classes_.end(),
                                                  [priority](auto const& item) {
                                                      return item.first != priority &&
                                                             !item.second.entries.empty();
                                                  }));
}

void organisation_queue::credit_lower_classes(std::uint32_t above, double units,
                                              bucket_state const& bucket)
{
    auto const lower = std::max<std::size_t>(other_classes(above), 1);
    double const credit =
        units * lower_share / (1 - lower_share) / static_cast<double>(lower);
    for (auto& [priority, members] : classes_)
    {
        if (priority == above || members.entries.empty())
            continue;
        // A request may cost more than the burst; its class has to reach that credit.
        double const limit =
            std::max(bucket.burst, first_of(members)->second.claim.units);
        members.credit = std::min(members.credit + credit, limit);
    }
}

std::optional<quota_claim> organisation_queue::pay_next(bucket_state const& bucket,
                                                        time_point now)
{
    if (empty())
        return std::nullopt;
    auto const top = top_class()->first;
    auto const next = next_class();
    auto& members = next->second;
    auto const position = first_of(members);
    auto claim = position->second.claim;
    // A bucket never holds more than the burst, also for a request that is larger.
    double const reserved = kept(bucket, now);
    if (bucket.level - reserved < std::min(claim.units, bucket.burst - reserved))
        return std::nullopt;
    auto& granted = members.granted[claim.instance];
    members.granted_floor = std::max(granted, members.granted_floor);
    granted = members.granted_floor + claim.units;
    if (next->first == top)
        credit_lower_classes(top, claim.units, bucket);
    else
        members.credit -= claim.units;
    settle_new_credit(members, claim);
    erase(members, position);
    return claim;
}

duration organisation_queue::time_for(std::uint32_t priority, double units,
                                      bucket_state const& bucket, time_point now)
{
    double above = 0;
    double inflow_above = 0;
    for (auto const& [other, members] : classes_)
        if (other < priority)
        {
            above += members.units;
            inflow_above += members.inflow.at(now);
        }
    double const rate =
        std::max(bucket.rate * (empty() ? 1 : 1 - kept_share(bucket, now)), 1e-6);
    double const level = bucket.level - (empty() ? 0 : kept(bucket, now));
    auto const others = other_classes(priority);
    bool const divided = others > 0;
    if (above <= 0)
        return from_seconds(std::clamp(
            (units - level) / (rate * (divided ? 1 - lower_share : 1)), 0.0, max_wait_s));
    // Either the higher priorities are paid first, while more of them arrive, or the
    // share of this class suffices earlier.
    double const left = std::max(rate - inflow_above, rate * lower_share / 10);
    double const drained = (above + units - level) / left;
    auto const found = classes_.find(priority);
    double const credit = found == classes_.end() ? 0 : found->second.credit;
    double const by_share = (units - credit) / (rate * lower_share) *
                            static_cast<double>(std::max<std::size_t>(others, 1));
    return from_seconds(std::clamp(std::min(drained, by_share), 0.0, max_wait_s));
}

double organisation_queue::units_before(priority_class const& members,
                                        quota_claim const& claim)
{
    double units = 0;
    auto const order = order_of(claim);
    auto const end = members.entries.upper_bound(order);
    auto item = members.entries.lower_bound(
        {order.is_new, std::numeric_limits<std::int64_t>::min()});
    for (; item != end; ++item)
        units += item->second.claim.units;
    return units;
}

double organisation_queue::with_other_kind(priority_class const& members, bool resumed,
                                           double units)
{
    double const own_share = resumed ? resumed_share : 1 - resumed_share;
    double const other =
        resumed ? members.units - members.resumed_units : members.resumed_units;
    return units + std::min(std::max(other, 0.0), units * (1 - own_share) / own_share);
}

duration organisation_queue::expected_wait(quota_claim const& claim,
                                           bucket_state const& bucket, time_point now)
{
    auto const found = classes_.find(claim.priority);
    double units = std::min(claim.units, bucket.burst);
    if (found != classes_.end())
        units = with_other_kind(found->second, claim.resumes_stream,
                                units_before(found->second, claim) + units);
    return time_for(claim.priority, units, bucket, now);
}

bool organisation_queue::delays_beyond_limit(quota_claim const& claim,
                                             bucket_state const& bucket, time_point now)
{
    auto const found = classes_.find(claim.priority);
    if (found == classes_.end())
        return false;
    auto const& members = found->second;
    auto item = members.entries.upper_bound(order_of(claim));
    double units = units_before(members, claim) + claim.units;
    // The expected wait is linear in the units, so two calls describe all of them.
    double const sample = std::max(bucket.burst, 1.0);
    auto const begin = to_seconds(time_for(claim.priority, units, bucket, now));
    auto const after = to_seconds(time_for(claim.priority, units + sample, bucket, now));
    double const per_unit = (after - begin) / sample;
    double const first_units = units;
    auto const time_at = [&](double own)
    {
        double const all = with_other_kind(members, claim.resumes_stream, own);
        return begin + (all - first_units) * per_unit;
    };
    for (; item != members.entries.end(); ++item)
    {
        auto const& waiting = item->second.claim;
        // A resumed stream matters more than a new request that it makes late.
        if (waiting.resumes_stream != claim.resumes_stream)
            break;
        units += waiting.units;
        // A request that is expected late anyway must not keep all others from passing.
        auto const time = to_seconds(waiting.latest - now);
        if (time_at(units) > time && time_at(units - claim.units) <= time)
            return true;
    }
    return false;
}

bool organisation_queue::admits(quota_claim const& claim, bucket_state const& bucket,
                                time_point now)
{
    auto const time = claim.latest - now;
    auto const total = expected_wait(claim, bucket, now);
    if (total > time)
        return false;
    auto alone = claim;
    alone.units = 0;
    if (!empty() && expected_wait(alone, bucket, now) > time * planned_part)
        return false;
    return !delays_beyond_limit(claim, bucket, now);
}

std::vector<quota_claim> organisation_queue::take_hopeless(bucket_state const& bucket,
                                                           time_point now)
{
    std::vector<quota_claim> hopeless;
    for (auto& [priority, members] : classes_)
    {
        // Units of the requests that stay, for new requests and for resumed streams.
        std::array<double, 2> kept_units{};
        for (auto item = members.entries.begin(); item != members.entries.end();)
        {
            auto const current = item++;
            auto const& claim = current->second.claim;
            double& units = kept_units.at(claim.resumes_stream ? 1 : 0);
            double const needed = std::min(claim.units, bucket.burst);
            auto const expected = time_for(
                priority, with_other_kind(members, claim.resumes_stream, units + needed),
                bucket, now);
            if (claim.latest >= now &&
                now + expected <= claim.latest + hopeless_tolerance)
            {
                units += claim.units;
                continue;
            }
            hopeless.push_back(claim);
            erase(members, current);
        }
    }
    return hopeless;
}

std::optional<quota_claim> organisation_queue::take_last_below(quota_claim const& claim)
{
    for (auto item = classes_.rbegin(); item != classes_.rend(); ++item)
    {
        if (item->second.entries.empty())
            continue;
        auto const last = std::prev(item->second.entries.end());
        auto displaced = last->second.claim;
        bool const passed = item->first == claim.priority && claim.resumes_stream &&
                            !displaced.resumes_stream;
        if (item->first <= claim.priority && !passed)
            return std::nullopt;
        erase(item->second, last);
        return displaced;
    }
    return std::nullopt;
}

std::size_t organisation_queue::drop(drop_rule const& rule)
{
    auto const before = size_;
    for (auto& [priority, members] : classes_)
        for (auto item = members.entries.begin(); item != members.entries.end();)
        {
            auto const current = item++;
            if (rule(current->second.claim))
                erase(members, current);
        }
    return before - size_;
}

bool organisation_queue::before_all(quota_claim const& claim)
{
    return empty() || claim.priority < top_class()->first;
}

organisation_queue::kept_pool& organisation_queue::pool_of(quota_claim const& claim)
{
    bool const lower = !empty() && claim.priority > top_class()->first;
    return lower ? kept_for_lower_ : kept_for_equals_;
}

void organisation_queue::note_unable_to_wait(quota_claim const& claim, time_point now)
{
    pool_of(claim).asked.add(claim.units, now);
}

double organisation_queue::kept_pool::share(double rate, time_point now) const
{
    double const part = asked.at(now) / std::max(rate, 1e-6);
    // Nothing is kept for requests of which none came recently.
    return part < 0.001 ? 0 : std::clamp(part, min_share, max_share);
}

double organisation_queue::kept_share(bucket_state const& bucket, time_point now) const
{
    return kept_for_equals_.share(bucket.rate, now) +
           kept_for_lower_.share(bucket.rate, now);
}

void organisation_queue::accrue_kept(bucket_state const& bucket, time_point now)
{
    double const passed = to_seconds(now - kept_updated_at_);
    kept_updated_at_ = now;
    double left = std::max(bucket.level, 0.0);
    for (auto* const pool : {&kept_for_equals_, &kept_for_lower_})
    {
        double const gain = passed * bucket.rate * pool->share(bucket.rate, now);
        pool->units = std::min({pool->units + gain, bucket.burst * max_kept_burst, left});
        left -= std::max(pool->units, 0.0);
    }
}

double organisation_queue::kept(bucket_state const& bucket, time_point now)
{
    accrue_kept(bucket, now);
    return std::max(kept_for_equals_.units, 0.0) + std::max(kept_for_lower_.units, 0.0);
}

bool organisation_queue::pay_without_wait(quota_claim const& claim,
                                          bucket_state const& bucket, time_point now)
{
    accrue_kept(bucket, now);
    auto& pool = pool_of(claim);
    double const needed = std::min(claim.units, bucket.burst * max_kept_burst);
    if ((!before_all(claim) && pool.units < needed) ||
        bucket.level < std::min(claim.units, bucket.burst))
        return false;
    pool.units -= claim.units;
    return true;
}

duration organisation_queue::expected_without_wait(quota_claim const& claim,
                                                   bucket_state const& bucket,
                                                   time_point now)
{
    accrue_kept(bucket, now);
    auto const& pool = pool_of(claim);
    bool const first = before_all(claim);
    double const share = first ? 1 : std::max(pool.share(bucket.rate, now), 0.01);
    double const needed = std::min(claim.units, bucket.burst * max_kept_burst);
    double const missing =
        first ? std::min(claim.units, bucket.burst) - bucket.level : needed - pool.units;
    return from_seconds(
        std::clamp(missing / std::max(bucket.rate * share, 1e-6), 0.0, max_wait_s));
}

} // namespace carawayturn::entry
