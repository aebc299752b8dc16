#include "transport/http_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string_view>
#include <thread>

namespace carawayturn
{
namespace
{

using boost::asio::ip::tcp;

/// Accepts one connection, reads a request's header and sends fixed bytes; keeps the
/// connection open until the end of the test if it has no bytes to send.
class http_call_test : public testing::Test
{
protected:
    http_call_test()
        : acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        call_.to = {"127.0.0.1", acceptor_.local_endpoint().port()};
    }
    ~http_call_test() override
    {
        if (server_.joinable())
            server_.join();
    }

    result<http_answer> call_with_answer(std::string const& answer)
    {
        server_ = std::thread([this, answer] { serve(answer); });
        auto outcome = call_http(call_);
        server_.join();
        return outcome;
    }

    void serve(std::string const& answer)
    {
        connection_.emplace(acceptor_.accept());
        boost::system::error_code ignored;
        boost::asio::read_until(*connection_, boost::asio::dynamic_buffer(request_),
                                "\r\n\r\n", ignored);
        if (answer.empty())
            return;
        boost::asio::write(*connection_, boost::asio::buffer(answer), ignored);
        connection_.reset();
    }

    /// Answers a long upload that is not read, without a length or chunks, and resets the
    /// connection. Ends the answer before, if it is `whole`.
    result<http_answer> call_with_early_answer(bool whole)
    {
        call_.method = "POST";
        call_.body.assign(std::size_t{16} << 20U, 'u');
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(8 * 1024));
        server_ = std::thread([this, whole] { answer_early(whole); });
        auto outcome = call_http(call_);
        server_.join();
        return outcome;
    }

    void answer_early(bool whole)
    {
        auto connection = acceptor_.accept();
        boost::system::error_code ignored;
        boost::asio::read_until(connection, boost::asio::dynamic_buffer(request_),
                                "\r\n\r\n", ignored);
        std::string_view const answer = "HTTP/1.1 200 OK\r\n\r\n[]";
        boost::asio::write(connection, boost::asio::buffer(answer), ignored);
        if (whole)
            connection.shutdown(tcp::socket::shutdown_send, ignored);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        connection.set_option(boost::asio::socket_base::linger(true, 0));
    }

    static void expect_error(result<http_answer> const& outcome, error_code code,
                             std::string const& step)
    {
        ASSERT_FALSE(succeeded(outcome));
        EXPECT_EQ(std::get<error>(outcome).code, code);
        EXPECT_EQ(std::get<error>(outcome).step, step);
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::optional<tcp::socket> connection_;
    std::thread server_;
    std::string request_;
    http_call call_;
};

TEST_F(http_call_test, call_answered_returns_status_headers_and_body)
{
    call_.method = "POST";
    call_.target = "/v1/read";
    call_.headers = {{"Authorization", "Bearer x"}};
    call_.body = "{}";
    auto const outcome = call_with_answer(
        "HTTP/1.1 409 Conflict\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\n[]");
    ASSERT_TRUE(succeeded(outcome)) << to_string(std::get<error>(outcome));
    auto const& answer = std::get<0>(outcome);
    EXPECT_EQ(answer.status, 409U);
    EXPECT_EQ(answer.header("retry-after"), "3");
    EXPECT_EQ(answer.body, "[]");
    EXPECT_TRUE(request_.starts_with("POST /v1/read HTTP/1.1\r\n"));
    EXPECT_NE(request_.find("Authorization: Bearer x\r\n"), std::string::npos);
    EXPECT_NE(request_.find("Content-Length: 2\r\n"), std::string::npos);
}

TEST_F(http_call_test, call_silent_server_times_out)
{
    call_.timeout = std::chrono::milliseconds(50);
    expect_error(call_with_answer(""), error_code::timeout, "http.receive");
}

TEST_F(http_call_test, call_closed_port_is_unavailable)
{
    acceptor_.close();
    expect_error(call_http(call_), error_code::unavailable, "http.connect");
}

TEST_F(http_call_test, call_truncated_answer_has_unknown_outcome)
{
    expect_error(call_with_answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
                 error_code::unknown_outcome, "http.receive");
}

// Guards against a part of an answer that passes for the whole one, because the write of
// the call took the report of the reset.
TEST_F(http_call_test, call_answer_cut_by_a_reset_during_the_upload_has_unknown_outcome)
{
    expect_error(call_with_early_answer(false), error_code::unknown_outcome,
                 "http.receive");
}

TEST_F(http_call_test, call_answer_that_ends_before_its_upload_was_read_is_returned)
{
    auto const outcome = call_with_early_answer(true);
    ASSERT_TRUE(succeeded(outcome)) << to_string(std::get<error>(outcome));
    EXPECT_EQ(std::get<0>(outcome).body, "[]");
}

// Guards against a command that takes an informational answer for the final one.
TEST_F(http_call_test, call_informational_answers_are_skipped)
{
    auto const outcome =
        call_with_answer("HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
    ASSERT_TRUE(succeeded(outcome)) << to_string(std::get<error>(outcome));
    EXPECT_EQ(std::get<0>(outcome).status, 200U);
    EXPECT_EQ(std::get<0>(outcome).body, "[]");
}

// Guards against a command that reports a status which is none.
TEST_F(http_call_test, call_malformed_answer_has_unknown_outcome)
{
    for (std::string const status : {"000", "099", "600", "999"})
    {
        auto const outcome = call_with_answer("HTTP/1.1 " + status +
                                              " Said\r\nContent-Length: 2\r\n\r\n[]");
        expect_error(outcome, error_code::unknown_outcome, "http.receive");
        EXPECT_EQ(std::get<error>(outcome).detail.find("malformed answer, status"), 0U);
    }
}

TEST_F(http_call_test, call_answer_above_limit_is_refused)
{
    call_.max_answer_bytes = 2;
    expect_error(call_with_answer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
                 error_code::limit_exceeded, "http.receive");
}

// A key or path from a command line must not add headers or requests.
TEST_F(http_call_test, call_line_break_in_header_or_target_is_refused)
{
    call_.headers = {{"Authorization", "Bearer x\r\nX-Priority: 0"}};
    expect_error(call_http(call_), error_code::invalid_input, "http.send");
    call_.headers.clear();
    call_.target = "/v1 HTTP/1.1\r\n\r\nGET /";
    expect_error(call_http(call_), error_code::invalid_input, "http.send");
}

TEST_F(http_call_test, call_host_name_is_refused)
{
    call_.to.address = "localhost";
    expect_error(call_http(call_), error_code::invalid_input, "http.connect");
}

} // namespace
} // namespace carawayturn
