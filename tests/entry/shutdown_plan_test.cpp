#include "coordination/entry/shutdown_plan.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

/// A fixture for a shutdown with a grace time of eight seconds; times are relative to
/// its begin.
class shutdown_plan_test : public testing::Test
{
protected:
    static constexpr time_point begin{std::chrono::seconds(1000)};

    [[nodiscard]] shutdown_step step_at(int ms, std::size_t unfinished,
                                        bool lease_settled = true) const
    {
        return plan_.step(begin + milliseconds(ms),
                          {unfinished, lease_settled, intake_closed_, cut_});
    }

    [[nodiscard]] bool may_begin(int first_byte_ms, int read_ms) const
    {
        return plan_.may_begin(begin + milliseconds(first_byte_ms),
                               begin + milliseconds(read_ms));
    }

    bool intake_closed_ = true;
    bool cut_ = false;
    shutdown_plan plan_{{begin, begin}, std::chrono::seconds(8)};
};

// Guards against callers that are refused before the platform has noticed the shutdown.
TEST_F(shutdown_plan_test, idle_instance_serves_until_its_intake_ends)
{
    EXPECT_EQ(step_at(0, 0), shutdown_step::serve);
    EXPECT_EQ(step_at(2599, 0), shutdown_step::serve);
    EXPECT_EQ(step_at(2600, 1), shutdown_step::finish);
}

// Guards against a process that keeps running with nothing left to do.
TEST_F(shutdown_plan_test, idle_instance_ends_with_its_intake)
{
    EXPECT_EQ(step_at(2600, 0), shutdown_step::end);
}

// Guards against an end after a pause of the process, before the connections that wait to
// be accepted have been accepted.
TEST_F(shutdown_plan_test, open_intake_delays_the_end)
{
    intake_closed_ = false;
    EXPECT_EQ(step_at(2600, 0), shutdown_step::finish);
    EXPECT_EQ(step_at(5000, 0), shutdown_step::finish);
    EXPECT_EQ(step_at(7500, 0), shutdown_step::cut);
}

// Guards against a fixed delay that cuts a request which arrives after the intake has
// closed (issue 19).
TEST_F(shutdown_plan_test, request_opened_late_is_waited_for)
{
    EXPECT_EQ(step_at(2650, 1), shutdown_step::finish);
    EXPECT_EQ(step_at(2899, 1), shutdown_step::finish);
    EXPECT_EQ(step_at(2950, 1), shutdown_step::finish);
    EXPECT_EQ(step_at(7399, 1), shutdown_step::finish);
    EXPECT_EQ(step_at(5000, 0), shutdown_step::end);
}

// Guards against an end before the lease is released, and against waiting for a store
// that does not answer until the process is killed.
TEST_F(shutdown_plan_test, unsettled_lease_is_waited_for_until_the_cut)
{
    EXPECT_EQ(step_at(5000, 0, false), shutdown_step::finish);
    EXPECT_EQ(step_at(7400, 0, false), shutdown_step::end);
}

// Guards against requests whose callers get no answer when the grace time runs out.
TEST_F(shutdown_plan_test, open_request_is_cut_before_the_grace_time_ends)
{
    EXPECT_EQ(step_at(7400, 1), shutdown_step::cut);
    EXPECT_EQ(step_at(7500, 0), shutdown_step::end);
    cut_ = true;
    EXPECT_EQ(step_at(7799, 1), shutdown_step::cut);
    EXPECT_EQ(step_at(7800, 1), shutdown_step::end);
}

// Guards against callers that get no answer because the process was paused at the time of
// the cut.
TEST_F(shutdown_plan_test, late_cut_still_precedes_the_end)
{
    EXPECT_EQ(step_at(9000, 1), shutdown_step::cut);
    cut_ = true;
    EXPECT_EQ(step_at(9050, 1), shutdown_step::end);
}

// Guards against requests that are admitted only to be cut.
TEST_F(shutdown_plan_test, request_begins_only_if_it_came_in_time)
{
    EXPECT_TRUE(may_begin(2899, 2950));
    EXPECT_TRUE(may_begin(100, 6300));
    EXPECT_FALSE(may_begin(2900, 2950));
    EXPECT_FALSE(may_begin(100, 6400));
}

// Guards against a stream that is passed on because the first byte of its request came in
// time, though its last byte came late, and that is cut as the grace time ends.
TEST_F(shutdown_plan_test, stream_that_may_be_cut_begins_only_if_it_was_read_in_time)
{
    auto const may_begin_stream = [this](int read_ms, int deadline_ms)
    {
        return plan_.may_begin_stream(begin + milliseconds(read_ms),
                                      begin + milliseconds(deadline_ms));
    };
    EXPECT_TRUE(may_begin_stream(2899, 60000));
    EXPECT_FALSE(may_begin_stream(2900, 60000));
    EXPECT_FALSE(may_begin_stream(2900, 7401));
    EXPECT_TRUE(may_begin_stream(2900, 7400));
    EXPECT_TRUE(may_begin_stream(6000, 7400));
}

// Guards against steps of fixed length that overlap in a short grace time, refuse all
// requests, and leave no time between the cut and the kill.
TEST_F(shutdown_plan_test, short_grace_time_shortens_each_step_in_proportion)
{
    shutdown_plan const brief({begin, begin}, milliseconds(1800));
    auto const step_at = [&brief](int ms, bool cut) {
        return brief.step(begin + milliseconds(ms), {1, true, true, cut});
    };
    EXPECT_EQ(step_at(1299, false), shutdown_step::serve);
    EXPECT_EQ(step_at(1300, false), shutdown_step::finish);
    EXPECT_EQ(step_at(1499, false), shutdown_step::finish);
    EXPECT_EQ(step_at(1500, false), shutdown_step::cut);
    EXPECT_EQ(step_at(1699, true), shutdown_step::cut);
    EXPECT_EQ(step_at(1700, true), shutdown_step::end);
    auto const may_begin = [&brief](int first_byte_ms, int read_ms)
    {
        return brief.may_begin(begin + milliseconds(first_byte_ms),
                               begin + milliseconds(read_ms));
    };
    EXPECT_TRUE(may_begin(0, 999));
    EXPECT_FALSE(may_begin(0, 1000));
    EXPECT_EQ(brief.idle_close_delay(), milliseconds(150));
}

// Guards against a request that is sent at once after the signal, ends before the last
// sixth of the grace time, and is refused or cut.
TEST_F(shutdown_plan_test, any_grace_time_leaves_five_sixths_to_a_request)
{
    for (int grace_ms = 100; grace_ms <= 10000; grace_ms += 50)
    {
        SCOPED_TRACE(grace_ms);
        shutdown_plan const plan({begin, begin}, milliseconds(grace_ms));
        auto const last_sixth = begin + milliseconds(grace_ms) * 5 / 6;
        EXPECT_TRUE(plan.may_begin(begin, begin + milliseconds(grace_ms) / 20));
        auto const open = plan.step(last_sixth - milliseconds(1), {1, true, true, false});
        EXPECT_TRUE(open == shutdown_step::serve || open == shutdown_step::finish);
        EXPECT_EQ(plan.step(begin + milliseconds(grace_ms), {1, true, true, true}),
                  shutdown_step::end);
    }
}

// Guards against steps that jump where the grace time is just long enough for them.
TEST_F(shutdown_plan_test, grace_time_that_holds_all_steps_keeps_their_length)
{
    shutdown_plan const plan({begin, begin}, milliseconds(3600));
    auto const step_at = [&plan](int ms, bool cut) {
        return plan.step(begin + milliseconds(ms), {1, true, true, cut});
    };
    EXPECT_EQ(step_at(2599, false), shutdown_step::serve);
    EXPECT_EQ(step_at(2600, false), shutdown_step::finish);
    EXPECT_EQ(step_at(3000, false), shutdown_step::cut);
    EXPECT_EQ(step_at(3400, true), shutdown_step::end);
    EXPECT_EQ(plan.idle_close_delay(), milliseconds(300));
    EXPECT_EQ(plan_.idle_close_delay(), milliseconds(300));
}

// Guards against a stream that is cut early because the signal may have arrived during a
// pause, and against callers that are told too late for the same reason.
TEST_F(shutdown_plan_test, uncertain_signal_time_cuts_begun_answers_last)
{
    shutdown_plan const uncertain({begin - milliseconds(2500), begin},
                                  std::chrono::seconds(8));
    auto const step_at = [&uncertain](int ms, std::size_t unfinished, bool cut) {
        return uncertain.step(begin + milliseconds(ms), {unfinished, true, true, cut});
    };
    EXPECT_EQ(step_at(2599, 0, false), shutdown_step::serve);
    EXPECT_EQ(step_at(4899, 1, false), shutdown_step::finish);
    EXPECT_EQ(step_at(4900, 1, false), shutdown_step::cut_unanswered);
    EXPECT_EQ(step_at(7399, 1, false), shutdown_step::cut_unanswered);
    EXPECT_EQ(step_at(7399, 0, false), shutdown_step::end);
    EXPECT_EQ(step_at(7400, 1, false), shutdown_step::cut);
    EXPECT_EQ(step_at(7800, 1, true), shutdown_step::end);
    EXPECT_FALSE(uncertain.may_begin(begin, begin + milliseconds(3900)));
}

} // namespace
} // namespace carawayturn::entry
