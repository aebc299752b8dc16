#include "coordination/entry/store_read_policy.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point at(int ms)
{
    return time_point{} + milliseconds(100000 + ms);
}

/// An instance that started at 0 ms in a fleet of 142 instances, where the hub sends an
/// update every 676 ms.
class store_read_policy_test : public testing::Test
{
protected:
    static constexpr duration period = milliseconds(676);

    store_read_policy policy_{at(0)};
};

// Guards against a fleet that serves no requests after all instances were killed, until
// there is a hub.
TEST_F(store_read_policy_test, instance_reads_after_the_startup_wait_without_a_hub)
{
    EXPECT_FALSE(policy_.should_read(at(100), period));
    EXPECT_TRUE(policy_.should_read(at(300), period));
}

// Guards against all instances starting to read at the same time when the hub hands over.
// Each of them read the servers, the configuration and the lease: 426 calls with 142
// instances.
TEST_F(store_read_policy_test, no_instance_reads_while_the_hub_hands_over)
{
    policy_.hub_report_received(at(1000));
    for (int ms = 1000; ms < 2100; ms += 50)
        EXPECT_FALSE(policy_.should_read(at(ms), period)) << ms;
}

// Guards against a request to a server that had left 2.2 s before. The hub's last update
// with data from the store was 1 s old when the hub stated that it could not read the
// store, and the instance waited another second before it read the store itself.
TEST_F(store_read_policy_test, instance_reads_at_once_when_the_hub_cannot_read)
{
    policy_.hub_report_received(at(1000));
    policy_.hub_read_failure_received();
    EXPECT_TRUE(policy_.should_read(at(1001), period));
    policy_.hub_report_received(at(1100));
    EXPECT_FALSE(policy_.should_read(at(1200), period));
}

// Guards against a leaving server that is not noticed in time because the hub is frozen.
// The timeout is at most 2 s, however long the interval of the hub's updates is.
TEST_F(store_read_policy_test, instance_reads_after_the_report_timeout_of_a_silent_hub)
{
    policy_.hub_report_received(at(1000));
    EXPECT_TRUE(policy_.should_read(at(2200), period));
    for (auto const longer_period : {milliseconds(1150), milliseconds(5000)})
        EXPECT_TRUE(policy_.should_read(at(3000), longer_period));
}

// Guards against every instance reading from the store each configuration version that
// the hub has read and passes on. On one day, 122 instances read 10 versions each, and
// these reads were most of their calls.
TEST_F(store_read_policy_test, configuration_that_the_hub_passes_on_is_not_read)
{
    EXPECT_FALSE(policy_.should_read_config(at(0), /*config_outdated=*/true));
    EXPECT_FALSE(policy_.should_read_config(at(300), /*config_outdated=*/true));
    EXPECT_FALSE(policy_.should_read_config(at(350), /*config_outdated=*/false));
    EXPECT_FALSE(policy_.should_read_config(at(500), /*config_outdated=*/true));
}

// Guards against a configuration that comes into force too late because the hub is slow.
TEST_F(store_read_policy_test, configuration_that_the_hub_does_not_pass_on_is_read)
{
    EXPECT_FALSE(policy_.should_read_config(at(0), /*config_outdated=*/true));
    EXPECT_TRUE(policy_.should_read_config(at(400), /*config_outdated=*/true));
}

// Guards against excessive calls to an unavailable store: 142 instances made two calls
// per second each.
TEST(store_retry_test,
     retries_of_all_instances_are_bounded_while_the_store_is_unavailable)
{
    EXPECT_EQ(store_read_policy::retry_interval(14, /*hub_tries=*/true), seconds(1));
    EXPECT_EQ(store_read_policy::retry_interval(14, /*hub_tries=*/false),
              milliseconds(250));
    for (std::size_t const instances : {142U, 300U})
    {
        auto const pause =
            store_read_policy::retry_interval(instances, /*hub_tries=*/true);
        EXPECT_LE(static_cast<double>(instances) * 1e6 /
                      static_cast<double>(pause.count()),
                  100);
    }
    // Requests with an API key are served until 4.3 s after the store last confirmed the
    // configuration, so a retry must come earlier.
    EXPECT_LE(store_read_policy::retry_interval(1700, /*hub_tries=*/true),
              milliseconds(4000));
}

// Guards against a fleet where, while there is no hub, every instance queries changes of
// servers as often as a hub does.
TEST(servers_interval_test, instances_of_a_large_fleet_ask_less_often_than_the_hub)
{
    EXPECT_EQ(store_read_policy::servers_interval(142, /*hub=*/true), milliseconds(400));
    EXPECT_EQ(store_read_policy::servers_interval(21, /*hub=*/false), milliseconds(400));
    EXPECT_GT(store_read_policy::servers_interval(142, /*hub=*/false), milliseconds(900));
    EXPECT_LE(store_read_policy::servers_interval(1700, /*hub=*/false),
              milliseconds(1000));
}

class hub_search_test : public testing::Test
{
protected:
    hub_search search_;
};

TEST_F(hub_search_test, hub_that_answers_is_not_searched)
{
    search_.set_hub_answers(true);
    EXPECT_FALSE(search_.due(at(10000), at(0), 142));
}

// Guards against reading the lease row while it cannot name another holder: no instance
// claims a lease before its end.
TEST_F(hub_search_test, lease_is_not_read_before_its_end)
{
    search_.set_hub_answers(false);
    EXPECT_FALSE(search_.due(at(1999), at(2000), 142));
    EXPECT_TRUE(search_.due(at(2000), at(2000), 142));
}

// Guards against a new holder that is noticed only a fixed time after the lease ended.
// The instance queries the store at once, by a long poll that a change of the row ends,
// and again after an interval: 568 ms in a fleet of 142 instances.
TEST_F(hub_search_test, ended_lease_is_read_at_once_and_then_at_an_interval)
{
    search_.set_hub_answers(false);
    EXPECT_TRUE(search_.due(at(6000), at(6000), 142));
    search_.searched(at(6000));
    EXPECT_FALSE(search_.due(at(6500), at(6000), 142));
    EXPECT_TRUE(search_.due(at(6600), at(6000), 142));
}

} // namespace
} // namespace carawayturn::entry
