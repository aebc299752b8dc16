#include "protocol/entry/bounded_number.hpp"
#include "protocol/entry/request_framing.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

namespace http = boost::beast::http;

class request_framing_test : public testing::Test
{
protected:
    request_framing_test()
    {
        head_.version(11);
        head_.set(http::field::host, "h.example");
    }

    http::request_header<> head_;
};

TEST_F(request_framing_test, valid_heads_have_no_fault)
{
    EXPECT_EQ(find_framing_fault(head_), framing_fault::none);
    head_.set(http::field::content_length, "5");
    EXPECT_EQ(find_framing_fault(head_), framing_fault::none);
    head_.erase(http::field::content_length);
    head_.set(http::field::transfer_encoding, "Chunked");
    EXPECT_EQ(find_framing_fault(head_), framing_fault::none);
}

// Guards against accepting a transfer coding that the parser does not support: it would
// read no body and parse the bytes after the head as the next request.
TEST_F(request_framing_test, coding_other_than_chunked_is_unknown)
{
    for (std::string_view const coding :
         {"xchunked", "gzip, chunked", "chunked, identity", "identity", ""})
    {
        head_.set(http::field::transfer_encoding, coding);
        EXPECT_EQ(find_framing_fault(head_), framing_fault::unknown_coding) << coding;
    }
    EXPECT_EQ(status_of(framing_fault::unknown_coding), 501U);
}

// Guards against request smuggling inside the body of another request.
TEST_F(request_framing_test, ambiguous_length_is_a_fault)
{
    head_.set(http::field::transfer_encoding, "chunked");
    head_.set(http::field::content_length, "5");
    EXPECT_EQ(find_framing_fault(head_), framing_fault::ambiguous_length);
    head_.erase(http::field::content_length);
    head_.version(10);
    EXPECT_EQ(find_framing_fault(head_), framing_fault::ambiguous_length);
    head_.erase(http::field::transfer_encoding);
    head_.insert(http::field::content_length, "5");
    head_.insert(http::field::content_length, "5");
    EXPECT_EQ(find_framing_fault(head_), framing_fault::ambiguous_length);
}

// Guards against a request whose host the backend server reads from another header line.
TEST_F(request_framing_test, ambiguous_host_is_a_fault)
{
    head_.insert(http::field::host, "other.example");
    EXPECT_EQ(find_framing_fault(head_), framing_fault::ambiguous_host);
    head_.erase(http::field::host);
    EXPECT_EQ(find_framing_fault(head_), framing_fault::ambiguous_host);
    head_.version(10);
    EXPECT_EQ(find_framing_fault(head_), framing_fault::none);
}

// Guards against numbers that overflow later arithmetic.
TEST(bounded_number_test, numbers_beyond_the_range_are_clamped)
{
    constexpr number_range range{1, 100};
    EXPECT_EQ(parse_bounded("50", range), 50);
    EXPECT_EQ(parse_bounded("99999999999999999999", range), 100);
    EXPECT_EQ(parse_bounded("1e999", range), 100);
    EXPECT_EQ(parse_bounded("1e-999", range), 1);
    EXPECT_EQ(parse_bounded("-5", range), 1);
}

TEST(bounded_number_test, text_that_is_no_number_is_rejected)
{
    for (std::string_view const text : {"", "x", "5x", " 5", "nan", "inf", "-inf", "0x5"})
        EXPECT_FALSE(parse_bounded(text, unit_range)) << text;
}

} // namespace
} // namespace carawayturn::entry
