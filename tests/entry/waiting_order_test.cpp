#include "coordination/entry/waiting_order.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <numeric>
#include <optional>
#include <vector>

namespace carawayturn::entry
{
namespace
{

// Guards against an urgent request that waits behind others, and against one that arrives
// as a pause ends and overtakes those that waited.
TEST(waiting_order_test, requests_go_by_priority_then_by_arrival)
{
    waiting_order order;
    std::optional<waiting_place> first(std::in_place, order, "plain/", 3U, [] {});
    std::optional<waiting_place> second(std::in_place, order, "plain/", 3U, [] {});
    std::optional<waiting_place> urgent(std::in_place, order, "plain/", 1U, [] {});
    EXPECT_TRUE(urgent->first());
    EXPECT_FALSE(first->first());
    EXPECT_TRUE(order.behind("plain/", 1));
    EXPECT_FALSE(order.behind("plain/", 0));
    urgent.reset();
    EXPECT_TRUE(first->first());
    EXPECT_FALSE(second->first());
    first.reset();
    EXPECT_TRUE(second->first());
    second.reset();
    EXPECT_FALSE(order.behind("plain/", 9));
}

// Guards against requests for one model that wait behind those for another.
TEST(waiting_order_test, requests_for_other_things_do_not_wait_for_each_other)
{
    waiting_order order;
    waiting_place const one(order, "llm/m1", 0, [] {});
    waiting_place const other(order, "llm/m2", 5, [] {});
    EXPECT_TRUE(one.first());
    EXPECT_TRUE(other.first());
    EXPECT_FALSE(order.behind("llm/m3", 9));
}

// Guards against work that grows with the square of the requests that wait: each one that
// goes on wakes the next one alone.
TEST(waiting_order_test, place_that_is_left_wakes_the_next_one_alone)
{
    constexpr int waiting = 100;
    waiting_order order;
    std::vector<int> woken(waiting);
    std::vector<std::unique_ptr<waiting_place>> places;
    for (int i = 0; i < waiting; ++i)
        places.push_back(std::make_unique<waiting_place>(
            order, "plain/", 3U, [&woken, i] { ++woken[static_cast<std::size_t>(i)]; }));
    order.wake();
    EXPECT_EQ(woken[0], 1);
    places.back().reset();
    places.pop_back();
    for (auto& place : places)
        place.reset();
    EXPECT_EQ(std::accumulate(woken.begin(), woken.end(), 0), waiting - 1);
    EXPECT_EQ(woken[1], 1);
}

} // namespace
} // namespace carawayturn::entry
