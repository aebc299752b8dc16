#pragma once

#include "transport/http_server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <optional>
#include <string>
#include <utility>

// Internal to http_server.cpp.
namespace carawayturn::http_detail
{

namespace asio = boost::asio;

inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

struct piece
{
    std::string bytes;
    written_callback written;
};

/// The answer as it is filled by the handler and emptied by the connection.
class pending_answer : public http_exchange
{
public:
    pending_answer(asio::any_io_executor const& executor, http_request request)
        : request_(std::move(request)), changed_(executor)
    {
        changed_.expires_at(asio::steady_timer::time_point::max());
    }

    [[nodiscard]] http_request const& request() const override { return request_; }

    void send(http_answer_head head, std::string body) override
    {
        if (head_)
            return;
        head_ = std::move(head);
        body_ = std::move(body);
        whole_ = true;
        finished_ = true;
        changed_.cancel();
    }

    void begin_stream(http_answer_head head) override
    {
        if (head_)
            return;
        head_ = std::move(head);
        changed_.cancel();
    }

    void write(std::string bytes, written_callback written) override
    {
        if (finished_ || gone_)
        {
            written(false);
            return;
        }
        pieces_.push_back({std::move(bytes), std::move(written)});
        changed_.cancel();
    }

    void end_stream() override
    {
        finished_ = true;
        changed_.cancel();
    }

    void close_after() override { close_after_ = true; }

    /// Drops what was not written; nothing is written from now on.
    void abandon()
    {
        gone_ = true;
        auto const dropped = std::exchange(pieces_, {});
        for (auto const& entry : dropped)
            entry.written(false);
        changed_.cancel();
    }

    [[nodiscard]] asio::awaitable<void> wait_for_change()
    {
        co_await changed_.async_wait(as_result);
    }

    http_request request_;
    std::optional<http_answer_head> head_;
    std::string body_;
    std::deque<piece> pieces_;
    bool whole_ = false;
    bool finished_ = false;
    bool gone_ = false;
    bool close_after_ = false;
    asio::steady_timer changed_;
};

} // namespace carawayturn::http_detail
