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
    while (!events_.incomplete_event_too_long())
    {
        events_.append(piece);
        ASSERT_TRUE(events_.take_events().empty());
        ASSERT_LE(events_.incomplete_event().size(), max_event_bytes + piece.size());
    }
    events_.discard_incomplete_event();
    EXPECT_FALSE(events_.incomplete_event_too_long());
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

} // namespace
} // namespace carawayturn::entry
