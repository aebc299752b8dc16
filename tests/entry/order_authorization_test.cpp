#include "coordination/entry/order_authorization.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

constexpr duration term = milliseconds(2400);
constexpr duration margin = milliseconds(200);
constexpr duration arrival_limit = milliseconds(2400);

/// A holder whose lease was renewed at 0 and ends at 2100 ms.
class order_right_test : public testing::Test
{
protected:
    order_right_test()
    {
        lease_.observe_absent();
        lease_.written(lease_.next_row(at(0)), 7, at(0));
    }

    static time_point at(int ms) { return time_point{} + milliseconds(100000 + ms); }

    order_lease lease_{"10.0.0.1:7600", "first", 11, term};
    order_right right_{lease_, margin, arrival_limit};
};

TEST_F(order_right_test, held_lease_order_may_leave)
{
    auto share = right_.take(at(10));
    ASSERT_TRUE(share);
    EXPECT_TRUE(share->leave(at(20)));
    EXPECT_EQ(share->limit(), at(1900));
}

// Guards against an order that leaves after the lease was given back: its time to leave
// was worked out before (grown/nilerest-ops-grown, trouble-2: orders of two holders in
// turn).
TEST_F(order_right_test, right_ended_no_order_on_its_way_leaves)
{
    auto share = right_.take(at(10));
    right_.end();
    EXPECT_FALSE(share->leave(at(20)));
    EXPECT_FALSE(right_.take(at(20)));
}

// Guards against an order that leaves while the write that gives the lease back has no
// answer and the row still counts as held.
TEST_F(order_right_test, right_ended_held_row_gives_no_right)
{
    right_.end();
    EXPECT_TRUE(lease_.held(at(20)));
    EXPECT_FALSE(right_.lasts(at(20)));
}

// Guards against a connection that opens only after the lease's end.
TEST_F(order_right_test, lease_near_its_end_order_does_not_leave)
{
    auto share = right_.take(at(10));
    EXPECT_FALSE(share->leave(at(1901)));
}

// Guards against an order of an earlier holding that leaves under a later one: the lease
// was lost to another holder and claimed again meanwhile.
TEST_F(order_right_test, lease_claimed_again_order_of_before_does_not_leave)
{
    auto share = right_.take(at(10));
    lease_.observe({"10.0.0.2:7600", "second", 22, 2}, 8, at(20), duration::max());
    EXPECT_FALSE(share->leave(at(30)));
    lease_.written({"10.0.0.1:7600", "first", 11, 3}, 9, at(40));
    EXPECT_FALSE(share->leave(at(50)));
    EXPECT_TRUE(right_.take(at(50)));
}

// Guards against a lease that is given back while an order has not ended.
TEST_F(order_right_test, order_on_its_way_right_is_not_settled)
{
    {
        auto share = right_.take(at(10));
        right_.end();
        EXPECT_FALSE(right_.settled(at(20)));
        EXPECT_EQ(right_.open_shares(), 1U);
    }
    EXPECT_TRUE(right_.settled(at(20)));
}

// Guards against a lease that is given back while an order without an answer may still be
// carried out.
TEST_F(order_right_test, order_without_answer_settles_after_its_arrival_limit)
{
    {
        auto share = right_.take(at(10));
        ASSERT_TRUE(share->leave(at(20)));
    }
    right_.end();
    EXPECT_FALSE(right_.settled(at(1000)));
    EXPECT_TRUE(right_.settled(at(2420)));
}

TEST_F(order_right_test, answered_orders_settle_at_once)
{
    {
        auto share = right_.take(at(10));
        ASSERT_TRUE(share->leave(at(20)));
        share->answered();
    }
    right_.end();
    EXPECT_TRUE(right_.settled(at(30)));
}

// Guards against a share that counts twice after it was handed on.
TEST_F(order_right_test, moved_share_counts_once)
{
    auto share = right_.take(at(10));
    {
        auto const taken = std::move(*share);
        share.reset();
        EXPECT_EQ(right_.open_shares(), 1U);
    }
    EXPECT_EQ(right_.open_shares(), 0U);
}

} // namespace
} // namespace carawayturn::entry
