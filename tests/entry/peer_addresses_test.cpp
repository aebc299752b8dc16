#include "coordination/entry/fleet_status.hpp"
#include "coordination/entry/peer_addresses.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

class peer_addresses_test : public testing::Test
{
protected:
    peer_addresses_test() { addresses_.add({"10.0.0.1:1", "10.0.0.2:1"}); }

    peer_addresses addresses_{milliseconds(2000)};
};

// Guards against instances that ask each other continuously.
TEST_F(peer_addresses_test, recent_confirmation_asks_no_peer)
{
    EXPECT_FALSE(addresses_.next_to_ask(false, milliseconds(1900), false));
}

// Guards against asking a peer for what the instance reads from the store itself.
TEST_F(peer_addresses_test, answering_store_asks_no_peer)
{
    EXPECT_FALSE(addresses_.next_to_ask(true, milliseconds(2100), true));
}

// Guards against an instance that keeps asking the same peer when this peer is cut off as
// well.
TEST_F(peer_addresses_test, old_confirmation_asks_peers_in_turn)
{
    EXPECT_EQ(addresses_.next_to_ask(false, milliseconds(2100), false), "10.0.0.1:1");
    EXPECT_EQ(addresses_.next_to_ask(false, milliseconds(2100), false), "10.0.0.2:1");
    EXPECT_EQ(addresses_.next_to_ask(false, milliseconds(2100), false), "10.0.0.1:1");
}

// Guards against a configuration that is known to exist and never fetched.
TEST_F(peer_addresses_test, missing_configuration_asks_at_once)
{
    EXPECT_TRUE(addresses_.next_to_ask(false, milliseconds(100), true));
}

// Guards against memory use that grows with the fleet, and against stale addresses.
TEST_F(peer_addresses_test, newest_addresses_are_kept)
{
    for (int i = 10; i < 30; ++i)
        addresses_.add({"10.0.0." + std::to_string(i) + ":1"});
    for (int i = 22; i < 30; ++i)
        EXPECT_EQ(addresses_.next_to_ask(false, milliseconds(2100), false),
                  "10.0.0." + std::to_string(i) + ":1");
    EXPECT_EQ(addresses_.next_to_ask(false, milliseconds(2100), false), "10.0.0.22:1");
}

// Guards against updates that name the same instances each time, or the receiver itself.
TEST(fleet_addresses_test, rotations_name_all_other_instances)
{
    fleet_status fleet;
    for (auto const* const name : {"a", "b", "c", "d"})
    {
        node_status status;
        status.node = name;
        status.address = std::string(name) + ":1";
        status.sent_at_us = 1;
        fleet.put(status, time_point{} + milliseconds(1));
    }
    std::set<std::string> named;
    for (std::size_t rotation = 0; rotation < 4; ++rotation)
        for (auto const& address : fleet.addresses_of_others("a", 2, rotation))
            named.insert(address);
    EXPECT_EQ(named, (std::set<std::string>{"b:1", "c:1", "d:1"}));
}

} // namespace
} // namespace carawayturn::entry
