#pragma once

#include "state/hash.hpp"
#include "transport/pending_answer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <memory>
#include <set>
#include <tuple>

// Internal to http_server.cpp, the only file that pays for compiling Beast's server side.
namespace carawayturn::http_detail
{

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

/// Bytes of following, pipelined requests that are read while one is answered.
inline constexpr std::size_t max_pipelined_bytes = std::size_t{64} << 10U;

/// Size of the read that waits for a request, and of those that read ahead.
inline constexpr std::size_t first_read_bytes = std::size_t{4} << 10U;

inline std::optional<digest> take_key(http::fields& fields)
{
    auto const found = fields.find(http::field::authorization);
    std::optional<digest> key;
    if (found != fields.end())
    {
        std::string_view text(found->value().data(), found->value().size());
        constexpr std::string_view scheme = "Bearer ";
        if (equal_ignoring_case(text.substr(0, scheme.size()), scheme))
            text.remove_prefix(scheme.size());
        key = sha256(text);
    }
    fields.erase(http::field::authorization);
    fields.erase(http::field::proxy_authorization);
    return key;
}

inline http_headers copy_headers(http::fields const& fields)
{
    http_headers headers;
    for (auto const& field : fields)
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return headers;
}

template <class Body>
http::response<Body> make_response(http_answer_head const& head, unsigned version,
                                   bool keep_alive)
{
    http::response<Body> response;
    response.version(version);
    response.result(head.status);
    for (auto const& header : head.headers)
        response.insert(header.name, header.value);
    response.keep_alive(keep_alive);
    return response;
}

class connection;

struct shared_parts
{
    shared_parts(http_limits set, http_handler& target) : limits(set), handler(target) {}

    http_limits limits;
    http_handler& handler;
    std::set<connection*> open;
    std::atomic<std::size_t> count{0};
    /// See http_server::busy_connections().
    std::size_t busy = 0;
    bool stopping = false;
    /// Last, so that connections that it still holds find the other members at its end.
    asio::io_context context{1};
};

/// Serves one caller's connection, one request after the other.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(shared_parts& parts, tcp::socket socket)
        : parts_(parts), stream_(std::move(socket)), watch_ended_(parts.context)
    {
        parts_.open.insert(this);
        parts_.count = parts_.open.size();
    }

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    ~connection()
    {
        parts_.open.erase(this);
        parts_.count = parts_.open.size();
    }

    asio::awaitable<void> run()
    {
        auto const self = shared_from_this();
        bool const refused = parts_.open.size() > parts_.limits.max_connections;
        if (refused)
            co_await refuse(503, "too many connections");
        while (!refused && !parts_.stopping)
        {
            bool const begun = co_await wait_for_request();
            if (!begun)
                break;
            auto request = co_await read_request();
            if (!request)
                break;
            bool const open = co_await answer(std::move(*request));
            if (!open)
                break;
            // Bytes in the buffer are the beginning of the next request.
            set_busy(buffer_.size() > 0);
        }
        close();
        set_busy(false);
    }

    /// Closes the connection now or, if a request is open, after its answer. A request
    /// that is still being read is refused.
    void close_when_answered()
    {
        if (!busy_)
            close();
        else if (reading_)
            stream_.cancel();
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream_.socket().close(ignored);
    }

private:
    using parser = http::request_parser<http::string_body>;

    void set_busy(bool busy)
    {
        if (busy_ == busy)
            return;
        busy_ = busy;
        parts_.busy = busy ? parts_.busy + 1 : parts_.busy - 1;
        parts_.handler.on_busy_changed(parts_.busy);
    }

    /// Waits for the first bytes of the next request; returns whether they arrived. Sets
    /// the timeout for the whole request.
    asio::awaitable<bool> wait_for_request()
    {
        stream_.expires_after(parts_.limits.read_timeout);
        if (buffer_.size() == 0)
        {
            auto const [failure, size] = co_await stream_.async_read_some(
                buffer_.prepare(first_read_bytes), as_result);
            if (failure)
                co_return false;
            buffer_.commit(size);
        }
        set_busy(true);
        co_return true;
    }

    asio::awaitable<std::optional<http_request>> read_request()
    {
        parser input;
        input.header_limit(parts_.limits.max_header_bytes);
        input.body_limit(parts_.limits.max_body_bytes);
        auto const head_failure = co_await read_head(input);
        if (head_failure)
        {
            co_await refuse_unread(head_failure);
            co_return std::nullopt;
        }
        auto key = take_key(input.get().base());
        auto const failure = co_await read_body(input);
        if (failure)
        {
            co_await refuse_unread(failure);
            co_return std::nullopt;
        }
        auto message = input.release();
        version_ = message.version();
        keep_alive_ = message.keep_alive();
        http_request request{std::string(message.method_string()),
                             std::string(message.target()), copy_headers(message.base()),
                             std::move(message.body()), std::move(key)};
        co_return request;
    }

    asio::awaitable<beast::error_code> read_head(parser& input)
    {
        reading_ = true;
        auto const [failure, size] =
            co_await http::async_read_header(stream_, buffer_, input, as_result);
        reading_ = false;
        co_return failure;
    }

    asio::awaitable<beast::error_code> read_body(parser& input)
    {
        co_await invite_body(input);
        if (parts_.stopping)
            co_return asio::error::operation_aborted;
        reading_ = true;
        auto const [failure, size] =
            co_await http::async_read(stream_, buffer_, input, as_result);
        reading_ = false;
        co_return failure;
    }

    asio::awaitable<void> invite_body(parser const& input)
    {
        if (!beast::iequals(input.get()[http::field::expect], "100-continue"))
            co_return;
        static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream_, asio::buffer(text), as_result);
    }

    asio::awaitable<void> refuse_unread(beast::error_code failure)
    {
        if (failure == asio::error::operation_aborted && parts_.stopping)
            co_await refuse(503, "the instance is shutting down");
        else if (failure == http::error::header_limit)
            co_await refuse(431, "the request's header is larger than " +
                                     std::to_string(parts_.limits.max_header_bytes) +
                                     " bytes");
        else if (failure == http::error::body_limit)
            co_await refuse(413, "the request's body is larger than " +
                                     std::to_string(parts_.limits.max_body_bytes) +
                                     " bytes");
        else if (failure.category() ==
                     make_error_code(http::error::bad_method).category() &&
                 failure != http::error::end_of_stream &&
                 failure != http::error::partial_message)
            co_await refuse(400, "the request is not valid HTTP: " + failure.message());
    }

    /// Answers by the server itself and closes the connection afterwards. The rest of
    /// what the caller sends is read for a moment, because closing with unread data
    /// resets the connection and the caller would lose the answer.
    asio::awaitable<void> refuse(unsigned status, std::string reason)
    {
        http_answer_head head{status, {{"Content-Type", "application/json"}}};
        if (status == 503)
            head.headers.push_back({"Retry-After", "1"});
        auto response = make_response<http::string_body>(head, 11, false);
        response.body() = parts_.handler.error_body(status, reason);
        response.prepare_payload();
        stream_.expires_after(parts_.limits.write_timeout);
        co_await http::async_write(stream_, response, as_result);
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        co_await discard_input();
    }

    asio::awaitable<void> discard_input()
    {
        constexpr auto patience = std::chrono::seconds(2);
        std::string scrap(std::size_t{16} << 10U, '\0');
        stream_.expires_after(patience);
        std::size_t left = std::size_t{64} << 20U;
        while (left > 0)
        {
            auto const [failure, size] =
                co_await stream_.async_read_some(asio::buffer(scrap), as_result);
            if (failure)
                break;
            left -= std::min(left, size);
        }
    }

    /// Returns whether the connection can be used again.
    asio::awaitable<bool> answer(http_request request)
    {
        bool const head_only = request.method == "HEAD";
        answer_ = std::make_shared<pending_answer>(parts_.context.get_executor(),
                                                   std::move(request));
        stream_.expires_never();
        watch();
        parts_.handler.on_request(answer_);
        while (!answer_->head_ && !answer_->gone_)
            co_await answer_->wait_for_change();
        bool sent = !answer_->gone_;
        keep_alive_ = keep_alive_ && !answer_->close_after_;
        if (sent && answer_->whole_)
            sent = co_await write_whole(head_only);
        else if (sent)
            sent = co_await write_stream();
        if (!sent)
            report_gone();
        complete_ = true;
        co_await end_watch();
        answer_.reset();
        co_return sent&& keep_alive_;
    }

    asio::awaitable<bool> write_whole(bool head_only)
    {
        auto response =
            make_response<http::string_body>(*answer_->head_, version_, keep_alive_);
        response.body() = std::move(answer_->body_);
        response.prepare_payload();
        http::response_serializer<http::string_body> output(response);
        arm_write_timeout();
        beast::error_code failure;
        if (head_only)
            std::tie(failure, std::ignore) =
                co_await http::async_write_header(stream_, output, as_result);
        else
            std::tie(failure, std::ignore) =
                co_await http::async_write(stream_, output, as_result);
        co_return finish_write(failure);
    }

    asio::awaitable<bool> write_stream()
    {
        bool const chunked = version_ >= 11;
        keep_alive_ = keep_alive_ && chunked;
        auto response =
            make_response<http::empty_body>(*answer_->head_, version_, keep_alive_);
        response.chunked(chunked);
        http::response_serializer<http::empty_body> output(response);
        arm_write_timeout();
        auto const [failure, size] =
            co_await http::async_write_header(stream_, output, as_result);
        if (!finish_write(failure))
            co_return false;
        bool const open = co_await write_pieces(chunked);
        if (!open)
            co_return false;
        if (chunked)
        {
            arm_write_timeout();
            auto const [last_failure, last_size] =
                co_await asio::async_write(stream_, http::make_chunk_last(), as_result);
            co_return finish_write(last_failure);
        }
        co_return true;
    }

    asio::awaitable<bool> write_pieces(bool chunked)
    {
        auto const current = answer_;
        while (!current->gone_)
        {
            if (current->pieces_.empty())
            {
                if (current->finished_)
                    co_return true;
                co_await current->wait_for_change();
                continue;
            }
            piece const next = std::move(current->pieces_.front());
            current->pieces_.pop_front();
            bool const written = co_await write_piece(next.bytes, chunked);
            next.written(written);
            if (!written)
                co_return false;
        }
        co_return false;
    }

    asio::awaitable<bool> write_piece(std::string const& bytes, bool chunked)
    {
        if (bytes.empty())
            co_return true;
        arm_write_timeout();
        beast::error_code failure;
        if (chunked)
            std::tie(failure, std::ignore) = co_await asio::async_write(
                stream_, http::make_chunk(asio::buffer(bytes)), as_result);
        else
            std::tie(failure, std::ignore) =
                co_await asio::async_write(stream_, asio::buffer(bytes), as_result);
        co_return finish_write(failure);
    }

    /// A timer of its own, because tcp_stream's also covers the pending read of watch().
    void arm_write_timeout()
    {
        writing_ = true;
        write_timer_.expires_after(parts_.limits.write_timeout);
        write_timer_.async_wait(
            [weak = weak_from_this()](beast::error_code failure)
            {
                auto const self = weak.lock();
                if (self && !failure && self->writing_)
                    self->close();
            });
    }

    /// Ends the timeout of one write; returns whether the write succeeded.
    bool finish_write(beast::error_code failure)
    {
        writing_ = false;
        write_timer_.cancel();
        return !failure;
    }

    /// Reads ahead while the request is answered, so that a caller that hangs up is
    /// noticed at once. Bytes that arrive belong to the next request.
    void watch()
    {
        complete_ = false;
        watching_ = true;
        stream_.socket().async_read_some(
            buffer_.prepare(first_read_bytes),
            [self = shared_from_this()](beast::error_code failure, std::size_t size)
            { self->watched(failure, size); });
    }

    void watched(beast::error_code failure, std::size_t size)
    {
        watching_ = false;
        buffer_.commit(size);
        if (complete_)
            watch_ended_.cancel();
        else if (failure)
            report_gone();
        else if (buffer_.size() < max_pipelined_bytes)
            watch();
    }

    void report_gone()
    {
        if (answer_ == nullptr || answer_->gone_)
            return;
        answer_->abandon();
        close();
        parts_.handler.on_hangup(*answer_);
    }

    asio::awaitable<void> end_watch()
    {
        write_timer_.cancel();
        while (watching_)
        {
            watch_ended_.expires_at(asio::steady_timer::time_point::max());
            beast::error_code ignored;
            stream_.socket().cancel(ignored);
            co_await watch_ended_.async_wait(as_result);
        }
    }

    shared_parts& parts_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    asio::steady_timer watch_ended_;
    asio::steady_timer write_timer_{parts_.context};
    std::shared_ptr<pending_answer> answer_;
    unsigned version_ = 11;
    bool keep_alive_ = true;
    bool busy_ = false;
    /// While a read of a request is pending.
    bool reading_ = false;
    bool watching_ = false;
    bool writing_ = false;
    bool complete_ = false;
};

} // namespace carawayturn::http_detail
