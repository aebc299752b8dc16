#include "coordination/entry/pause_detector.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

/// A fixture whose checks run every 50 ms; times are relative to the first one.
class pause_detector_test : public testing::Test
{
protected:
    static constexpr time_point begin{std::chrono::seconds(1000)};

    void check_at(int ms) { detector_.note_check(begin + milliseconds(ms)); }

    [[nodiscard]] auto earliest_arrival(int ms) const
    {
        return detector_.earliest_arrival(begin + milliseconds(ms)) - begin;
    }

    pause_detector detector_{begin};
};

// Guards against deadlines that are never enforced.
TEST_F(pause_detector_test, regular_checks_are_no_pause)
{
    check_at(50);
    EXPECT_FALSE(detector_.just_resumed());
    check_at(349);
    EXPECT_FALSE(detector_.just_resumed());
}

// Guards against deadlines that are enforced before the input of the pause is read.
TEST_F(pause_detector_test, first_check_after_a_pause_is_known)
{
    check_at(50);
    check_at(350);
    EXPECT_TRUE(detector_.just_resumed());
    check_at(400);
    EXPECT_FALSE(detector_.just_resumed());
}

// Guards against deadlines that are never enforced on a machine that is always busy.
TEST_F(pause_detector_test, every_second_late_check_counts_as_on_time)
{
    check_at(400);
    EXPECT_TRUE(detector_.just_resumed());
    check_at(800);
    EXPECT_FALSE(detector_.just_resumed());
    check_at(1200);
    EXPECT_TRUE(detector_.just_resumed());
}

// Guards against a grace time that begins before its signal.
TEST_F(pause_detector_test, signal_without_a_pause_arrives_now)
{
    check_at(50);
    check_at(100);
    EXPECT_EQ(earliest_arrival(120), milliseconds(120));
}

// Guards against a grace time that begins with the end of a pause during which the signal
// was sent, whether a check or the signal is handled first.
TEST_F(pause_detector_test, signal_after_a_pause_may_have_arrived_at_its_begin)
{
    check_at(50);
    EXPECT_EQ(earliest_arrival(2050), milliseconds(50));
    check_at(2051);
    EXPECT_EQ(earliest_arrival(2052), milliseconds(50));
    check_at(2101);
    EXPECT_EQ(earliest_arrival(2110), milliseconds(2110));
}

} // namespace
} // namespace carawayturn::entry
