#include "coordination/entry/shutdown_plan.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

/// A shutdown with eight seconds of grace, asked at times after its beginning.
class shutdown_plan_test : public testing::Test
{
protected:
    static constexpr time_point begin{std::chrono::seconds(1000)};

    [[nodiscard]] shutdown_step step_at(int ms, std::size_t unfinished,
                                        bool lease_settled = true) const
    {
        return plan_.step(begin + milliseconds(ms), {unfinished, lease_settled});
    }

    [[nodiscard]] bool may_begin(int first_byte_ms, int read_ms) const
    {
        return plan_.may_begin(begin + milliseconds(first_byte_ms),
                               begin + milliseconds(read_ms));
    }

    shutdown_plan plan_{begin, std::chrono::seconds(8)};
};

// Guards against callers that are turned away before the entry points know of the end.
TEST_F(shutdown_plan_test, nothing_open_serves_until_noticed)
{
    EXPECT_EQ(step_at(0, 0), shutdown_step::serve);
    EXPECT_EQ(step_at(2599, 0), shutdown_step::serve);
    EXPECT_EQ(step_at(2600, 0), shutdown_step::finish);
}

// Guards against a process that lives on for nothing.
TEST_F(shutdown_plan_test, nothing_open_ends_after_first_requests)
{
    EXPECT_EQ(step_at(2899, 0), shutdown_step::finish);
    EXPECT_EQ(step_at(2900, 0), shutdown_step::end);
}

// Guards against a request that comes after the intake has closed and is cut by a fixed
// wait (issue 19).
TEST_F(shutdown_plan_test, request_opened_late_is_waited_for)
{
    EXPECT_EQ(step_at(2650, 0), shutdown_step::finish);
    EXPECT_EQ(step_at(2899, 1), shutdown_step::finish);
    EXPECT_EQ(step_at(2950, 1), shutdown_step::finish);
    EXPECT_EQ(step_at(7399, 1), shutdown_step::finish);
    EXPECT_EQ(step_at(5000, 0), shutdown_step::end);
}

// Guards against an end before the lease is given back, and one that waits for a store
// that does not answer until it is killed.
TEST_F(shutdown_plan_test, lease_not_settled_is_waited_for_until_the_cut)
{
    EXPECT_EQ(step_at(5000, 0, false), shutdown_step::finish);
    EXPECT_EQ(step_at(7400, 0, false), shutdown_step::end);
}

// Guards against requests whose callers hear nothing when the grace time runs out.
TEST_F(shutdown_plan_test, request_open_as_the_grace_time_runs_out_is_cut_and_told)
{
    EXPECT_EQ(step_at(7400, 1), shutdown_step::cut);
    EXPECT_EQ(step_at(7500, 0), shutdown_step::end);
    EXPECT_EQ(step_at(7799, 1), shutdown_step::cut);
    EXPECT_EQ(step_at(7800, 1), shutdown_step::end);
}

// Guards against requests that begin only to be cut.
TEST_F(shutdown_plan_test, request_begins_only_if_it_came_in_time)
{
    EXPECT_TRUE(may_begin(2899, 2950));
    EXPECT_TRUE(may_begin(100, 6300));
    EXPECT_FALSE(may_begin(2900, 2950));
    EXPECT_FALSE(may_begin(100, 6400));
}

// Guards against steps that overlap where the grace time is shorter than the notice.
TEST_F(shutdown_plan_test, short_grace_time_still_tells_before_the_kill)
{
    shutdown_plan const brief(begin, std::chrono::seconds(1));
    EXPECT_EQ(brief.step(begin + milliseconds(399), {1, true}), shutdown_step::serve);
    EXPECT_EQ(brief.step(begin + milliseconds(400), {1, true}), shutdown_step::cut);
    EXPECT_EQ(brief.step(begin + milliseconds(800), {1, true}), shutdown_step::end);
    EXPECT_FALSE(brief.may_begin(begin, begin));
}

} // namespace
} // namespace carawayturn::entry
