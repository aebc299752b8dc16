#include "coordination/entry/order_authorization.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn::entry
{

order_authorization::order_authorization(hub_lease const& lease, duration margin,
                                         duration max_arrival_delay)
    : lease_(lease), margin_(margin), max_arrival_delay_(max_arrival_delay)
{
}

std::optional<order_authorization::permit>
order_authorization::issue_permit(time_point now)
{
    if (!allows_orders(now))
        return std::nullopt;
    return permit(*this);
}

bool order_authorization::allows_orders(time_point now) const
{
    return !revoked_ && lease_.held(now, margin_);
}

void order_authorization::revoke()
{
    revoked_ = true;
}

bool order_authorization::all_settled(time_point now) const
{
    return revoked_ && open_permits_ == 0 && now >= unanswered_arrive_until_;
}

order_authorization::permit::permit(order_authorization& authorization)
    : authorization_(&authorization), fence_(authorization.lease_.fence())
{
    ++authorization_->open_permits_;
}

order_authorization::permit::permit(permit&& other) noexcept
    : authorization_(std::exchange(other.authorization_, nullptr)), fence_(other.fence_),
      sent_at_(other.sent_at_)
{
}

order_authorization::permit::~permit()
{
    if (authorization_ == nullptr)
        return;
    --authorization_->open_permits_;
    if (sent_at_)
        authorization_->unanswered_arrive_until_ =
            std::max(authorization_->unanswered_arrive_until_,
                     *sent_at_ + authorization_->max_arrival_delay_);
}

bool order_authorization::permit::try_mark_sent(time_point now)
{
    // The fence differs if the lease was lost and claimed again since the permit was
    // issued.
    if (!authorization_->allows_orders(now) || authorization_->lease_.fence() != fence_)
        return false;
    sent_at_ = now;
    return true;
}

time_point order_authorization::permit::send_deadline() const
{
    return authorization_->lease_.end() - authorization_->margin_;
}

} // namespace carawayturn::entry
