#include "protocol/entry/stream_continuation.hpp"

#include <gtest/gtest.h>

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

} // namespace
} // namespace carawayturn::entry
