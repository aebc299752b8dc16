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
class order_right
{
public:
    class share;

    /// @param margin no order leaves with less of the lease left.
    /// @param arrival_limit an order that left and was not answered may arrive this long.
    order_right(order_lease const& lease, duration margin, duration arrival_limit);

    /// A share for one order; nothing if the right has ended.
    [[nodiscard]] std::optional<share> take(time_point now);
    /// Whether an order could leave now.
    [[nodiscard]] bool lasts(time_point now) const;
    /// Ends the right for all orders that have not left, for good.
    void end();
    /// Whether no order can leave or arrive any more.
    [[nodiscard]] bool settled(time_point now) const;
    /// Orders that have a share.
    [[nodiscard]] std::size_t open_shares() const { return open_shares_; }

private:
    order_lease const& lease_;
    duration margin_;
    duration arrival_limit_;
    bool ended_ = false;
    std::size_t open_shares_ = 0;
    /// Until then an order without an answer may arrive.
    time_point unanswered_until_{};
};

/// One order's share in the right.
class order_right::share
{
public:
    share(share&& other) noexcept;
    share(share const&) = delete;
    share& operator=(share const&) = delete;
    share& operator=(share&&) = delete;
    /// An order that left and has no answer keeps the right from being settled.
    ~share();

    /// Whether the order may be written now. If so it counts as having left.
    [[nodiscard]] bool leave(time_point now);
    /// When the order's connection has to be reset, so that no byte of it leaves later.
    [[nodiscard]] time_point limit() const;
    /// The runner has answered: the order will not arrive later.
    void answered() { left_at_.reset(); }

private:
    friend class order_right;
    explicit share(order_right& right);

    order_right* right_;
    std::uint64_t fence_;
    std::optional<time_point> left_at_;
};

} // namespace carawayturn::entry
