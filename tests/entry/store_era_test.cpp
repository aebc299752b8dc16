#include "coordination/entry/store_era.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

class store_era_test : public testing::Test
{
protected:
    static time_point at(int ms) { return time_point{} + milliseconds(100000 + ms); }

    era_verdict answer(std::optional<std::uint64_t> named, int ms)
    {
        return era_.judge_answer(named, at(ms));
    }

    store_era era_;
};

// Guards against a drill that is seen where the store only names its era for the first
// time.
TEST_F(store_era_test, first_era_is_no_restoration)
{
    EXPECT_EQ(answer(7, 0), era_verdict::changed);
    EXPECT_EQ(answer(7, 10), era_verdict::current);
    EXPECT_EQ(era_.current(), 7U);
    EXPECT_EQ(era_.restorations(), 0U);
}

// Guards against a change for a store whose answers have no era.
TEST_F(store_era_test, store_without_eras_is_believed)
{
    for (int ms = 0; ms < 10000; ms += 500)
        EXPECT_EQ(answer(std::nullopt, ms), era_verdict::current);
    EXPECT_EQ(era_.restorations(), 0U);
}

// Guards against an answer of the former era that is believed after one of the new era.
TEST_F(store_era_test, late_answer_of_a_former_era_is_rejected)
{
    answer(1, 0);
    EXPECT_EQ(answer(2, 100), era_verdict::changed);
    EXPECT_EQ(answer(1, 200), era_verdict::rejected);
    EXPECT_EQ(answer(std::nullopt, 300), era_verdict::rejected);
    EXPECT_EQ(answer(2, 400), era_verdict::current);
    EXPECT_EQ(era_.restorations(), 1U);
    EXPECT_EQ(era_.restored_at(), at(100));
}

// Guards against an instance that never believes the store again, because one answer has
// named a wrong era.
TEST_F(store_era_test, lower_era_is_taken_over_if_nothing_else_comes_for_long)
{
    answer(1, 0);
    answer(~std::uint64_t{0}, 100);
    for (int ms = 200; ms < 5200; ms += 200)
        EXPECT_EQ(answer(2, ms), era_verdict::rejected) << ms;
    EXPECT_EQ(answer(2, 5200), era_verdict::changed);
    EXPECT_EQ(era_.current(), 2U);
    EXPECT_EQ(era_.restorations(), 2U);
}

// Guards against a rejection that lasts because other answers in between were believed.
TEST_F(store_era_test, answers_of_the_known_era_keep_others_rejected)
{
    answer(3, 0);
    for (int ms = 1000; ms < 20000; ms += 1000)
    {
        EXPECT_EQ(answer(2, ms), era_verdict::rejected);
        EXPECT_EQ(answer(3, ms + 500), era_verdict::current);
    }
}

// Guards against records that are written twice for one drill, of which another instance
// told first.
TEST_F(store_era_test, told_era_and_the_store_count_as_one_restoration)
{
    answer(1, 0);
    era_.note_told(2, at(100));
    EXPECT_EQ(era_.restorations(), 1U);
    EXPECT_EQ(era_.current(), 1U);
    EXPECT_EQ(era_.newest_known(), 2U);
    EXPECT_EQ(answer(2, 200), era_verdict::changed);
    EXPECT_EQ(era_.restorations(), 1U);
    era_.note_told(2, at(300));
    EXPECT_EQ(era_.restorations(), 1U);
}

// Guards against a wrong era of another instance that hides a drill.
TEST_F(store_era_test, told_era_that_the_store_does_not_know_hides_no_drill)
{
    answer(1, 0);
    era_.note_told(1000, at(100));
    EXPECT_EQ(answer(1, 200), era_verdict::current);
    EXPECT_EQ(answer(2, 300), era_verdict::changed);
    EXPECT_EQ(era_.restorations(), 2U);
    EXPECT_EQ(answer(2, 5300), era_verdict::current);
    EXPECT_EQ(era_.newest_known(), 2U);
}

} // namespace
} // namespace carawayturn::entry
