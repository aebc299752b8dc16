#include "coordination/entry/hub_lease.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// The holder ends its right this much before others may claim the lease; covers
/// different clock rates and an order that is on its way.
constexpr duration safety_margin = std::chrono::milliseconds(300);

} // namespace

order_lease::order_lease(std::string own_address, std::string own_name,
                         std::uint64_t incarnation, duration term, duration turn_pause)
    : address_(std::move(own_address)), name_(std::move(own_name)),
      incarnation_(incarnation), term_(term), turn_pause_(turn_pause)
{
}

bool order_lease::observe(lease_row const& row, std::uint64_t row_version,
                          time_point seen_at, duration remaining)
{
    if (known_ && row_version < row_version_)
        return false;
    if (known_ && row_version == row_version_)
    {
        if (!own_row() && remaining < term_)
            end_ = std::max(end_, seen_at + remaining);
        return false;
    }
    known_ = true;
    bool const moved = row.holder_address != row_.holder_address;
    bool const was_own = own_row();
    bool const same_fence = row.fence == row_.fence;
    if (was_own && !same_fence)
        not_before_ = end_ + turn_pause_;
    row_ = row;
    row_version_ = row_version;
    // A renewal whose answer was lost. Nobody has claimed the lease in between, so the
    // right from the renewal before goes on; its orders may be on their way.
    if (was_own && same_fence && own_row())
        return moved;
    bool const released = row.holder_address.empty();
    end_ = released ? seen_at : seen_at + std::min(remaining, term_) + safety_margin;
    // A former process of this instance has ended, or this one would not run.
    if (own_row() || row.holder_name == name_)
        end_ = time_point{};
    return moved;
}

void order_lease::observe_absent()
{
    if (!known_)
    {
        known_ = true;
        end_ = time_point{};
    }
}

bool order_lease::may_claim(time_point now) const
{
    return known_ && (own_row() || now >= end_) && !held(now) && now >= not_before_;
}

lease_row order_lease::next_row(time_point now) const
{
    lease_row next{address_, name_, incarnation_, row_.fence};
    if (!held(now) && !own_row())
        next.fence = row_.fence + 1;
    return next;
}

lease_row order_lease::released_row() const
{
    return {"", name_, incarnation_, row_.fence};
}

void order_lease::written(lease_row const& row, std::uint64_t row_version,
                          time_point sent_at)
{
    known_ = true;
    row_ = row;
    row_version_ = row_version;
    end_ = row.holder_address.empty() ? sent_at : sent_at + term_ - safety_margin;
}

bool order_lease::own_row() const
{
    return !row_.holder_address.empty() && row_.holder_address == address_ &&
           row_.holder_incarnation == incarnation_;
}

bool order_lease::inherited_row() const
{
    return !row_.holder_address.empty() && row_.holder_name == name_ && !own_row();
}

bool order_lease::held(time_point now, duration margin) const
{
    return own_row() && now + margin < end_;
}

bool order_lease::renewal_due(time_point now) const
{
    return own_row() && now + term_ * 2 / 3 >= end_ + safety_margin;
}

duration order_lease::remaining(time_point now) const
{
    return std::max(end_ - now, duration::zero());
}

} // namespace carawayturn::entry
