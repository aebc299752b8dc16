#include "protocol/answer_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace carawayturn
{
namespace
{

namespace http = boost::beast::http;

constexpr int byte_values = 256;

bool is_token_byte(char byte)
{
    static std::string const others = "!#$%&'*+-.^_`|~";
    return (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= 'a' && byte <= 'z') ||
           (byte != 0 && others.find(byte) < others.size());
}

/// Whether a byte may stand inside a value or a reason (RFC 9110, section 5.5).
bool is_text_byte(char byte)
{
    auto const value = static_cast<unsigned char>(byte);
    return byte == '\t' || (value >= 0x20 && value != 0x7f);
}

std::string answer_with(std::string const& status_line, std::string const& line)
{
    return status_line + "\r\n" + line + "Content-Length: 0\r\n\r\n";
}

class answer_parser_test : public testing::Test
{
protected:
    /// Parses a whole answer and returns the error, if any.
    boost::system::error_code parse(std::string const& bytes)
    {
        parser_ = std::make_unique<answer_parser<http::string_body>>();
        boost::system::error_code failure;
        auto const used = parser_->put(boost::asio::buffer(bytes), failure);
        unread_ = bytes.substr(used);
        return failure;
    }

    /// Parses an answer that arrives byte by byte.
    boost::system::error_code parse_bytes(std::string const& bytes)
    {
        parser_ = std::make_unique<answer_parser<http::string_body>>();
        std::string pending;
        boost::system::error_code failure;
        for (char const byte : bytes)
        {
            pending += byte;
            pending.erase(0, parser_->put(boost::asio::buffer(pending), failure));
            if (failure && failure != http::error::need_more)
                return failure;
        }
        return failure;
    }

    void expect_answer(std::string const& bytes)
    {
        EXPECT_FALSE(parse(bytes)) << testing::PrintToString(bytes);
        EXPECT_TRUE(parser_->is_done());
        EXPECT_FALSE(parse_bytes(bytes)) << testing::PrintToString(bytes);
    }

    void expect_malformed(std::string const& bytes)
    {
        EXPECT_TRUE(is_malformed_answer(parse(bytes))) << testing::PrintToString(bytes);
        EXPECT_TRUE(is_malformed_answer(parse_bytes(bytes)))
            << testing::PrintToString(bytes);
    }

    std::unique_ptr<answer_parser<http::string_body>> parser_;
    std::string unread_;
};

// Guards against a status that is none and reaches a caller.
TEST_F(answer_parser_test, status_of_three_digits_is_accepted_from_100_to_599_but_101)
{
    for (int status = 0; status < 1000; ++status)
    {
        auto const digits = std::to_string(1000 + status).substr(1);
        auto const bytes = answer_with("HTTP/1.1 " + digits + " Said", "");
        if (status < 100 || status > 599)
        {
            EXPECT_EQ(parse(bytes), answer_fault::status_out_of_range) << digits;
            EXPECT_EQ(parse_bytes(bytes), answer_fault::status_out_of_range) << digits;
            continue;
        }
        if (status == 101)
        {
            EXPECT_EQ(parse(bytes), answer_fault::protocol_switched);
            EXPECT_EQ(parse_bytes(bytes), answer_fault::protocol_switched);
            continue;
        }
        expect_answer(bytes);
        EXPECT_EQ(parser_->get().result_int(), status);
        EXPECT_EQ(parser_->get().reason(), "Said");
        EXPECT_EQ(parser_->get().version(), 11U);
        EXPECT_EQ(is_informational(static_cast<unsigned>(status)), status < 200);
    }
}

TEST_F(answer_parser_test, status_of_other_form_is_malformed)
{
    for (auto const* const status :
         {"", "2", "20", "2000", "2x0", "-20", "+20", " 200", "0x1", "20 "})
        expect_malformed(answer_with("HTTP/1.1 " + std::string(status) + " Said", ""));
}

TEST_F(answer_parser_test, version_other_than_1_0_and_1_1_is_malformed)
{
    for (auto const* const version : {"HTTP/1.0", "HTTP/1.1"})
        expect_answer(answer_with(std::string(version) + " 200 OK", ""));
    for (auto const* const version : {"HTTP/0.9", "HTTP/2.0", "HTTP/1.x", "HTTP/1.10",
                                      "http/1.1", "HTTPS/1.1", "HTTP 1.1"})
        expect_malformed(answer_with(std::string(version) + " 200 OK", ""));
}

// Guards against a name that another reader takes for a different one.
TEST_F(answer_parser_test, name_with_a_byte_of_no_token_is_malformed)
{
    for (int value = 0; value < byte_values; ++value)
    {
        auto const byte = static_cast<char>(value);
        // A colon ends the name.
        if (byte == ':')
            continue;
        for (auto const& name : {std::string("X-A") + byte + "b",
                                 std::string(1, byte) + "Ab", std::string("X-Ab") + byte})
        {
            auto const bytes = answer_with("HTTP/1.1 200 OK", name + ": 1\r\n");
            if (!is_token_byte(byte))
            {
                expect_malformed(bytes);
                continue;
            }
            expect_answer(bytes);
            EXPECT_EQ(parser_->get()[name], "1");
        }
    }
    expect_malformed(answer_with("HTTP/1.1 200 OK", ": 1\r\n"));
    expect_malformed(answer_with("HTTP/1.1 200 OK", "X-Ab\r\n"));
}

TEST_F(answer_parser_test, value_with_a_control_byte_is_malformed)
{
    for (int value = 0; value < byte_values; ++value)
    {
        auto const byte = static_cast<char>(value);
        auto const bytes =
            answer_with("HTTP/1.1 200 OK", std::string("X-Ab: 1") + byte + "2\r\n");
        if (!is_text_byte(byte))
        {
            expect_malformed(bytes);
            continue;
        }
        expect_answer(bytes);
        EXPECT_EQ(parser_->get()["X-Ab"], std::string("1") + byte + "2");
    }
}

TEST_F(answer_parser_test, reason_with_a_control_byte_is_malformed)
{
    for (int value = 0; value < byte_values; ++value)
    {
        auto const byte = static_cast<char>(value);
        auto const bytes = answer_with(std::string("HTTP/1.1 200 O") + byte + "K", "");
        if (is_text_byte(byte))
            expect_answer(bytes);
        else
            expect_malformed(bytes);
    }
    expect_answer(answer_with("HTTP/1.1 200 ", ""));
}

TEST_F(answer_parser_test, trailer_is_held_to_the_same_rule)
{
    std::string const begin =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
    for (auto const* const line : {"X Ab: 1", "X-A\x01: 1", "X-Ab", "X-Ab: \x7f"})
    {
        boost::system::error_code failure;
        parse(begin + line + "\r\n\r\n");
        while (!failure && !parser_->is_done())
            unread_.erase(0, parser_->put(boost::asio::buffer(unread_), failure));
        EXPECT_TRUE(is_malformed_answer(failure)) << line;
    }
}

// Guards against a body that is passed on with a coding that is not.
TEST_F(answer_parser_test, transfer_coding_other_than_chunked_is_malformed)
{
    std::string const chunks = "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (auto const* const value : {"chunked", "Chunked", " ,chunked,\t"})
        EXPECT_FALSE(parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(value) +
                           chunks));
    for (auto const* const value :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked",
          "\"chunked\"", "chunked;a=1", "chunked x", "identity", "", ",",
          "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip",
          "gzip\r\nContent-Length: 5", "chunked\r\nContent-Length: 5"})
        expect_malformed("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(value) +
                         chunks);
    expect_malformed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: gzip" +
                     chunks);
    expect_malformed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + chunks);
}

// Guards against a broken connection that looks like a server in trouble.
TEST_F(answer_parser_test, end_of_connection_and_limits_are_not_malformed)
{
    for (auto const failure : {http::error::end_of_stream, http::error::partial_message,
                               http::error::header_limit, http::error::body_limit})
        EXPECT_FALSE(is_malformed_answer(failure));
    EXPECT_FALSE(is_malformed_answer({}));
}

// Guards against a log line that control bytes of a server break, or that has no bound.
TEST_F(answer_parser_test, description_is_bounded_and_printable)
{
    auto const failure = parse("HTTP/1.1 000 \"Said\"\\\xff\r\nX-Ab: 1\r\n\r\n");
    EXPECT_EQ(describe_malformed_answer(failure, boost::asio::buffer(unread_, 22)),
              "malformed answer, status out of range: "
              R"(HTTP/1.1 000 \x22Said\x22\x5c\xff\x0d)");
    std::string const long_line(100'000, '\0');
    EXPECT_LT(describe_malformed_answer(failure, boost::asio::buffer(long_line)).size(),
              320U);
}

TEST_F(answer_parser_test, description_begins_with_the_faulty_line)
{
    auto const failure = parse("HTTP/1.1 200 OK\r\nX-Ab: 1\r\nX Ab: 2\r\n\r\n");
    EXPECT_EQ(describe_malformed_answer(failure, boost::asio::buffer(unread_)),
              R"(malformed answer, bad field: X Ab: 2\x0d\x0a\x0d\x0a)");
}

} // namespace
} // namespace carawayturn
