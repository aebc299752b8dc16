#include "coordination/entry/hub_lease.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

constexpr duration term = milliseconds(2400);

class hub_lease_test : public testing::Test
{
protected:
    static time_point at(int ms) { return time_point{} + milliseconds(100000 + ms); }

    hub_lease first_{"10.0.0.1:7600", "first", 11, term};
    hub_lease second_{"10.0.0.2:7600", "second", 22, term};
};

// Guards against a claim before it is known whether another instance holds the lease.
TEST_F(hub_lease_test, unknown_row_is_not_claimed)
{
    EXPECT_FALSE(first_.may_claim(at(0)));
    first_.observe_absent(0, at(0));
    EXPECT_TRUE(first_.may_claim(at(0)));
}

// Guards against two holders at the same time. The holder's lease ends before other
// instances, which count the term from when they saw the renewal, may claim it. A margin
// of 300 ms separates each of these two times from the end of the term.
TEST_F(hub_lease_test, silent_holder_lease_ends_before_the_next_claim)
{
    first_.observe_absent(0, at(0));
    auto const row = first_.next_row(at(0));
    first_.record_write(row, {0, 7}, at(0));
    second_.observe(row, {0, 7}, at(5), duration::max());
    for (int ms = 0; ms < 6000; ms += 10)
        EXPECT_FALSE(first_.held(at(ms)) && second_.may_claim(at(ms))) << ms;
    EXPECT_TRUE(second_.may_claim(at(3000)));
    EXPECT_FALSE(first_.held(at(2100)));
}

// Guards against an instance that stays connected to the previous holder until its next
// status is due, whether the row of the next holder came from the store or from another
// instance. A row of an older version is ignored.
TEST_F(hub_lease_test, observe_reports_each_change_of_holder_once)
{
    first_.observe_absent(0, at(0));
    auto row = first_.next_row(at(0));
    EXPECT_TRUE(second_.observe(row, {0, 7}, at(0), duration::max()));
    EXPECT_FALSE(second_.observe(row, {0, 7}, at(100), milliseconds(2000)));
    EXPECT_FALSE(second_.observe(row, {0, 8}, at(800), duration::max()));
    row.holder_address = "10.0.0.3:7600";
    EXPECT_FALSE(second_.observe(row, {0, 6}, at(900), duration::max()));
    EXPECT_TRUE(second_.observe(row, {0, 9}, at(900), duration::max()));
    row.holder_address.clear();
    EXPECT_TRUE(second_.observe(row, {0, 10}, at(1000), duration::max()));
}

// Guards against a hub that still sends orders after its process was paused for longer
// than the lease. The lease is counted from when the renewal was sent, regardless of when
// the store's answer arrives.
TEST_F(hub_lease_test, lease_is_counted_from_when_the_renewal_was_sent)
{
    first_.observe_absent(0, at(0));
    first_.record_write(first_.next_row(at(0)), {0, 7}, at(0));
    EXPECT_FALSE(first_.held(at(5000)));
}

// Guards against two holders with the same fencing number.
TEST_F(hub_lease_test, change_of_holder_raises_fence)
{
    first_.observe_absent(0, at(0));
    auto const row = first_.next_row(at(0));
    first_.record_write(row, {0, 7}, at(0));
    EXPECT_EQ(first_.next_row(at(800)).fence, row.fence);
    second_.observe(row, {0, 7}, at(0), duration::max());
    EXPECT_EQ(second_.next_row(at(3000)).fence, row.fence + 1);
}

// Guards against a successor that waits a whole term after a clean shutdown.
TEST_F(hub_lease_test, released_lease_is_claimed_at_once)
{
    first_.observe_absent(0, at(0));
    first_.record_write(first_.next_row(at(0)), {0, 7}, at(0));
    second_.observe(first_.released_row(), {0, 8}, at(100), duration::max());
    EXPECT_TRUE(second_.may_claim(at(100)));
}

// Guards against a whole term without a hub after all processes were killed. A row with
// the instance's own name and another incarnation belongs to its previous process, which
// must have ended.
TEST_F(hub_lease_test, restarted_holder_claims_at_once_with_a_higher_fence)
{
    first_.observe_absent(0, at(0));
    auto const row = first_.next_row(at(0));
    hub_lease restarted("10.0.0.1:7600", "first", 12, term);
    restarted.observe(row, {0, 7}, at(100), duration::max());
    EXPECT_TRUE(restarted.may_claim(at(100)));
    EXPECT_FALSE(restarted.held(at(100)));
    EXPECT_EQ(restarted.next_row(at(100)).fence, row.fence + 1);
}

// Guards against an early claim after a renewal that the instance learns of from the
// holder. The time before a claim then follows from the remaining time that the holder
// sends with the row.
TEST_F(hub_lease_test, remaining_time_from_the_holder_delays_a_claim)
{
    first_.observe_absent(0, at(0));
    auto const row = first_.next_row(at(0));
    second_.observe(row, {0, 7}, at(0), duration::max());
    second_.observe(row, {0, 8}, at(1000), milliseconds(2000));
    EXPECT_FALSE(second_.may_claim(at(2900)));
    EXPECT_TRUE(second_.may_claim(at(3400)));
}

// Guards against a renewal that starts too late to be retried.
TEST_F(hub_lease_test, renewal_is_due_after_a_third_of_the_term)
{
    first_.observe_absent(0, at(0));
    first_.record_write(first_.next_row(at(0)), {0, 7}, at(0));
    EXPECT_FALSE(first_.renewal_due(at(700)));
    EXPECT_TRUE(first_.renewal_due(at(900)));
}

// Guards against orders by A, B and again A within the setting bounds.lease_ms (3 s by
// default): A loses its connections, B claims the lease and releases it, and A claims it
// again. A must wait for bounds.lease_ms after the end of its own lease. Found by
// lease_model_test.
TEST_F(hub_lease_test, former_holder_waits_before_it_reclaims)
{
    first_.observe_absent(0, at(0));
    auto const row = first_.next_row(at(0));
    first_.record_write(row, {0, 7}, at(0));
    second_.observe(row, {0, 7}, at(0), duration::max());
    second_.record_write(second_.next_row(at(2700)), {0, 8}, at(2700));
    first_.observe(second_.released_row(), {0, 9}, at(2700), duration::max());
    EXPECT_FALSE(first_.may_claim(at(2700)));
    EXPECT_FALSE(first_.may_claim(at(5099)));
    EXPECT_TRUE(first_.may_claim(at(5100)));
}

// Guards against an early claim by instances that receive the holder's row. After a
// renewal whose answer was lost, the holder stated that its lease had no time left while
// its orders were in flight. Found by lease_model_test.
TEST_F(hub_lease_test, holder_that_reads_its_own_renewal_keeps_its_lease)
{
    first_.observe_absent(0, at(0));
    auto const row = first_.next_row(at(0));
    first_.record_write(row, {0, 7}, at(0));
    second_.observe(row, {0, 7}, at(0), duration::max());
    first_.observe(first_.next_row(at(900)), {0, 8}, at(1000), duration::max());
    EXPECT_TRUE(first_.held(at(2099)));
    EXPECT_FALSE(first_.held(at(2100)));
    EXPECT_TRUE(first_.renewal_due(at(1000)));
    second_.observe(first_.row(), {0, 8}, at(1000), first_.remaining(at(1000)));
    EXPECT_FALSE(second_.may_claim(at(2399)));
}

// Guards against holding the lease by a claim whose answer was lost. The time at which
// the claim was sent is no longer known when its row is read.
TEST_F(hub_lease_test, holder_that_reads_its_own_claim_does_not_hold_the_lease)
{
    first_.observe_absent(0, at(0));
    first_.observe(first_.next_row(at(0)), {0, 7}, at(100), duration::max());
    EXPECT_FALSE(first_.held(at(100)));
    EXPECT_TRUE(first_.may_claim(at(100)));
    EXPECT_EQ(first_.next_row(at(100)).fence, first_.fence());
}

// Guards against a lease that is never claimed again once its row cannot be decoded, and
// against a claim while the holder of the row that was replaced may still send orders.
TEST_F(hub_lease_test, unreadable_row_is_claimed_after_a_term)
{
    first_.observe_absent(0, at(0));
    first_.record_write(first_.next_row(at(0)), {0, 7}, at(0));
    second_.observe(first_.row(), {0, 7}, at(5), duration::max());
    EXPECT_TRUE(second_.observe_unreadable({0, 90}, at(100)));
    EXPECT_FALSE(second_.observe_unreadable({0, 90}, at(2000)));
    EXPECT_FALSE(second_.may_claim(at(2799)));
    EXPECT_TRUE(second_.may_claim(at(2800)));
    EXPECT_EQ(second_.version().number, 90U);
}

// Guards against a fence that an earlier holder, whose row is lost, has used.
TEST_F(hub_lease_test, claim_after_unreadable_row_has_a_fence_above_its_version)
{
    first_.observe_unreadable({0, 90}, at(0));
    EXPECT_EQ(first_.next_row(at(3000)).fence, 91U);
    second_.observe({"10.0.0.1:7600", "first", 11, 500}, {0, 91}, at(0), duration::max());
    second_.observe_unreadable({0, 92}, at(0));
    EXPECT_EQ(second_.next_row(at(3000)).fence, 502U);
}

// Guards against an early claim by an instance that learns of an unreadable row from
// another one, for which the row has no holder, like a released one.
TEST_F(hub_lease_test, unreadable_row_from_another_instance_is_claimed_after_its_time)
{
    first_.observe_unreadable({0, 90}, at(0));
    second_.observe(first_.row(), {0, 90}, at(10), first_.remaining(at(10)));
    EXPECT_FALSE(second_.may_claim(at(2699)));
    EXPECT_TRUE(second_.may_claim(at(2700)));
}

// Guards against a fence that is used twice after another writer lowered it in the row.
// The row may have replaced claims with fences above the highest known one.
TEST_F(hub_lease_test, claim_after_lowered_fence_is_above_all_that_may_have_been_used)
{
    first_.observe({"10.0.0.2:7600", "second", 22, 52}, {0, 90}, at(0), duration::max());
    first_.observe({"127.0.0.1:9", "x", 1, 7}, {0, 92}, at(100), duration::max());
    EXPECT_EQ(first_.next_row(at(3000)).fence, 93U);
    second_.observe({"10.0.0.1:7600", "first", 11, 520}, {0, 90}, at(0), duration::max());
    second_.observe({"", "x", 1, 7}, {0, 92}, at(100), duration::max());
    EXPECT_EQ(second_.next_row(at(3000)).fence, 523U);
}

// Guards against a fence that wraps around or that other instances cannot read.
TEST_F(hub_lease_test, claim_stays_below_the_fence_limit)
{
    first_.observe({"10.0.0.2:7600", "second", 22, fence_limit - 1}, {0, 90}, at(0),
                   duration::max());
    EXPECT_EQ(first_.next_row(at(3000)).fence, 91U);
    second_.observe_unreadable({0, ~std::uint64_t{0}}, at(0));
    EXPECT_EQ(second_.next_row(at(3000)).fence, fence_limit - 1);
}

} // namespace
} // namespace carawayturn::entry
