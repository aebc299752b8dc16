#pragma once

#include "coordination/entry/hub_lease.hpp"

#include <optional>

namespace carawayturn::entry
{

/// The holder's right to give orders to runners. Every order on its way has a share in
/// it, asks it in the last step before its bytes are written, and tells how it ended. The
/// right ends for all orders at once: with the lease, when another holder's row is seen,
/// or by end(). The lease may be given back only when no order can leave or arrive any
/// more, because the next holder's orders follow at once.
///
/// Answers the load pattern "machines are stopped in turn while models are loaded".
class order_authorization
{
public:
    class permit;

    /// @param margin no order leaves with less of the lease left.
    /// @param arrival_limit an order that left and was not answered may arrive this long.
    order_authorization(hub_lease const& lease, duration margin,
                        duration max_arrival_delay);

    /// A share for one order; nothing if the right has ended.
    [[nodiscard]] std::optional<permit> issue_permit(time_point now);
    /// Whether an order could leave now.
    [[nodiscard]] bool allows_orders(time_point now) const;
    /// Ends the right for all orders that have not left, for good.
    void revoke();
    /// Whether no order can leave or arrive any more.
    [[nodiscard]] bool all_settled(time_point now) const;
    /// Orders that have a share.
    [[nodiscard]] std::size_t open_permits() const { return open_permits_; }

private:
    hub_lease const& lease_;
    duration margin_;
    duration max_arrival_delay_;
    bool revoked_ = false;
    std::size_t open_permits_ = 0;
    /// Until then an order without an answer may arrive.
    time_point unanswered_arrive_until_{};
};

/// One order's share in the right.
class order_authorization::permit
{
public:
    permit(permit&& other) noexcept;
    permit(permit const&) = delete;
    permit& operator=(permit const&) = delete;
    permit& operator=(permit&&) = delete;
    /// An order that left and has no answer keeps the right from being settled.
    ~permit();

    /// Whether the order may be written now. If so it counts as having left.
    [[nodiscard]] bool try_mark_sent(time_point now);
    /// When the order's connection has to be reset, so that no byte of it leaves later.
    [[nodiscard]] time_point send_deadline() const;
    /// The runner has answered: the order will not arrive later.
    void mark_answered() { sent_at_.reset(); }

private:
    friend class order_authorization;
    explicit permit(order_authorization& authorization);

    order_authorization* authorization_;
    std::uint64_t fence_;
    std::optional<time_point> sent_at_;
};

} // namespace carawayturn::entry
