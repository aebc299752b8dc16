#include "coordination/entry/end_confirmation.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

class end_confirmation_test : public ::testing::Test
{
protected:
    end_confirmation ends_;
};

// Guards against a stream that ends early on the word of one server.
TEST_F(end_confirmation_test, end_of_one_server_is_not_confirmed)
{
    EXPECT_FALSE(ends_.note_end("r1", "2"));
    EXPECT_FALSE(ends_.note_end("r1", "2"));
}

// Guards against the refusal of a stream whose end alone was missing.
TEST_F(end_confirmation_test, same_end_of_another_server_is_confirmed)
{
    EXPECT_FALSE(ends_.note_end("r1", "2"));
    EXPECT_TRUE(ends_.note_end("r2", "2"));
}

// Guards against an end that is confirmed by one after an earlier event.
TEST_F(end_confirmation_test, end_after_a_later_event_needs_a_confirmation_of_its_own)
{
    EXPECT_FALSE(ends_.note_end("r1", "2"));
    EXPECT_FALSE(ends_.note_end("r2", "3"));
    EXPECT_TRUE(ends_.note_end("r1", "3"));
}

} // namespace
} // namespace carawayturn::entry
