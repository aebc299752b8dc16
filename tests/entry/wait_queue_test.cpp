#include "coordination/entry/wait_queue.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <numeric>
#include <optional>
#include <vector>

namespace carawayturn::entry
{
namespace
{

// Guards against an urgent request that waits behind less urgent ones, and against a new
// request that overtakes waiting ones when backend servers accept requests again.
TEST(wait_queue_test, requests_go_by_priority_then_by_arrival)
{
    wait_queue queue;
    std::optional<wait_queue_entry> first(std::in_place, queue, "plain/", 3U, [] {});
    std::optional<wait_queue_entry> second(std::in_place, queue, "plain/", 3U, [] {});
    std::optional<wait_queue_entry> urgent(std::in_place, queue, "plain/", 1U, [] {});
    EXPECT_TRUE(urgent->is_first());
    EXPECT_FALSE(first->is_first());
    EXPECT_TRUE(queue.must_wait("plain/", 1));
    EXPECT_FALSE(queue.must_wait("plain/", 0));
    urgent.reset();
    EXPECT_TRUE(first->is_first());
    EXPECT_FALSE(second->is_first());
    first.reset();
    EXPECT_TRUE(second->is_first());
    second.reset();
    EXPECT_FALSE(queue.must_wait("plain/", 9));
}

// Guards against requests for one model that wait behind those for another.
TEST(wait_queue_test, requests_for_different_targets_do_not_wait_for_each_other)
{
    wait_queue queue;
    wait_queue_entry const one(queue, "llm/m1", 0, [] {});
    wait_queue_entry const other(queue, "llm/m2", 5, [] {});
    EXPECT_TRUE(one.is_first());
    EXPECT_TRUE(other.is_first());
    EXPECT_FALSE(queue.must_wait("llm/m3", 9));
}

// Guards against work that is quadratic in the number of waiting requests: the removal of
// the first entry wakes only the next one, and the removal of another entry wakes none.
TEST(wait_queue_test, removed_first_entry_wakes_only_the_next_one)
{
    constexpr int waiting = 100;
    wait_queue queue;
    std::vector<int> woken(waiting);
    std::vector<std::unique_ptr<wait_queue_entry>> entries;
    for (int i = 0; i < waiting; ++i)
        entries.push_back(std::make_unique<wait_queue_entry>(
            queue, "plain/", 3U, [&woken, i] { ++woken[static_cast<std::size_t>(i)]; }));
    queue.wake();
    EXPECT_EQ(woken[0], 1);
    entries.back().reset();
    entries.pop_back();
    for (auto& entry : entries)
        entry.reset();
    EXPECT_EQ(std::accumulate(woken.begin(), woken.end(), 0), waiting - 1);
    EXPECT_EQ(woken[1], 1);
}

} // namespace
} // namespace carawayturn::entry
