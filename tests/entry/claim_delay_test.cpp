#include "coordination/entry/claim_delay.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

duration delay_of(double processor_share, double link_mbps)
{
    node_settings settings;
    settings.processor_share = processor_share;
    settings.link_mbps = link_mbps;
    return claim_delay(settings);
}

TEST(claim_delay_test, stronger_machine_claims_first)
{
    EXPECT_EQ(delay_of(1, 1000), milliseconds(60));
    EXPECT_LT(delay_of(0.5, 200), delay_of(0.17, 200));
}

// Guards against a hub on the slowest link of the fleet. Such a hub answered no quota
// request in time while configurations followed each other quickly, and for 15 s
// organisations were rejected within their rate (further-grown/sbr-floor-grown,
// inc-b740).
TEST(claim_delay_test, narrow_link_claims_late)
{
    EXPECT_GT(delay_of(0.5, 10), delay_of(0.2, 200));
}

TEST(claim_delay_test, weakest_machine_still_claims)
{
    EXPECT_EQ(delay_of(0.01, 0), milliseconds(1200));
}

} // namespace
} // namespace carawayturn::entry
