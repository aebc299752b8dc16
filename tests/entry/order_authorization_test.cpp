#include "coordination/entry/order_authorization.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

constexpr duration term = milliseconds(2400);
constexpr duration margin = milliseconds(200);
constexpr duration max_arrival_delay = milliseconds(2400);

/// A holder whose lease was renewed at 0 ms and ends at 2100 ms.
class order_authorization_test : public testing::Test
{
protected:
    order_authorization_test()
    {
        lease_.observe_absent(0, at(0));
        lease_.record_write(lease_.next_row(at(0)), {0, 7}, at(0));
    }

    static time_point at(int ms) { return time_point{} + milliseconds(100000 + ms); }

    hub_lease lease_{"10.0.0.1:7600", "first", 11, term};
    order_authorization authorization_{lease_, margin, max_arrival_delay};
};

TEST_F(order_authorization_test, order_is_sent_while_the_lease_is_held)
{
    auto permit = authorization_.issue_permit(at(10));
    ASSERT_TRUE(permit);
    EXPECT_TRUE(permit->try_mark_sent(at(20)));
    EXPECT_EQ(permit->send_deadline(), at(1900));
}

// Guards against an order that is sent after the lease was released, because the time
// until which it may be sent was computed before. Seen as alternating orders of two
// holders in grown/nilerest-ops-grown, trouble-2.
TEST_F(order_authorization_test, prepared_order_is_not_sent_after_revocation)
{
    auto permit = authorization_.issue_permit(at(10));
    authorization_.revoke();
    EXPECT_FALSE(permit->try_mark_sent(at(20)));
    EXPECT_FALSE(authorization_.issue_permit(at(20)));
}

// Guards against an order that is sent while the write that releases the lease has no
// answer and the row still counts as held.
TEST_F(order_authorization_test, revocation_allows_no_orders_while_the_lease_is_held)
{
    authorization_.revoke();
    EXPECT_TRUE(lease_.held(at(20)));
    EXPECT_FALSE(authorization_.allows_orders(at(20)));
}

// Guards against an order that is sent near the end of the lease, because its connection
// took long to open.
TEST_F(order_authorization_test, order_is_not_sent_near_the_end_of_the_lease)
{
    auto permit = authorization_.issue_permit(at(10));
    EXPECT_FALSE(permit->try_mark_sent(at(1901)));
}

// Guards against an order that was prepared under an earlier lease and is sent under a
// later one, because the lease was lost to another holder and claimed again in between.
TEST_F(order_authorization_test, permit_of_an_earlier_fence_is_invalid_after_a_reclaim)
{
    auto permit = authorization_.issue_permit(at(10));
    lease_.observe({"10.0.0.2:7600", "second", 22, 2}, {0, 8}, at(20), duration::max());
    EXPECT_FALSE(permit->try_mark_sent(at(30)));
    lease_.record_write({"10.0.0.1:7600", "first", 11, 3}, {0, 9}, at(40));
    EXPECT_FALSE(permit->try_mark_sent(at(50)));
    EXPECT_TRUE(authorization_.issue_permit(at(50)));
}

// Guards against releasing the lease while an order is in progress.
TEST_F(order_authorization_test, open_permit_prevents_settling)
{
    {
        auto permit = authorization_.issue_permit(at(10));
        authorization_.revoke();
        EXPECT_FALSE(authorization_.all_settled(at(20)));
        EXPECT_EQ(authorization_.open_permits(), 1U);
    }
    EXPECT_TRUE(authorization_.all_settled(at(20)));
}

// Guards against releasing the lease while an order without an answer may still be
// executed.
TEST_F(order_authorization_test, order_without_answer_settles_after_max_arrival_delay)
{
    {
        auto permit = authorization_.issue_permit(at(10));
        ASSERT_TRUE(permit->try_mark_sent(at(20)));
    }
    authorization_.revoke();
    EXPECT_FALSE(authorization_.all_settled(at(1000)));
    EXPECT_TRUE(authorization_.all_settled(at(2420)));
}

TEST_F(order_authorization_test, answered_orders_settle_at_once)
{
    {
        auto permit = authorization_.issue_permit(at(10));
        ASSERT_TRUE(permit->try_mark_sent(at(20)));
        permit->mark_answered();
    }
    authorization_.revoke();
    EXPECT_TRUE(authorization_.all_settled(at(30)));
}

// Guards against counting a permit twice after it was moved.
TEST_F(order_authorization_test, moved_permit_counts_once)
{
    auto permit = authorization_.issue_permit(at(10));
    {
        auto const taken = std::move(*permit);
        permit.reset();
        EXPECT_EQ(authorization_.open_permits(), 1U);
    }
    EXPECT_EQ(authorization_.open_permits(), 0U);
}

} // namespace
} // namespace carawayturn::entry
