#include "coordination/entry/fleet_status.hpp"
#include "coordination/entry/peer_addresses.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

class peer_book_test : public testing::Test
{
protected:
    peer_book_test() { book_.heard_of({"10.0.0.1:1", "10.0.0.2:1"}); }

    peer_book book_{milliseconds(2000)};
};

// Guards against instances that ask each other all the time.
TEST_F(peer_book_test, fresh_confirmation_asks_nobody)
{
    EXPECT_FALSE(book_.next(false, milliseconds(1900), false));
}

// Guards against questions whose answer the instance's own reading gives.
TEST_F(peer_book_test, answering_store_asks_nobody)
{
    EXPECT_FALSE(book_.next(true, milliseconds(2100), true));
}

// Guards against an instance that goes on asking one that is cut off, too.
TEST_F(peer_book_test, old_confirmation_asks_one_after_the_other)
{
    EXPECT_EQ(book_.next(false, milliseconds(2100), false), "10.0.0.1:1");
    EXPECT_EQ(book_.next(false, milliseconds(2100), false), "10.0.0.2:1");
    EXPECT_EQ(book_.next(false, milliseconds(2100), false), "10.0.0.1:1");
}

// Guards against a configuration that is known of and never fetched.
TEST_F(peer_book_test, missing_configuration_asks_at_once)
{
    EXPECT_TRUE(book_.next(false, milliseconds(100), true));
}

// Guards against memory that grows with the fleet, and against stale addresses.
TEST_F(peer_book_test, newest_addresses_are_kept)
{
    for (int i = 10; i < 30; ++i)
        book_.heard_of({"10.0.0." + std::to_string(i) + ":1"});
    for (int i = 22; i < 30; ++i)
        EXPECT_EQ(book_.next(false, milliseconds(2100), false),
                  "10.0.0." + std::to_string(i) + ":1");
    EXPECT_EQ(book_.next(false, milliseconds(2100), false), "10.0.0.22:1");
}

// Guards against updates that name the same instances each time, and the asker itself.
TEST(fleet_addresses_test, turns_name_all_other_instances)
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
    for (std::size_t turn = 0; turn < 4; ++turn)
        for (auto const& address : fleet.addresses_without("a", 2, turn))
            named.insert(address);
    EXPECT_EQ(named, (std::set<std::string>{"b:1", "c:1", "d:1"}));
}

} // namespace
} // namespace carawayturn::entry
