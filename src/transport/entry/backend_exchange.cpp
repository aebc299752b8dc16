#include "transport/entry/backend_exchange.hpp"

#include "protocol/entry/bounded_number.hpp"
#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace carawayturn::entry
{

namespace
{

/// Maximum length of the head of a server's answer, in bytes.
constexpr std::uint32_t answer_head_limit = 32 * 1024;
/// Maximum number of bytes read but not yet parsed. Bounds chunk extensions and trailers,
/// for which the parser has no limit.
constexpr std::size_t answer_buffer_limit = std::size_t{64} * 1024;
/// Request bodies longer than this are written while the answer is read.
constexpr std::size_t inline_body_bytes = std::size_t{16} * 1024;
/// Maximum number of late answers to other requests that are skipped before the exchange
/// fails.
constexpr int max_skipped_answers = 3;
/// Maximum length of the body of a skipped answer, in bytes.
constexpr std::size_t max_skipped_bytes = std::size_t{256} * 1024;
/// How long an idle connection is kept if the server sends no Keep-Alive timeout.
constexpr duration default_keep_alive = std::chrono::seconds(4);
/// An idle connection is closed this long before the server's Keep-Alive timeout ends.
constexpr duration keep_alive_margin = std::chrono::milliseconds(500);

duration keep_alive_time(http::response_header<> const& head)
{
    auto const found = head.find("Keep-Alive");
    if (found == head.end())
        return default_keep_alive;
    constexpr std::string_view parameter = "timeout=";
    std::string_view const text(found->value().data(), found->value().size());
    auto const begin = text.find(parameter);
    if (begin == std::string_view::npos)
        return default_keep_alive;
    auto const value = text.substr(begin + parameter.size());
    auto const seconds =
        parse_bounded(value.substr(0, value.find_first_of(", ")), seconds_range);
    return seconds ? from_seconds(*seconds) - keep_alive_margin : default_keep_alive;
}

/// Whether the other end or the network ended the connection.
bool ends_connection(boost::system::error_code failure)
{
    static std::array<boost::system::error_code, 6> const ends{
        http::error::end_of_stream,
        http::error::partial_message,
        asio::error::eof,
        asio::error::connection_reset,
        asio::error::connection_aborted,
        asio::error::broken_pipe};
    return std::find(ends.begin(), ends.end(), failure) != ends.end();
}

/// Whether an error shows that the connection broke before the other end had ended it in
/// order. A write fails with a broken pipe if the other end had.
bool breaks_connection(boost::system::error_code failure)
{
    return failure && failure != asio::error::broken_pipe;
}

} // namespace

std::string_view name_of(body_framing framing)
{
    static constexpr std::array<std::string_view, 4> names{"", "length", "chunks",
                                                           "connection"};
    return names.at(static_cast<std::size_t>(framing));
}

/// A request that is being written, with the data that the write operation refers to.
struct backend_exchange::upload
{
    http::request<http::span_body<char const>> request;
    std::string body;
    bool finished = false;
    /// Why writing failed, if it did.
    boost::system::error_code failure;
};

backend_exchange::backend_exchange(std::shared_ptr<deadline_socket> socket,
                                   std::string request_id)
    : socket_(std::move(socket)), request_id_(std::move(request_id)),
      buffer_(answer_buffer_limit)
{
    socket_->interrupt_read_at(time_point::max());
}

backend_exchange::~backend_exchange()
{
    // A long body may still be being written, and the write keeps the socket alive.
    if (socket_)
        socket_->close();
}

task<bool> backend_exchange::send(http::request_header<> head, std::string_view body)
{
    upload_ = std::make_shared<upload>();
    head_request_ = head.method() == http::verb::head;
    bool const has_length = head.find(http::field::content_length) != head.end();
    upload_->request.base() = std::move(head);
    auto const method = upload_->request.method();
    if (!body.empty() || has_length || method == http::verb::post ||
        method == http::verb::put)
        upload_->request.content_length(body.size());
    bool const inline_body = body.size() <= inline_body_bytes;
    if (!inline_body)
        upload_->body = body;
    auto const bytes = inline_body ? body : std::string_view(upload_->body);
    upload_->request.body() = {bytes.data(), bytes.size()};
    if (inline_body)
    {
        auto const [failure, size] =
            co_await http::async_write(socket_->socket(), upload_->request, use_task);
        upload_->finished = !failure;
        upload_->failure = failure;
        if (failure)
            note_failure(failure);
        co_return upload_->finished;
    }
    // A server may read a long body late. The deadline of the exchange still applies.
    socket_->allow_unread_bytes();
    auto write = [](std::shared_ptr<deadline_socket> socket,
                    std::shared_ptr<upload> data) -> task<void>
    {
        auto const [failure, size] =
            co_await http::async_write(socket->socket(), data->request, use_task);
        data->finished = !failure;
        data->failure = failure;
    };
    // If the write throws, closing the socket makes reading the answer fail too.
    asio::co_spawn(socket_->socket().get_executor(), write(socket_, upload_),
                   [socket = socket_](std::exception_ptr const& failure)
                   {
                       if (failure)
                           socket->close();
                   });
    co_return true;
}

void backend_exchange::start_parser()
{
    parser_.emplace();
    body_bytes_ = 0;
    parser_->header_limit(answer_head_limit);
    parser_->body_limit(boost::none);
    if (head_request_)
        parser_->skip(true);
}

task<bool> backend_exchange::skip_answer()
{
    std::size_t skipped = 0;
    // The answer is skipped as a whole, so its reads are not interrupted.
    auto const limit = std::exchange(idle_limit_, time_point::max());
    while (!parser_->is_done())
    {
        // Not awaited in the condition: see CONTRIBUTING.md on GCC bug 106188.
        auto const read = co_await read_body();
        if (read == read_outcome::failed)
            co_return false;
        skipped += piece_size_;
        if (skipped > max_skipped_bytes)
        {
            failure_ = "the body of an answer to another request exceeds the limit";
            co_return false;
        }
    }
    idle_limit_ = limit;
    co_return true;
}

task<read_outcome> backend_exchange::read_head()
{
    if (answer_found_)
        co_return read_outcome::more;
    while (skipped_answers_ <= max_skipped_answers)
    {
        if (!std::exchange(head_begun_, true))
            start_parser();
        socket_->interrupt_read_at(idle_limit_);
        auto const [failure, size] = co_await http::async_read_header(
            socket_->socket(), buffer_, *parser_,
            asio::bind_cancellation_slot(socket_->read_slot(), use_task));
        head_bytes_ += size;
        if (failure)
            co_return failed_read(failure);
        head_begun_ = false;
        head_read_at_ = boot_now();
        auto const head_bytes = std::exchange(head_bytes_, 0);
        if (is_informational(parser_->get().result_int()))
        {
            informational_bytes_ += head_bytes;
            if (informational_bytes_ <= max_informational_bytes)
                continue;
            failure_ = "the informational answers exceed the limit";
            co_return read_outcome::failed;
        }
        ++skipped_answers_;
        metadata_ = platform::decode_answer_metadata(parser_->get());
        answer_found_ = !metadata_.several_ids && metadata_.request_id == request_id_;
        if (answer_found_)
            co_return read_outcome::more;
        bool const whole = co_await skip_answer();
        if (!whole)
            co_return read_outcome::failed;
    }
    failure_ = "received only answers to other requests";
    co_return read_outcome::failed;
}

std::optional<std::uint64_t> backend_exchange::length() const
{
    auto const content_length = parser_->content_length();
    if (!content_length)
        return std::nullopt;
    return *content_length;
}

duration backend_exchange::time_since_head(time_point now) const
{
    return head_read() ? now - head_read_at_ : duration::zero();
}

void backend_exchange::note_content(time_point now)
{
    if (!content_begun_at_)
        content_begun_at_ = now;
}

duration backend_exchange::time_since_content(time_point now) const
{
    return content_begun_at_ ? now - *content_begun_at_ : duration::zero();
}

body_framing backend_exchange::framing() const
{
    if (!head_read())
        return body_framing::unknown;
    if (parser_->need_eof())
        return body_framing::connection;
    return parser_->chunked() ? body_framing::chunks : body_framing::length;
}

read_outcome backend_exchange::failed_read(boost::system::error_code failure)
{
    if (failure == asio::error::operation_aborted && socket_->read_interrupted() &&
        socket_->socket().is_open())
    {
        buffer_parsed_ = true;
        return read_outcome::idle;
    }
    note_failure(failure);
    return read_outcome::failed;
}

bool backend_exchange::has_unread_input()
{
    if (!buffer_parsed_ && buffer_.size() > 0)
        return true;
    char byte = 0;
    auto const received =
        ::recv(socket_->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        peek_failure_ = {errno, boost::system::system_category()};
    return received > 0;
}

void backend_exchange::note_failure(boost::system::error_code failure)
{
    connection_broken_ = !socket_->expired() && ends_connection(failure);
    malformed_ = !socket_->expired() && is_malformed_answer(failure);
    if (malformed_)
        failure_ = describe_malformed_answer(failure, buffer_.cdata());
    else
        failure_ = socket_->expired() ? "deadline passed" : failure.message();
}

task<read_outcome> backend_exchange::check_end()
{
    if (parser_->need_eof() && upload_)
    {
        // The kernel reports an error of the connection once, and then the end of the
        // input. The result of a write that was told waits in the event loop at most.
        if (!upload_->finished && !upload_->failure)
            co_await asio::post(socket_->socket().get_executor(), use_task);
        for (auto const& failure : {upload_->failure, peek_failure_})
            if (breaks_connection(failure))
                co_return failed_read(failure);
    }
    complete_ = true;
    co_return read_outcome::complete;
}

task<read_outcome> backend_exchange::read_body()
{
    piece_size_ = 0;
    if (parser_->is_done())
        co_return co_await check_end();
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    buffer_parsed_ = false;
    socket_->interrupt_read_at(idle_limit_);
    auto const [failure, size] = co_await http::async_read_some(
        socket_->socket(), buffer_, *parser_,
        asio::bind_cancellation_slot(socket_->read_slot(), use_task));
    piece_size_ = piece_.size() - body.size;
    body_bytes_ += piece_size_;
    if (failure && failure != http::error::need_buffer)
        co_return failed_read(failure);
    co_return read_outcome::more;
}

std::shared_ptr<deadline_socket> backend_exchange::take_connection(duration& keep_alive)
{
    bool const written = upload_ && upload_->finished;
    if (!complete_ || !written || !parser_->get().keep_alive() || buffer_.size() > 0 ||
        parser_->get().need_eof())
        return nullptr;
    keep_alive = keep_alive_time(parser_->get());
    if (keep_alive <= duration::zero())
        return nullptr;
    socket_->limit_unread_bytes();
    return std::move(socket_);
}

} // namespace carawayturn::entry
