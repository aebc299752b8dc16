#include "coordination/entry/hub_lease.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// The holder stops acting as holder this long before the term ends, and other instances
/// wait this long after it. This covers clocks of different rates and orders in flight.
constexpr duration safety_margin = std::chrono::milliseconds(300);

/// Number of fences that an era has for itself: more than there can be claims in one.
constexpr std::uint64_t fences_per_era = std::uint64_t{1} << 20U;

/// Returns the lowest fence of an era, or 0 if there are no fences for it.
std::uint64_t lowest_fence(std::uint64_t era)
{
    return era < fence_limit / fences_per_era ? era * fences_per_era : 0;
}

} // namespace

lease_row substitute_for_unreadable(store_version version, std::uint64_t known_fence)
{
    // The claim that follows has to stay below the limit.
    auto const fence = std::min(version.number, fence_limit - 2);
    return {"", "", 0, std::max(known_fence, fence), version.era};
}

hub_lease::hub_lease(std::string own_address, std::string own_name,
                     std::uint64_t incarnation, duration term, duration reclaim_delay)
    : address_(std::move(own_address)), name_(std::move(own_name)),
      incarnation_(incarnation), term_(term), reclaim_delay_(reclaim_delay)
{
}

bool hub_lease::observe(lease_row const& row, store_version version, time_point seen_at,
                        duration remaining)
{
    if (row_known_ && version < version_)
        return false;
    if (row_known_ && version == version_)
    {
        if (!own_row() && remaining < term_)
            end_ = std::max(end_, seen_at + remaining);
        return false;
    }
    if (row.era != version.era)
        return observe_unproven(row, version, seen_at);
    row_known_ = true;
    rewrite_due_ = false;
    bool const holder_changed = row.holder_address != row_.holder_address;
    bool const was_own = own_row();
    bool const same_fence = row.fence == row_.fence;
    if (was_own && !same_fence)
        earliest_reclaim_ = end_ + reclaim_delay_;
    set_row(row, version);
    // This instance's own renewal, whose answer was lost. No other instance claimed the
    // lease in between, so the lease continues until the end set by the previous renewal.
    // Orders sent under it may be in flight.
    if (was_own && same_fence && own_row())
        return holder_changed;
    bool const released = row.holder_address.empty();
    if (!released)
        end_ = seen_at + std::min(remaining, term_) + safety_margin;
    else
        end_ = remaining == duration::max()
                   ? seen_at
                   : seen_at + std::min(remaining, term_ + safety_margin);
    // The row belongs to a previous process of this instance, which must have ended
    // because this process is running.
    if (own_row() || row.holder_name == name_)
        end_ = time_point{};
    return holder_changed;
}

bool hub_lease::observe_unproven(lease_row row, store_version version, time_point seen_at)
{
    // No other instance can have claimed the lease, since it is valid. Only its row is
    // missing.
    if (held(seen_at))
    {
        version_ = version;
        rewrite_due_ = true;
        return false;
    }
    row_known_ = true;
    bool const holder_changed = row.holder_address != row_.holder_address;
    // Another instance may have held the lease since.
    if (own_row())
        earliest_reclaim_ = end_ + reclaim_delay_;
    if (row.holder_incarnation == incarnation_)
        row.holder_address.clear();
    set_row(row, version);
    end_ = seen_at + term_ + safety_margin;
    return holder_changed;
}

bool hub_lease::observe_unreadable(store_version version, time_point seen_at)
{
    if (row_known_ && version <= version_)
        return false;
    bool const holder_changed =
        observe(substitute_for_unreadable(version, highest_possible_fence(version)),
                version, seen_at, duration::max());
    end_ = seen_at + term_ + safety_margin;
    return holder_changed;
}

void hub_lease::observe_absent(std::uint64_t era, time_point seen_at)
{
    bool const first = !row_known_;
    if (!first && era <= version_.era)
        return;
    if (era != 0)
    {
        observe_unproven({"", "", 0, highest_fence_, 0}, {era, 0}, seen_at);
        return;
    }
    row_known_ = true;
    end_ = time_point{};
}

void hub_lease::forget_row()
{
    row_known_ = false;
    rewrite_due_ = false;
    row_ = {"", "", 0, highest_fence_, 0};
    version_ = {};
}

bool hub_lease::may_claim(time_point now) const
{
    return row_known_ && (own_row() || now >= end_) && !held(now) &&
           now >= earliest_reclaim_;
}

lease_row hub_lease::next_row(time_point now) const
{
    lease_row next{address_, name_, incarnation_, row_.fence, version_.era};
    if (!held(now) && !own_row())
        next.fence = next_fence();
    return next;
}

std::uint64_t hub_lease::highest_possible_fence(store_version version) const
{
    auto const writes =
        version.number > version_.number ? version.number - version_.number : 0;
    auto const fence = highest_fence_ + std::min(writes, fence_limit);
    return std::min(std::max(fence, version.number), fence_limit - 2);
}

void hub_lease::set_row(lease_row const& row, store_version version)
{
    // A lowered fence shows another writer, who may have replaced claims that this
    // instance does not know.
    highest_fence_ =
        row.fence < highest_fence_ ? highest_possible_fence(version) : row.fence;
    row_ = row;
    version_ = version;
}

std::uint64_t hub_lease::next_fence() const
{
    auto const highest = std::max(highest_fence_, lowest_fence(version_.era));
    // Beyond the limit, other instances could not read the row of the claim.
    return (highest + 1 < fence_limit ? highest : version_.number % (fence_limit - 1)) +
           1;
}

lease_row hub_lease::released_row() const
{
    return {"", name_, incarnation_, row_.fence, version_.era};
}

void hub_lease::record_write(lease_row const& row, store_version version,
                             time_point sent_at)
{
    row_known_ = true;
    rewrite_due_ = false;
    set_row(row, version);
    end_ = row.holder_address.empty() ? sent_at : sent_at + term_ - safety_margin;
}

bool hub_lease::own_row() const
{
    return !row_.holder_address.empty() && row_.holder_address == address_ &&
           row_.holder_incarnation == incarnation_;
}

bool hub_lease::inherited_row() const
{
    return !row_.holder_address.empty() && row_.holder_name == name_ && !own_row() &&
           row_proven();
}

bool hub_lease::held(time_point now, duration margin) const
{
    return own_row() && now + margin < end_;
}

bool hub_lease::renewal_due(time_point now) const
{
    return own_row() && (rewrite_due_ || now + term_ * 2 / 3 >= end_ + safety_margin);
}

duration hub_lease::remaining(time_point now) const
{
    return std::max(end_ - now, duration::zero());
}

} // namespace carawayturn::entry
