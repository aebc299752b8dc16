#include "transport/entry/boot_clock.hpp"
#include "transport/entry/http_call.hpp"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace carawayturn::entry
{
namespace
{

/// A server on the loopback interface that records how many bytes its first connection
/// delivers.
class http_call_test : public testing::Test
{
protected:
    http_call_test()
    {
        listen();
        request_.peer = "s1";
        request_.target = "/order";
        request_.timeout = std::chrono::seconds(60);
    }

    void listen()
    {
        server_.open(asio::ip::tcp::v4());
        server_.bind({asio::ip::address_v4::loopback(), 0});
        server_.listen();
        request_.address = "127.0.0.1:" + std::to_string(server_.local_endpoint().port());
    }

    /// Lets run() make another call.
    void restart()
    {
        if (server_.is_open())
            server_.close();
        listen();
        io_.restart();
    }

    task<void> count_bytes()
    {
        auto [failure, socket] = co_await server_.async_accept(use_task);
        if (failure)
            co_return;
        std::array<char, 1024> piece{};
        auto const [ended, size] =
            co_await socket.async_read_some(asio::buffer(piece), use_task);
        received_ = size;
        // Closing the connection here makes the call fail.
    }

    task<void> send_answer()
    {
        auto [failure, socket] = co_await server_.async_accept(use_task);
        std::string const answer = head_ +
                                   "\r\nContent-Length: " + std::to_string(body_.size()) +
                                   "\r\n\r\n" + body_;
        if (failure)
            co_return;
        // A connection that is closed with unread bytes is reset, which discards the
        // answer.
        std::array<char, 1024> piece{};
        static_cast<void>(co_await socket.async_read_some(asio::buffer(piece), use_task));
        co_await asio::async_write(socket, asio::buffer(answer), use_task);
    }

    /// Sends a part of an answer that has neither a length nor chunks, and resets the
    /// connection while the call is still being written.
    task<void> send_part_and_reset()
    {
        server_.set_option(asio::socket_base::receive_buffer_size(8 * 1024));
        auto [failure, socket] = co_await server_.async_accept(use_task);
        if (failure)
            co_return;
        std::array<char, 1024> piece{};
        static_cast<void>(co_await socket.async_read_some(asio::buffer(piece), use_task));
        std::string const part = head_ + "\r\n\r\nhalf";
        co_await asio::async_write(socket, asio::buffer(part), use_task);
        steady_timer timer(io_);
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(use_task);
        socket.set_option(asio::socket_base::linger(true, 0));
    }

    task<void> call()
    {
        answer_ = co_await http_call(connections_, request_);
        answered_ = answer_.has_value();
        server_.close();
    }

    void run()
    {
        if (body_.empty())
            asio::co_spawn(io_, count_bytes(), asio::detached);
        else
            asio::co_spawn(io_, send_answer(), asio::detached);
        asio::co_spawn(io_, call(), asio::detached);
        io_.run();
    }

    asio::io_context io_{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
    deadline_monitor deadlines_;
    backend_connections connections_{io_, deadlines_};
    tcp_acceptor server_{io_};
    call_request request_;
    /// Beginning of the server's answer.
    std::string head_ = "HTTP/1.1 202 Accepted";
    /// Body of the server's answer; if empty, the server closes the connection.
    std::string body_;
    std::optional<call_answer> answer_;
    std::size_t received_ = 0;
    bool answered_ = true;
    bool check_called_ = false;
};

TEST_F(http_call_test, call_without_a_check_is_sent)
{
    run();
    EXPECT_GT(received_, 0U);
    EXPECT_FALSE(answered_);
}

// Guards against an order that is sent after its sender's lease has ended, because
// opening the connection to the runner took long.
TEST_F(http_call_test, call_that_may_no_longer_be_sent_is_not_sent)
{
    request_.may_send = [this] { return check_called_ = true, false; };
    run();
    EXPECT_TRUE(check_called_);
    EXPECT_EQ(received_, 0U);
    EXPECT_FALSE(answered_);
}

// Guards against a runner whose answer is held up to a limit that was made for the store.
// Guards against a part of an answer of the store or of a server that passes for the
// whole one, because the write of the call took the report of the reset.
TEST_F(http_call_test, answer_cut_by_a_reset_during_the_upload_is_no_answer)
{
    request_.method = boost::beast::http::verb::post;
    request_.body.assign(std::size_t{16} << 20U, 'u');
    asio::co_spawn(io_, send_part_and_reset(), asio::detached);
    asio::co_spawn(io_, call(), asio::detached);
    io_.run();
    EXPECT_FALSE(answered_);
}

TEST_F(http_call_test, answer_beyond_its_limit_is_left_out)
{
    body_.assign(10'000, 'a');
    request_.answer_limits.max_bytes = 9'999;
    run();
    ASSERT_TRUE(answered_);
    EXPECT_EQ(answer_->status, 202U);
    EXPECT_EQ(answer_->body, "");
}

// Guards against answers of many runners that fill the memory together.
TEST_F(http_call_test, answer_beyond_the_memory_for_all_is_left_out)
{
    byte_budget memory(4'000);
    body_.assign(10'000, 'a');
    request_.answer_limits.memory = &memory;
    request_.answer_limits.free_bytes = 5'000;
    run();
    ASSERT_TRUE(answered_);
    EXPECT_EQ(answer_->body, "");
    EXPECT_EQ(memory.taken(), 0U);
}

// Guards against short answers that are left out because others have taken the memory.
TEST_F(http_call_test, short_answer_needs_no_memory_budget)
{
    byte_budget memory(0);
    body_.assign(5'000, 'a');
    request_.answer_limits.memory = &memory;
    request_.answer_limits.free_bytes = 5'000;
    run();
    ASSERT_TRUE(answered_);
    EXPECT_EQ(answer_->body, body_);
}

// Guards against an order or a report that is believed on a status which is none, or on
// the answer behind it.
TEST_F(http_call_test, answer_with_a_status_that_is_none_is_no_answer)
{
    for (auto const* const head :
         {"HTTP/1.1 000 Said", "HTTP/1.1 099 Said", "HTTP/1.1 600 Said",
          "HTTP/1.1 000 Said\r\n\r\nHTTP/1.1 202 Accepted"})
    {
        head_ = head;
        body_ = "{}";
        restart();
        run();
        EXPECT_FALSE(answered_) << head;
    }
}

TEST_F(http_call_test, answer_with_an_unknown_status_is_an_answer)
{
    for (auto const status : {299U, 599U})
    {
        head_ = "HTTP/1.1 " + std::to_string(status) + " Said";
        body_ = "{}";
        restart();
        run();
        ASSERT_TRUE(answered_);
        EXPECT_EQ(answer_->status, status);
    }
}

} // namespace
} // namespace carawayturn::entry
