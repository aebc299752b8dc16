#include "protocol/entry/stream_continuation.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace carawayturn::entry
{
namespace
{

constexpr std::string_view event_stream = "text/event-stream";

class continuation_head_test : public testing::Test
{
protected:
    [[nodiscard]] continuation_fault fault() const
    {
        return find_head_fault(begun_, answer_);
    }

    answer_form begun_{200, event_stream, true, false};
    answer_form answer_{200, event_stream, true, false};
};

// Guards against the refusal of a correct continuation.
TEST_F(continuation_head_test, same_form_continues_the_stream)
{
    EXPECT_EQ(fault(), continuation_fault::none);
    answer_.content_type = "Text/Event-Stream ; charset=utf-8";
    EXPECT_EQ(fault(), continuation_fault::none);
    begun_.content_type = {};
    answer_.content_type = {};
    EXPECT_EQ(fault(), continuation_fault::none);
}

// Guards against a reason that ends the request because it has no name.
TEST_F(continuation_head_test, each_fault_has_a_name_of_its_own)
{
    std::set<std::string_view> names;
    for (int i = 0; i <= static_cast<int>(continuation_fault::no_event); ++i)
        EXPECT_TRUE(names.insert(name_of(static_cast<continuation_fault>(i))).second);
}

// Guards against an answer without events that ends a stream as complete.
TEST_F(continuation_head_test, other_status_is_no_continuation)
{
    for (unsigned const status : {201U, 204U, 206U, 302U, 404U, 500U})
    {
        answer_.status = status;
        EXPECT_EQ(fault(), continuation_fault::status) << status;
    }
}

// Guards against an error's text in the middle of a stream.
TEST_F(continuation_head_test, other_media_type_is_no_continuation)
{
    for (std::string_view const type : {"", ";", "application/json", "text/event-streams",
                                        "text/plain; x=text/event-stream"})
    {
        answer_.content_type = type;
        EXPECT_EQ(fault(), continuation_fault::media_type) << type;
    }
}

// Guards against encoded bytes in a stream whose head names no coding.
TEST_F(continuation_head_test, content_coding_is_no_continuation)
{
    answer_.encoded = true;
    EXPECT_EQ(fault(), continuation_fault::content_coding);
}

// Guards against bytes of a program that is no backend server.
TEST_F(continuation_head_test, missing_signature_is_no_continuation)
{
    answer_.signed_by_server = false;
    EXPECT_EQ(fault(), continuation_fault::signature);
}

class stream_continuation_test : public testing::Test
{
protected:
    /// Returns the part of the events that may be passed on.
    std::string_view accept(std::string_view events)
    {
        auto const accepted = stream_.accept(events);
        fault_ = accepted.fault;
        return events.substr(0, accepted.bytes);
    }

    /// Begins another run after a first one with these events.
    void resume_after(std::string_view events)
    {
        ASSERT_EQ(accept(events), events);
        stream_.begin_run();
    }

    stream_continuation stream_;
    continuation_fault fault_ = continuation_fault::none;
};

// Guards against a resume point of an event that the caller does not have.
TEST_F(stream_continuation_test, last_id_is_that_of_the_last_accepted_event)
{
    EXPECT_EQ(stream_.last_id(), "");
    EXPECT_EQ(accept("id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(stream_.last_id(), "1");
    for (std::string_view const events :
         {"id: 2\r\ndata: b\r\n\r\n", "id:2\n\n", "data: b\rid: 2\r\n\n",
          "id: 1\n\n: comment\n\nid: 2\ndata: b\n\ndata: c\n\n"})
    {
        stream_ = {};
        EXPECT_EQ(accept(events), events);
        EXPECT_EQ(stream_.last_id(), "2") << events;
    }
}

// Guards against mistaking the text "id:" inside the data for the event's id field.
TEST_F(stream_continuation_test, id_in_data_is_not_the_event_id)
{
    EXPECT_FALSE(accept("id: 7\ndata: id: 9\ndata:id:10\nid2: 11\n:id: 12\n\n").empty());
    EXPECT_EQ(stream_.last_id(), "7");
}

// Guards against events twice when a run starts over in place of resuming.
TEST_F(stream_continuation_test, run_that_starts_over_is_no_continuation)
{
    for (std::string_view const id : {"1", "2", "02", "0", "00000000000000000000000"})
    {
        stream_ = {};
        resume_after("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        EXPECT_EQ(accept("id: " + std::string(id) + "\ndata: x\n\n"), "");
        EXPECT_EQ(fault_, continuation_fault::event_id_not_greater) << id;
        EXPECT_EQ(stream_.last_id(), "2");
    }
}

// Guards against a comparison as text or as numbers of a fixed size.
TEST_F(stream_continuation_test, greater_ids_continue_the_stream)
{
    resume_after("id: 9\ndata: a\n\n");
    for (std::string_view const id :
         {"10", "0011", "18446744073709551616", "18446744073709551617",
          "340282366920938463463374607431768211456"})
    {
        auto const event = "id: " + std::string(id) + "\ndata: x\n\n";
        EXPECT_EQ(accept(event), event);
        EXPECT_EQ(stream_.last_id(), id);
    }
}

// Guards against an event that the caller may already have.
TEST_F(stream_continuation_test, event_without_an_id_is_no_continuation)
{
    resume_after("id: 2\ndata: b\n\n");
    for (std::string_view const event :
         {"data: x\n\n", "data\n\n", "event: x\ndata: x\n\n", "{\"error\":{}}\n\n"})
    {
        EXPECT_EQ(accept(event), "") << event;
        EXPECT_EQ(fault_, continuation_fault::event_id_missing) << event;
    }
}

// Guards against ids whose order is unknown.
TEST_F(stream_continuation_test, id_that_is_no_number_is_no_continuation)
{
    resume_after("id: 2\ndata: b\n\n");
    for (std::string_view const event :
         {"id: a\n\n", "id: -3\n\n", "id: 3a\n\n", "id:  3\n\n", "id: 3.0\n\n", "id:\n\n",
          "id\n\n", "id: 0x3\n\n"})
    {
        EXPECT_EQ(accept(event), "") << event;
        EXPECT_EQ(fault_, continuation_fault::event_id_not_numeric) << event;
    }
    std::string_view const with_nul("id: 3\0\n\n", 8);
    EXPECT_EQ(accept(with_nul), "");
    EXPECT_EQ(fault_, continuation_fault::event_id_not_numeric);
}

// Guards against the refusal of what carries no event.
TEST_F(stream_continuation_test, comments_and_events_after_an_id_are_accepted)
{
    resume_after("id: 2\ndata: b\n\n");
    std::string_view const events =
        ": comment\n\nretry: 100\n\n\r\nid: 3\ndata: c\n\ndata: d\n\n";
    EXPECT_EQ(accept(events), events);
    EXPECT_EQ(fault_, continuation_fault::none);
}

// Guards against the loss of the events before the one that is no continuation.
TEST_F(stream_continuation_test, events_before_the_fault_are_accepted)
{
    resume_after("id: 2\ndata: b\n\n");
    EXPECT_EQ(accept("id: 3\ndata: c\n\nid: 3\ndata: c\n\nid: 4\n\n"),
              "id: 3\ndata: c\n\n");
    EXPECT_EQ(fault_, continuation_fault::event_id_not_greater);
    EXPECT_EQ(stream_.last_id(), "3");
}

// Guards against the refusal of a run that starts from the beginning because the caller
// has no event yet.
TEST_F(stream_continuation_test, run_without_a_resume_point_is_accepted)
{
    resume_after(": comment\n\n");
    std::string_view const events = "data: a\n\nid: 1\ndata: b\n\n";
    EXPECT_EQ(accept(events), events);
}

// Guards against a run that repeats events without an id, or joins others to them.
TEST_F(stream_continuation_test, stream_is_resumable_while_an_id_covers_all_events)
{
    EXPECT_TRUE(stream_.resumable());
    accept(": comment\n\nretry: 100\n\n");
    EXPECT_TRUE(stream_.resumable());
    accept("data: a\n\n");
    EXPECT_FALSE(stream_.resumable());
    accept("id: 1\ndata: b\n\n: comment\n\n");
    EXPECT_TRUE(stream_.resumable());
    accept("id: 2\n\nevent: x\n\n");
    EXPECT_FALSE(stream_.resumable());
    accept("data: d\nid: 3\n\n");
    EXPECT_TRUE(stream_.resumable());
}

// Guards against a resume point that does not tell what the caller has.
TEST_F(stream_continuation_test, stream_whose_ids_do_not_increase_is_not_resumable)
{
    std::string const too_long(max_resume_id_bytes + 1, '3');
    for (std::string const& id : {std::string("2"), std::string("1"), std::string(),
                                  std::string("x"), std::string("3\0", 2), too_long})
    {
        stream_ = {};
        accept("id: 2\ndata: a\n\n");
        auto const event = "id: " + id + "\ndata: b\n\n";
        EXPECT_EQ(accept(event), event);
        EXPECT_FALSE(stream_.resumable()) << id;
        accept("id: 9\n\n");
        EXPECT_FALSE(stream_.resumable()) << id;
    }
}

// Guards against a resumed run after whose events without an id the stream is resumed.
TEST_F(stream_continuation_test, resumed_run_can_end_what_is_resumable)
{
    resume_after("id: 2\ndata: b\n\n");
    accept("id: 3\ndata: c\n\ndata: d\n\n");
    EXPECT_FALSE(stream_.resumable());
    accept("id: 4\ndata: e\n\n");
    EXPECT_TRUE(stream_.resumable());
    auto const too_long = "id: " + std::string(max_resume_id_bytes + 1, '5') + "\n\n";
    EXPECT_EQ(accept(too_long), too_long);
    EXPECT_FALSE(stream_.resumable());
    EXPECT_EQ(accept("id: 6\n\n"), "");
}

// Guards against a cut stream that is taken for complete, and the reverse.
TEST_F(stream_continuation_test, run_without_event_is_known_until_its_first_one)
{
    EXPECT_TRUE(stream_.run_without_event());
    accept(": comment\n\n");
    EXPECT_TRUE(stream_.run_without_event());
    accept("data: a\n\n");
    EXPECT_FALSE(stream_.run_without_event());
    resume_after("id: 2\ndata: b\n\n");
    EXPECT_TRUE(stream_.run_without_event());
    accept(": comment\n\n");
    EXPECT_TRUE(stream_.run_without_event());
    accept("id: 3\n\n");
    EXPECT_FALSE(stream_.run_without_event());
}

// Guards against taking a part of an event for a complete answer's last bytes.
TEST(event_content_test, comments_and_blank_lines_are_no_content)
{
    for (std::string_view const bytes : {"", "\n", "\r", ": comment", ": a\r\n\n:b"})
        EXPECT_FALSE(has_event_content(bytes)) << bytes;
    for (std::string_view const bytes : {"d", "id: 1", ": a\n\ndata", "\n\n{"})
        EXPECT_TRUE(has_event_content(bytes)) << bytes;
}

// Guards against a stream that is not recognized because its Content-Type is missing, and
// against the refusal of a body that is none.
TEST(event_content_test, events_are_recognized_by_their_first_field)
{
    for (std::string_view const bytes :
         {"i", "da", "data", "id: 1", ": a\n\nevent: x", "retry: 5\ndata: 1\n"})
        EXPECT_TRUE(begins_event(bytes)) << bytes;
    for (std::string_view const bytes :
         {"", ": data", "{\"id\": 1}", "da\n", "text", "ids"})
        EXPECT_FALSE(begins_event(bytes)) << bytes;
}

// Guards against events that a caller already has when it takes a stream up again.
TEST_F(stream_continuation_test, first_run_of_a_stream_that_is_taken_up_is_checked)
{
    stream_.take_up("2");
    stream_.begin_run();
    EXPECT_EQ(stream_.accept("id: 2\ndata: 2\n\n").fault,
              continuation_fault::event_id_not_greater);
    EXPECT_EQ(stream_.accept("id: 3\ndata: 3\n\n").fault, continuation_fault::none);
    EXPECT_EQ(stream_.last_id(), "3");
}

// Guards against the refusal of events that cannot be compared with the caller's last
// one.
TEST_F(stream_continuation_test, id_that_is_no_short_number_is_not_compared)
{
    for (std::string const& id :
         {std::string("x"), std::string(max_resume_id_bytes + 1, '3')})
    {
        stream_.take_up(id);
        stream_.begin_run();
        EXPECT_EQ(stream_.accept("id: 1\ndata: 1\n\n").fault, continuation_fault::none);
        stream_ = {};
    }
}

} // namespace
} // namespace carawayturn::entry
