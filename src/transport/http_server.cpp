#include "transport/http_server.hpp"

#include "transport/http_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace carawayturn
{

using namespace http_detail;

namespace
{

/// Time until accepting is tried again after an error such as too many open files.
constexpr auto accept_retry = std::chrono::milliseconds(100);

/// How long a stopping server waits for answers in progress, and how often it looks.
constexpr auto stop_grace = std::chrono::seconds(1);
constexpr auto stop_poll = std::chrono::milliseconds(5);

} // namespace

struct http_server::state : shared_parts
{
    state(http_limits set, http_handler& target) : shared_parts(set, target) {}

    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto [failure, socket] = co_await acceptor.async_accept(as_result);
            if (failure == asio::error::operation_aborted || stopping)
                co_return;
            if (failure)
            {
                asio::steady_timer pause(context, accept_retry);
                co_await pause.async_wait(as_result);
                continue;
            }
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            auto const next = std::make_shared<connection>(*this, std::move(socket));
            asio::co_spawn(context, next->run(), asio::detached);
        }
    }

    void shut_down()
    {
        stopping = true;
        beast::error_code ignored;
        acceptor.close(ignored);
        for (auto* const each : open)
            each->close_when_answered();
        asio::co_spawn(context, end_connections(), asio::detached);
    }

    /// Lets answers in progress finish for a moment, then ends the event loop.
    asio::awaitable<void> end_connections()
    {
        auto const deadline = asio::steady_timer::clock_type::now() + stop_grace;
        asio::steady_timer pause(context);
        while (!open.empty() && asio::steady_timer::clock_type::now() < deadline)
        {
            pause.expires_after(stop_poll);
            co_await pause.async_wait(as_result);
        }
        context.stop();
    }

    tcp::acceptor acceptor{context};
};

http_server::http_server(http_limits limits, http_handler& handler)
    : state_(std::make_unique<state>(limits, handler))
{
}

http_server::~http_server() = default;

result<std::uint16_t> http_server::listen(endpoint const& address)
{
    auto& acceptor = state_->acceptor;
    beast::error_code failure;
    auto const ip = asio::ip::make_address(address.address, failure);
    tcp::endpoint const local(ip, address.port);
    if (!failure)
        acceptor.open(local.protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(local, failure);
    if (!failure)
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return error{error_code::unavailable, "http.listen",
                     address.address + ":" + std::to_string(address.port),
                     failure.message()};
    asio::co_spawn(state_->context, state_->accept(), asio::detached);
    return acceptor.local_endpoint().port();
}

void http_server::run()
{
    state_->context.run();
}

void http_server::post(std::function<void()> work)
{
    asio::post(state_->context, std::move(work));
}

void http_server::stop()
{
    post([this] { state_->shut_down(); });
}

std::size_t http_server::connections() const
{
    return state_->count;
}

std::size_t http_server::busy_connections() const
{
    return state_->busy;
}

} // namespace carawayturn
