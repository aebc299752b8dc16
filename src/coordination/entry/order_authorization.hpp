#pragma once

#include "coordination/entry/hub_lease.hpp"

#include <optional>

namespace carawayturn::entry
{

/// Authorizes orders to runners while this instance holds the lease. Each order in
/// progress has a permit. It checks the permit immediately before its bytes are written,
/// and reports through it whether the runner answered. The authorization ends for all
/// orders at once: when the lease ends, when a row of another holder is seen, or by
/// revoke(). The lease may be released only when no order can be sent or arrive any more,
/// because the next holder starts to send orders immediately.
///
/// This handles the load pattern "machines are stopped in turn while models are loaded".
class order_authorization
{
public:
    class permit;

    /// @param margin no order is sent when less than this is left of the lease.
    /// @param max_arrival_delay a sent order without an answer may arrive at the runner
    ///     until this long after it was sent.
    order_authorization(hub_lease const& lease, duration margin,
                        duration max_arrival_delay);

    /// Issues a permit for one order, or returns nullopt if no orders are allowed.
    [[nodiscard]] std::optional<permit> issue_permit(time_point now);
    /// Whether an order may be sent now.
    [[nodiscard]] bool allows_orders(time_point now) const;
    /// Permanently forbids all orders that have not been sent.
    void revoke();
    /// Whether the authorization was revoked and no order can be sent or arrive any more.
    [[nodiscard]] bool all_settled(time_point now) const;
    /// Number of orders that have a permit.
    [[nodiscard]] std::size_t open_permits() const { return open_permits_; }

private:
    hub_lease const& lease_;
    duration margin_;
    duration max_arrival_delay_;
    bool revoked_ = false;
    std::size_t open_permits_ = 0;
    /// Until this time, an order without an answer may arrive at its runner.
    time_point unanswered_arrive_until_{};
};

/// The permit of one order.
class order_authorization::permit
{
public:
    permit(permit&& other) noexcept;
    permit(permit const&) = delete;
    permit& operator=(permit const&) = delete;
    permit& operator=(permit&&) = delete;
    /// If the order was sent and not answered, all_settled() is false until the order can
    /// no longer arrive.
    ~permit();

    /// Returns whether the order may be written now. If so, the order counts as sent.
    [[nodiscard]] bool try_mark_sent(time_point now);
    /// Time at which the order's connection must be reset, so that no byte of the order
    /// is sent later.
    [[nodiscard]] time_point send_deadline() const;
    /// Records that the runner answered, so that the order cannot arrive later.
    void mark_answered() { sent_at_.reset(); }

private:
    friend class order_authorization;
    explicit permit(order_authorization& authorization);

    order_authorization* authorization_;
    std::uint64_t fence_;
    std::optional<time_point> sent_at_;
};

} // namespace carawayturn::entry
