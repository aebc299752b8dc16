#include "transport/entry/backend_exchange.hpp"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <string_view>

namespace carawayturn::entry
{
namespace
{

/// More steps of the event loop than a read of a head takes until it waits for bytes.
constexpr int max_steps = 12;

/// An exchange with a server that has sent a part of its head before the read begins. The
/// first receive of the read then ends at once, and its result waits in the event loop.
class interrupted_read_test : public testing::Test
{
protected:
    interrupted_read_test()
    {
        tcp_acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
        tcp_socket client(io_);
        client.connect(acceptor.local_endpoint());
        acceptor.accept(server_);
        exchange_ = std::make_unique<backend_exchange>(
            std::make_shared<deadline_socket>(deadlines_, std::move(client)), "r1");
        exchange_->set_idle_limit(idle_limit);
        constexpr std::string_view part = "HTTP/1.1 200 OK\r\nX-Requ";
        asio::write(server_, asio::buffer(part.data(), part.size()));
    }

    task<void> read_head() { outcome_ = co_await exchange_->read_head(); }

    void begin_read() { asio::co_spawn(io_, read_head(), asio::detached); }

    /// Runs `count` steps of the event loop, or fewer if there is nothing to do.
    void run_steps(int count)
    {
        for (int step = 0; step < count; ++step)
            io_.poll_one();
    }

    static constexpr time_point idle_limit{std::chrono::seconds(1000)};
    asio::io_context io_{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
    deadline_monitor deadlines_;
    tcp_socket server_{io_};
    std::unique_ptr<backend_exchange> exchange_;
    std::optional<read_outcome> outcome_;
};

class interrupted_read_step_test : public interrupted_read_test,
                                   public testing::WithParamInterface<int>
{
};

// Guards against an interruption that is lost because the receive had ended and the next
// one had not begun: the read then waited until the request's deadline.
TEST_P(interrupted_read_step_test, interruption_in_any_step_ends_the_read)
{
    begin_read();
    run_steps(GetParam());
    deadlines_.close_expired(idle_limit);
    io_.poll();
    deadlines_.close_expired(idle_limit);
    io_.poll();
    EXPECT_EQ(outcome_, read_outcome::idle);
}

INSTANTIATE_TEST_SUITE_P(steps, interrupted_read_step_test,
                         testing::Range(0, max_steps + 1));

// Guards against a read that is interrupted before it is due.
TEST_F(interrupted_read_test, read_goes_on_until_the_idle_limit)
{
    begin_read();
    run_steps(max_steps);
    deadlines_.close_expired(idle_limit - std::chrono::milliseconds(1));
    io_.poll();
    EXPECT_EQ(outcome_, std::nullopt);
}

} // namespace
} // namespace carawayturn::entry
