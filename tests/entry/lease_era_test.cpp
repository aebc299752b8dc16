#include "coordination/entry/hub_lease.hpp"

#include <gtest/gtest.h>

#include <set>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

constexpr duration term = milliseconds(2400);

/// The instance `first_` holds the lease in era 1, and `second_` knows it.
class lease_era_test : public testing::Test
{
protected:
    static time_point at(int ms) { return time_point{} + milliseconds(100000 + ms); }

    void SetUp() override
    {
        first_.observe_absent(1, at(-5000));
        row_ = first_.next_row(at(0));
        first_.record_write(row_, {1, 7}, at(0));
        second_.observe(row_, {1, 7}, at(5), duration::max());
    }

    hub_lease first_{"10.0.0.1:7600", "first", 11, term};
    hub_lease second_{"10.0.0.2:7600", "second", 22, term};
    lease_row row_;
};

// Guards against a hub that stops to order although its lease is valid, and against a
// second fence for it.
TEST_F(lease_era_test, holder_writes_its_row_again_with_its_fence)
{
    first_.observe(row_, {2, 3}, at(500), duration::max());
    EXPECT_TRUE(first_.held(at(500)));
    EXPECT_FALSE(first_.row_proven());
    EXPECT_TRUE(first_.renewal_due(at(500)));
    auto const renewed = first_.next_row(at(500));
    EXPECT_EQ(renewed.fence, row_.fence);
    EXPECT_EQ(renewed.era, 2U);
    first_.record_write(renewed, {2, 4}, at(500));
    EXPECT_FALSE(first_.renewal_due(at(500)));
    second_.observe(renewed, {2, 4}, at(510), duration::max());
    EXPECT_FALSE(second_.may_claim(at(510) + term));
}

// Guards against a restarted process that takes the lease of its former process from a
// copy, while a successor holds it.
TEST_F(lease_era_test, inherited_row_of_a_former_era_is_waited_out)
{
    hub_lease restarted("10.0.0.1:7600", "first", 12, term);
    restarted.observe(row_, {2, 3}, at(500), duration::max());
    EXPECT_FALSE(restarted.inherited_row());
    EXPECT_FALSE(restarted.may_claim(at(500) + term));
    EXPECT_TRUE(restarted.may_claim(at(800) + term));
    hub_lease undisturbed("10.0.0.1:7600", "first", 13, term);
    undisturbed.observe(row_, {1, 7}, at(500), duration::max());
    EXPECT_TRUE(undisturbed.inherited_row());
    EXPECT_TRUE(undisturbed.may_claim(at(500)));
}

// Guards against a release that the copy shows, although another instance has claimed
// since.
TEST_F(lease_era_test, release_of_a_former_era_is_waited_out)
{
    second_.observe(first_.released_row(), {2, 3}, at(500), duration::max());
    EXPECT_FALSE(second_.may_claim(at(500) + term));
    EXPECT_TRUE(second_.may_claim(at(800) + term));
}

// Guards against a claim of a lease whose row the copy lacks.
TEST_F(lease_era_test, row_that_the_copy_lacks_is_waited_out)
{
    second_.observe_absent(2, at(500));
    EXPECT_FALSE(second_.may_claim(at(500) + term));
    EXPECT_TRUE(second_.may_claim(at(800) + term));
    EXPECT_GT(second_.next_row(at(800) + term).fence, row_.fence);
    hub_lease fresh("10.0.0.3:7600", "third", 33, term);
    fresh.observe_absent(2, at(500));
    EXPECT_FALSE(fresh.may_claim(at(500) + term));
    EXPECT_TRUE(fresh.may_claim(at(800) + term));
}

// Guards against an expired holder that renews at once: another one may have held the
// lease, and its row is lost.
TEST_F(lease_era_test, expired_holder_waits_and_takes_a_new_fence)
{
    first_.observe(row_, {2, 3}, at(4000), duration::max());
    EXPECT_FALSE(first_.held(at(4000)));
    EXPECT_FALSE(first_.renewal_due(at(4000)));
    EXPECT_FALSE(first_.may_claim(at(4000) + term));
    EXPECT_TRUE(first_.may_claim(at(4300) + term));
    EXPECT_GT(first_.next_row(at(4300) + term).fence, row_.fence);
}

// Guards against a fence that is used twice, because the copies of two drills have
// forgotten the claims of the eras between.
TEST_F(lease_era_test, fences_of_different_eras_differ)
{
    std::set<std::uint64_t> fences{row_.fence};
    for (std::uint64_t era = 2; era < 6; ++era)
    {
        hub_lease fresh("10.0.0.3:7600", "third", 30 + era, term);
        fresh.observe(row_, {era, 3}, at(0), duration::max());
        auto const claim = fresh.next_row(at(0) + 2 * term);
        EXPECT_GT(claim.fence, *fences.rbegin());
        EXPECT_LT(claim.fence, fence_limit);
        fences.insert(claim.fence);
    }
    EXPECT_EQ(fences.size(), 5U);
}

// Guards against a fence beyond the limit, which no other instance could read.
TEST_F(lease_era_test, fence_stays_below_its_limit_in_any_era)
{
    hub_lease fresh("10.0.0.3:7600", "third", 33, term);
    fresh.observe(row_, {~std::uint64_t{0}, 3}, at(0), duration::max());
    auto const claim = fresh.next_row(at(0) + 2 * term);
    EXPECT_LT(claim.fence, fence_limit);
    EXPECT_GT(claim.fence, row_.fence);
}

// Guards against a row of the former era, of a higher version, that replaces one of the
// new era.
TEST_F(lease_era_test, row_of_a_former_era_is_ignored_whatever_its_version)
{
    auto renewed = row_;
    renewed.era = 2;
    second_.observe(renewed, {2, 4}, at(500), duration::max());
    EXPECT_FALSE(
        second_.observe(first_.released_row(), {1, 900}, at(600), duration::max()));
    EXPECT_EQ(second_.version(), (store_version{2, 4}));
}

// Guards against an instance that never reads a row again, because another one told of an
// era that the store does not know.
TEST_F(lease_era_test, forgotten_row_is_replaced_by_the_one_of_the_store)
{
    auto told = row_;
    told.era = 1000;
    second_.observe(told, {1000, 1}, at(100), duration::max());
    second_.forget_row();
    second_.observe(row_, {1, 7}, at(200), duration::max());
    EXPECT_EQ(second_.version(), (store_version{1, 7}));
    EXPECT_FALSE(second_.may_claim(at(200) + term));
}

} // namespace
} // namespace carawayturn::entry
