#include "coordination/entry/removed_servers.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

time_point at(int seconds)
{
    return time_point{} + std::chrono::seconds(1000 + seconds);
}

backend_record server(std::int64_t born_ms)
{
    backend_record record;
    record.id = "s1";
    record.born_ms = born_ms;
    return record;
}

// Guards against a copy of the store that brings back a server which is gone, and against
// a later process with its id that is never used.
TEST(removed_servers_test, process_that_was_removed_is_known_and_a_later_one_is_not)
{
    removed_servers servers;
    EXPECT_FALSE(servers.contains(server(100), at(0)));
    servers.note_removed(server(100), at(0));
    EXPECT_TRUE(servers.contains(server(100), at(10)));
    EXPECT_TRUE(servers.contains(server(90), at(10)));
    EXPECT_FALSE(servers.contains(server(101), at(10)));
    EXPECT_FALSE(servers.contains(server(100), at(31)));
}

} // namespace
} // namespace carawayturn::entry
