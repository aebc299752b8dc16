#include "protocol/entry/request_framing.hpp"
#include "transport/entry/caller_session_detail.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>

// The part of caller_session that reads requests and keeps them to the shares of memory.
namespace carawayturn::entry
{

namespace
{

/// Maximum number of stalled requests that are closed so that one request finds memory.
constexpr int max_closed_for_memory = 16;
/// Limits until the first configuration is known.
constexpr caller_limits default_limits{};

/// Returns the memory that a body takes after this many bytes more: a body without a
/// length doubles its capacity when it is full.
std::uint64_t capacity_after(std::string const& body, std::size_t more)
{
    auto const size = body.size() + more;
    return size <= body.capacity() ? body.capacity()
                                   : std::max(size, 2 * body.capacity());
}

/// Whether reading failed because of malformed input rather than a closed connection.
bool is_parse_error(boost::system::error_code failure)
{
    return failure.category() == make_error_code(http::error::bad_method).category() &&
           failure != http::error::end_of_stream &&
           failure != http::error::partial_message;
}

} // namespace

caller_limits caller_session::limits() const
{
    auto const& config = services_.authority.current();
    return config ? config->limits : default_limits;
}

task<bool> caller_session::wait_for_request()
{
    if (!input_.empty())
        co_return true;
    input_.release_buffer();
    socket_->set_deadline(boot_now() + limits().idle_timeout);
    auto const [failure] =
        co_await socket_->socket().async_wait(tcp_socket::wait_read, use_task);
    co_return !failure;
}

std::optional<request_progress> caller_session::progress()
{
    switch (stage())
    {
    case caller_stage::idle:
        if (!no_pending_input())
            return std::nullopt;
        return request_progress{idle_since_, idle_since_, 0, false};
    case caller_stage::reading:
    {
        auto progress = input_.progress();
        progress.input_waits = !no_pending_input();
        return progress;
    }
    case caller_stage::serving:
        if (!answering_since_)
            return std::nullopt;
        return request_progress{*answering_since_, *answering_since_, 0, false};
    case caller_stage::closing:
        return request_progress{closing_since_, closing_since_, 0, false};
    }
    return std::nullopt;
}

bool caller_session::holds_memory() const
{
    return memory_ && (memory_->body.taken() > 0 || memory_->head.taken() > 0);
}

task<bool> caller_session::reserve(byte_reservation& reservation, std::uint64_t bytes,
                                   client_share share)
{
    for (int closed = 0; closed < max_closed_for_memory; ++closed)
    {
        if (reservation.grow_to(bytes))
            co_return true;
        if (!services_.callers.close_stalled(limits().header_timeout, boot_now()))
            break;
        services_.note_limit(share, limit_action::closed_unfinished);
        // The closed request releases its memory when its coroutine has ended.
        co_await asio::post(socket_->socket().get_executor(), use_task);
    }
    if (reservation.grow_to(bytes))
        co_return true;
    services_.note_limit(share, limit_action::refused);
    co_return false;
}

task<bool> caller_session::reserve_input(parser& in)
{
    auto const bytes = input_.memory();
    // More than the whole share, so that a retry could not succeed either.
    if (bytes > services_.heads.capacity() + free_head_bytes)
    {
        services_.note_limit(client_share::heads, limit_action::refused);
        co_return co_await reject(431);
    }
    bool const reserved = co_await reserve(memory_->head, bytes, client_share::heads);
    if (!reserved)
        co_return co_await refuse(in.get(), refusal_reason::heads_full);
    co_return true;
}

task<bool> caller_session::read_head(parser& in)
{
    auto const bounds = limits();
    in.header_limit(bounds.header_bytes);
    in.body_limit(bounds.body_bytes);
    input_.begin(first_byte_, bounds.header_bytes);
    socket_->set_deadline(first_byte_ + bounds.header_timeout);
    while (!in.is_header_done())
    {
        bool const reserved = co_await reserve_input(in);
        if (!reserved)
            co_return false;
        auto const failure = co_await input_.advance(in);
        if (failure || (stopping_ && !in.is_header_done()))
            co_return co_await end_unread_request(in, failure);
    }
    co_return true;
}

task<bool> caller_session::read_request(parser& in)
{
    bool const headed = co_await read_head(in);
    if (!headed)
        co_return false;
    auto const fault = find_framing_fault(in.get());
    if (fault != framing_fault::none)
        co_return co_await reject(status_of(fault), name_of(fault));
    auto const announced = in.content_length().value_or(0);
    // The body exceeds the whole budget for bodies, so a retry could not succeed either.
    if (announced > services_.bodies.capacity())
        co_return co_await reject(413);
    bool const fits = co_await reserve(memory_->body, announced, client_share::bodies);
    if (!fits)
        co_return co_await refuse(in.get(), refusal_reason::bodies_full);
    if (boost::beast::iequals(in.get()[http::field::expect], "100-continue"))
    {
        constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
        auto const [write_failure, written] = co_await asio::async_write(
            socket_->socket(), asio::buffer(continue_line.data(), continue_line.size()),
            use_task);
        if (write_failure)
            co_return co_await handle_incomplete_request(in, write_failure);
    }
    socket_->set_deadline(boot_now() + limits().idle_timeout);
    co_return co_await read_body(in);
}

task<bool> caller_session::read_body(parser& in)
{
    in.eager(true);
    while (!in.is_done())
    {
        if (stopping_)
            co_return co_await handle_incomplete_request(in,
                                                         asio::error::operation_aborted);
        auto const bytes = in.content_length().value_or(
            capacity_after(in.get().body(), input_.unparsed()));
        bool const fits = co_await reserve(memory_->body, bytes, client_share::bodies);
        if (!fits)
            co_return co_await refuse(in.get(), refusal_reason::bodies_full);
        auto const failure = co_await input_.advance(in);
        if (failure)
            co_return co_await end_unread_request(in, failure);
        if (input_.framing_exceeded(in))
        {
            services_.note_limit(client_share::framing, limit_action::refused);
            co_return co_await reject(400, "chunk_framing");
        }
        bool const reserved = co_await reserve_input(in);
        if (!reserved)
            co_return false;
    }
    co_return true;
}

task<bool> caller_session::end_unread_request(parser& in,
                                              boost::system::error_code failure)
{
    release_body(in.get());
    if (failure == http::error::header_limit)
        co_return co_await reject(431);
    if (failure == http::error::body_limit)
        co_return co_await reject(413);
    if (failure == http::error::buffer_overflow)
    {
        services_.note_limit(client_share::framing, limit_action::refused);
        co_return co_await reject(431, "chunk_framing");
    }
    co_return co_await handle_incomplete_request(in, failure);
}

task<bool> caller_session::handle_incomplete_request(parser& in,
                                                     boost::system::error_code failure)
{
    if (stopping_)
        co_return co_await refuse(in.get(), refusal_reason::draining);
    if (is_parse_error(failure))
        co_return co_await reject(400);
    co_return false;
}

} // namespace carawayturn::entry
