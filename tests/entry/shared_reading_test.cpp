#include "coordination/entry/shared_reading.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

class shared_reading_test : public ::testing::Test
{
protected:
    shared_reading_test() { readings_.set_instances(1); }

    /// Begins and ends a reading that takes this long.
    void read(duration time, bool done = true)
    {
        readings_.begin(now_);
        now_ += time;
        readings_.end(done);
    }

    static constexpr duration call_time = std::chrono::milliseconds(5);
    time_point now_{std::chrono::hours(1)};
    shared_reading readings_;
};

// Guards against an answer from before the request, and against one that is asked for
// although a reading that began later has it.
TEST_F(shared_reading_test, reading_counts_for_requests_that_arrived_before_it_began)
{
    auto const arrival = now_;
    EXPECT_EQ(readings_.result_since(arrival), reading_result::pending);
    read(call_time);
    EXPECT_EQ(readings_.result_since(arrival), reading_result::done);
    auto const during = arrival + call_time / 2;
    EXPECT_EQ(readings_.result_since(during), reading_result::pending);
}

// Guards against a reading for each of the requests that arrive together, or while one is
// running.
TEST_F(shared_reading_test, requests_that_wait_share_the_next_reading)
{
    EXPECT_LE(readings_.next_begin(), now_);
    readings_.begin(now_);
    EXPECT_EQ(readings_.next_begin(), time_point::max());
    readings_.end(true);
    EXPECT_GT(readings_.next_begin(), now_);
    EXPECT_LE(readings_.next_begin(), now_ + std::chrono::milliseconds(50));
}

// Guards against requests that wait for a store that does not answer, and against a
// failure that outlasts the outage.
TEST_F(shared_reading_test, failure_counts_for_those_that_waited_for_it_alone)
{
    auto const arrival = now_;
    read(call_time, false);
    EXPECT_EQ(readings_.result_since(arrival), reading_result::failed);
    auto const later = now_;
    EXPECT_EQ(readings_.result_since(later), reading_result::pending);
    read(call_time);
    EXPECT_EQ(readings_.result_since(later), reading_result::done);
    EXPECT_EQ(readings_.result_since(arrival), reading_result::done);
}

// Guards against more calls than the store serves, when all callers of a fleet of any
// size return at once: two calls a reading, and half of 2,000 calls a second.
TEST_F(shared_reading_test, readings_of_a_large_fleet_stay_within_what_the_store_serves)
{
    for (std::size_t const instances : {14U, 136U, 300U, 450U})
    {
        readings_.set_instances(instances);
        readings_.begin(now_);
        readings_.end(true);
        auto const interval =
            std::chrono::duration<double>(readings_.next_begin() - now_);
        EXPECT_LE(2.0 * static_cast<double>(instances) / interval.count(), 1001.0)
            << instances;
    }
}

} // namespace
} // namespace carawayturn::entry
