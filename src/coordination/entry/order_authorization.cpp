#include "coordination/entry/order_authorization.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn::entry
{

order_right::order_right(order_lease const& lease, duration margin,
                         duration arrival_limit)
    : lease_(lease), margin_(margin), arrival_limit_(arrival_limit)
{
}

std::optional<order_right::share> order_right::take(time_point now)
{
    if (!lasts(now))
        return std::nullopt;
    return share(*this);
}

bool order_right::lasts(time_point now) const
{
    return !ended_ && lease_.held(now, margin_);
}

void order_right::end()
{
    ended_ = true;
}

bool order_right::settled(time_point now) const
{
    return ended_ && open_shares_ == 0 && now >= unanswered_until_;
}

order_right::share::share(order_right& right)
    : right_(&right), fence_(right.lease_.fence())
{
    ++right_->open_shares_;
}

order_right::share::share(share&& other) noexcept
    : right_(std::exchange(other.right_, nullptr)), fence_(other.fence_),
      left_at_(other.left_at_)
{
}

order_right::share::~share()
{
    if (right_ == nullptr)
        return;
    --right_->open_shares_;
    if (left_at_)
        right_->unanswered_until_ =
            std::max(right_->unanswered_until_, *left_at_ + right_->arrival_limit_);
}

bool order_right::share::leave(time_point now)
{
    // A lease that was lost and claimed again has another fence.
    if (!right_->lasts(now) || right_->lease_.fence() != fence_)
        return false;
    left_at_ = now;
    return true;
}

time_point order_right::share::limit() const
{
    return right_->lease_.end() - right_->margin_;
}

} // namespace carawayturn::entry
