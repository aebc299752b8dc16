#include "protocol/entry/event_splitter.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

class event_splitter_test : public testing::Test
{
protected:
    event_splitter events_;
};

// Guards against missing the end of an event whose bytes arrive in separate reads.
TEST_F(event_splitter_test, blank_line_in_several_reads_ends_the_event)
{
    for (std::string_view const text :
         {"id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "id: 3\rdata: c\r\r",
          "data: d\r\n\n", "data: e\n\r\n", "data: f\n\r"})
    {
        std::string taken;
        for (char const c : text)
        {
            events_.append({&c, 1});
            taken += events_.take_events();
        }
        EXPECT_EQ(taken, text);
        EXPECT_TRUE(events_.incomplete_event().empty());
    }
}

// Guards against events that are held back because their lines end with a carriage
// return.
TEST_F(event_splitter_test, each_kind_of_line_end_ends_the_event)
{
    for (std::string_view const text :
         {"data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\r\n\r", "data: a\n\r",
          "data: a\r\rid: 2\r\n\r\n"})
    {
        events_.append(text);
        EXPECT_EQ(events_.take_events(), text);
        EXPECT_TRUE(events_.last_taken_has_data());
        events_.discard_incomplete_event();
    }
    for (std::string_view const text : {"data: a\n", "data: a\r\n", "data: a\r"})
    {
        events_.append(text);
        EXPECT_EQ(events_.take_events(), "") << text;
        EXPECT_EQ(events_.incomplete_event(), text);
        events_.discard_incomplete_event();
    }
}

// Guards against a stream that is cut between the last two bytes of an event and taken
// for complete.
TEST_F(event_splitter_test, carriage_return_among_crlf_lines_is_half_a_line_end)
{
    events_.append("data: a\r\n\r");
    EXPECT_EQ(events_.take_events(), "data: a\r\n\r");
    EXPECT_TRUE(events_.ends_inside_line_end());
    events_.append("\n");
    static_cast<void>(events_.take_events());
    EXPECT_FALSE(events_.ends_inside_line_end());
    events_.discard_incomplete_event();
    events_.append("data: a\r\r");
    EXPECT_EQ(events_.take_events(), "data: a\r\r");
    EXPECT_FALSE(events_.ends_inside_line_end());
}

// Guards against events that are lost or cut differently because they were looked at
// before they were taken.
TEST_F(event_splitter_test, complete_events_that_were_looked_at_are_taken_unchanged)
{
    std::string const first = "id: 1\ndata: a\n\n";
    std::string const second = "data: b\r\n\r\n";
    for (char const c : first + second + "da")
    {
        events_.append({&c, 1});
        static_cast<void>(events_.complete_events());
    }
    EXPECT_EQ(events_.complete_events(), first + second);
    EXPECT_EQ(events_.incomplete_event(), "da");
    EXPECT_EQ(events_.take_events(), first + second);
    EXPECT_TRUE(events_.last_taken_has_data());
    EXPECT_EQ(events_.complete_events(), "");
    EXPECT_EQ(events_.incomplete_event(), "da");
}

// Guards against comment lines and parts of events that count as an event.
TEST_F(event_splitter_test, event_with_data_is_known_once_it_is_complete)
{
    events_.append(": still here\n\n");
    EXPECT_FALSE(events_.has_event_with_data());
    events_.append("data: a\n");
    EXPECT_FALSE(events_.has_event_with_data());
    events_.append("\n");
    EXPECT_TRUE(events_.has_event_with_data());
}

// Guards against counting comment lines as progress of a stalled stream.
TEST_F(event_splitter_test, comment_line_is_no_data)
{
    events_.append(": still here\n\n");
    EXPECT_FALSE(events_.take_events().empty());
    EXPECT_FALSE(events_.last_taken_has_data());
    events_.append("data: x\n\n");
    EXPECT_FALSE(events_.take_events().empty());
    EXPECT_TRUE(events_.last_taken_has_data());
    events_.append("data: y");
    EXPECT_TRUE(events_.take_events().empty());
    EXPECT_FALSE(events_.last_taken_has_data());
}

// Guards against buffering an event without limit.
TEST_F(event_splitter_test, event_without_end_becomes_overlong)
{
    std::string const piece(4096, 'd');
    while (!events_.exceeds_limit())
    {
        events_.append(piece);
        ASSERT_TRUE(events_.take_events().empty());
        ASSERT_LE(events_.incomplete_event().size(), max_event_bytes + piece.size());
    }
    events_.discard_incomplete_event();
    EXPECT_FALSE(events_.exceeds_limit());
    events_.append("id: 3\n\n");
    EXPECT_EQ(events_.take_events(), "id: 3\n\n");
}

// Guards against forwarding part of an event, after which a stream cannot be resumed.
TEST_F(event_splitter_test, incomplete_event_is_held_back)
{
    events_.append("id: 1\ndata: a\n\nid: 2\nda");
    EXPECT_EQ(events_.take_events(), "id: 1\ndata: a\n\n");
    events_.append("ta: b\n\n");
    EXPECT_EQ(events_.take_events(), "id: 2\ndata: b\n\n");
}

// Guards against memory that stays allocated after its bytes have gone, and that the
// memory budget does not count.
TEST_F(event_splitter_test, bytes_that_have_gone_take_no_memory)
{
    std::string const piece(100'000, 'd');
    auto const empty = events_.allocated_bytes();
    events_.append(piece);
    EXPECT_GE(events_.allocated_bytes(), piece.size());
    events_.append("\n\nid: 2\n");
    EXPECT_EQ(events_.take_events(), piece + "\n\n");
    EXPECT_EQ(events_.incomplete_event(), "id: 2\n");
    EXPECT_LT(events_.allocated_bytes(), 100U);
    events_.append(piece);
    events_.discard_incomplete_event();
    EXPECT_EQ(events_.allocated_bytes(), empty);
    events_.append("id: 3\n\n");
    EXPECT_EQ(events_.take_events(), "id: 3\n\n");
    EXPECT_EQ(events_.allocated_bytes(), empty);
}

} // namespace
} // namespace carawayturn::entry
