#include "transport/entry/caller_session.hpp"

#include "transport/entry/boot_clock.hpp"
#include "transport/entry/caller_session_detail.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <array>

namespace carawayturn::entry
{

namespace
{

/// The connection is closed if the caller acknowledges none of the written bytes for this
/// long or, with nothing left to acknowledge, answers no keep-alive probe for this long.
/// A whole write may take longer.
constexpr duration progress_timeout = std::chrono::seconds(10);
/// How long, and for how many bytes, input is read and discarded after an answer that
/// ends the connection. Closing with unread input would reset the connection, and the
/// answer could be lost. The time is extended, up to progress_timeout, while the caller
/// has not acknowledged the whole answer.
constexpr duration discard_time = std::chrono::seconds(1);
constexpr std::size_t discard_limit = std::size_t{64} << 20U;
constexpr std::size_t discard_piece = std::size_t{16} * 1024;
/// Accepting is tried again after this time if the callers' share of connections is used
/// up and none may be closed, or if no file descriptor is free.
constexpr duration accept_retry = std::chrono::milliseconds(20);

/// Returns whether the status allows a body, if the request is no HEAD.
bool may_have_body(http::response_header<> const& head)
{
    return head.result_int() != 204 && head.result_int() != 304;
}

/// Closes the connection if one write to the caller makes no progress for
/// progress_timeout. Sets no deadline for the whole write, nor for the time until the
/// next one.
class guarded_write
{
public:
    explicit guarded_write(deadline_socket& socket) : socket_(socket)
    {
        socket_.set_deadline(time_point::max());
        socket_.begin_write(boot_now(), progress_timeout);
    }
    guarded_write(guarded_write const&) = delete;
    guarded_write& operator=(guarded_write const&) = delete;
    ~guarded_write() { socket_.end_write(); }

private:
    deadline_socket& socket_;
};

} // namespace

void caller_session::release_body(http::request<http::string_body>& request)
{
    // Assigning an empty string would keep the memory.
    std::string().swap(request.body());
    if (memory_)
        static_cast<void>(memory_->body.resize(0));
}

task<bool> caller_session::refuse(http::request<http::string_body>& request,
                                  refusal_reason reason)
{
    enter(caller_stage::serving);
    keep_alive_ = false;
    head_request_ = request.method() == http::verb::head;
    release_body(request);
    request_flow flow(services_, request, *this, boot_now());
    co_await flow.refuse_unserved(reason);
    co_await discard_rest();
    co_return false;
}

task<bool> caller_session::reject(unsigned status, std::string_view fault)
{
    enter(caller_stage::serving);
    keep_alive_ = false;
    http::response_header<> head;
    head.result(status);
    services_.metrics.count("malformed_total");
    services_.log.write(entry_event::request_malformed,
                        {{"status", std::uint64_t{status}}, {"fault", fault}});
    co_await write(std::move(head), {});
    co_await discard_rest();
    co_return false;
}

task<void> caller_session::discard_rest()
{
    enter(caller_stage::closing);
    closing_since_ = boot_now();
    boost::system::error_code failure;
    socket_->socket().shutdown(tcp_socket::shutdown_send, failure);
    auto const now = boot_now();
    socket_->set_soft_deadline(now + discard_time, now + progress_timeout);
    // What is read here is never used, so all connections share the memory.
    static std::array<char, discard_piece> piece;
    std::size_t discarded = 0;
    while (!failure && discarded < discard_limit)
    {
        auto const [ended, size] =
            co_await socket_->socket().async_read_some(asio::buffer(piece), use_task);
        failure = ended;
        discarded += size;
    }
}

void caller_session::stop(stop_scope scope)
{
    if (stage() == caller_stage::reading)
    {
        stopping_ = true;
        boost::system::error_code ignored;
        socket_->socket().cancel(ignored);
    }
    else if (auto const flow = flow_.lock();
             flow && (scope == stop_scope::all || !flow->answer_begun()))
        flow->stop();
}

void caller_session::set_persistence(http::response_header<>& head)
{
    if (services_.draining())
        keep_alive_ = false;
    if (!keep_alive_)
        head.set(http::field::connection, "close");
}

task<bool> caller_session::write(http::response_header<> head, std::string body)
{
    set_persistence(head);
    http::response<http::string_body> answer(std::move(head), std::move(body));
    answer.version(11);
    if (may_have_body(answer))
        answer.content_length(answer.body().size());
    if (head_request_)
        answer.body().clear();
    guarded_write const guard(*socket_);
    answering_since_ = boot_now();
    auto const [failure, size] =
        co_await http::async_write(socket_->socket(), answer, use_task);
    answering_since_.reset();
    co_return !failure;
}

task<bool> caller_session::begin(http::response_header<> head,
                                 std::optional<std::uint64_t> length)
{
    // Even the last chunk of an answer without a body would be taken for the beginning of
    // the next answer.
    chunked_ = !length && !http_1_0_ && !head_request_ && may_have_body(head);
    // Without chunked encoding and without a length, only closing the connection marks
    // the end of the answer.
    if (!length && http_1_0_)
        keep_alive_ = false;
    set_persistence(head);
    http::response<http::empty_body> answer(std::move(head));
    answer.version(11);
    if (length)
        answer.content_length(*length);
    else
        answer.chunked(chunked_);
    // Where closing the connection marks the end, an incomplete answer must not look
    // complete, even if the process is killed: until end() is called, closing resets the
    // connection.
    if (!length && http_1_0_)
        socket_->reset_on_close();
    http::response_serializer<http::empty_body> serializer(answer);
    guarded_write const guard(*socket_);
    auto const [failure, size] =
        co_await http::async_write_header(socket_->socket(), serializer, use_task);
    co_return !failure;
}

task<bool> caller_session::append(std::string_view bytes)
{
    // An empty chunk would mark the end of the answer.
    if (bytes.empty())
        co_return true;
    guarded_write const guard(*socket_);
    auto const piece = asio::buffer(bytes.data(), bytes.size());
    if (!chunked_)
    {
        auto const [failure, size] =
            co_await asio::async_write(socket_->socket(), piece, use_task);
        co_return !failure;
    }
    auto const [failure, size] =
        co_await asio::async_write(socket_->socket(), http::make_chunk(piece), use_task);
    co_return !failure;
}

task<bool> caller_session::end()
{
    if (!chunked_)
    {
        socket_->clear_reset_on_close();
        co_return true;
    }
    guarded_write const guard(*socket_);
    auto const [failure, size] =
        co_await asio::async_write(socket_->socket(), http::make_chunk_last(), use_task);
    co_return !failure;
}

task<void> caller_session::watch_caller(std::shared_ptr<deadline_socket> socket,
                                        std::weak_ptr<request_flow> flow)
{
    auto const [failure] =
        co_await socket->socket().async_wait(tcp_socket::wait_read, use_task);
    auto const active_flow = flow.lock();
    if (!active_flow)
        co_return;
    char byte = 0;
    bool gone = static_cast<bool>(failure) || !socket->socket().is_open();
    if (!gone)
        gone = ::recv(socket->socket().native_handle(), &byte, 1,
                      MSG_PEEK | MSG_DONTWAIT) <= 0;
    // Input may also be the caller's next request, which does not end the current one.
    if (gone)
        active_flow->abandon();
}

task<bool> caller_session::serve(http::request<http::string_body>& request,
                                 time_point arrival)
{
    keep_alive_ = request.keep_alive();
    head_request_ = request.method() == http::verb::head;
    http_1_0_ = request.version() < 11;
    socket_->set_deadline(time_point::max());
    auto const flow = std::make_shared<request_flow>(services_, request, *this, arrival);
    flow_ = flow;
    if (input_.empty())
        services_.tasks.run("watch caller", peer_, watch_caller(socket_, flow));
    bool const usable = co_await flow->run();
    // Without a reset, an incomplete answer to an HTTP/1.0 caller would look complete.
    if (!usable && http_1_0_)
        socket_->reset();
    // Closing with unread input would reset the connection, and the answer could be lost.
    if (usable && !keep_alive_)
        co_await discard_rest();
    co_return usable&& keep_alive_;
}

task<void> caller_session::run()
{
    for (;;)
    {
        bool const readable = co_await wait_for_request();
        if (!readable)
            co_return;
        enter(caller_stage::reading);
        first_byte_ = boot_now();
        head_request_ = false;
        http_1_0_ = false;
        parser in;
        memory_.emplace(services_);
        bool const whole = co_await read_request(in);
        if (!whole)
            co_return;
        enter(caller_stage::serving);
        auto request = in.release();
        if (services_.draining() &&
            !services_.shutdown->may_begin(first_byte_, boot_now()))
        {
            static_cast<void>(co_await refuse(request, refusal_reason::draining));
            co_return;
        }
        bool const usable = co_await serve(request, boot_now());
        if (!usable)
            co_return;
        memory_.reset();
        idle_since_ = boot_now();
        enter(caller_stage::idle);
    }
}

namespace
{

/// Serves one caller's connection until it ends.
task<void> serve_caller(std::unique_ptr<caller_session> session)
{
    co_await session->run();
}

void begin_session(entry_services& services, tcp_socket socket)
{
    set_slow_reader_options(socket, progress_timeout);
    auto const peer = remote_address(socket);
    services.tasks.run("serve caller", peer,
                       serve_caller(std::make_unique<caller_session>(
                           services, std::move(socket), peer)));
}

/// Returns whether the callers' share has room for another connection; closes one for it
/// if necessary.
bool make_room(entry_services& services)
{
    if (!services.callers.full())
        return true;
    auto const action = services.callers.replace_one(boot_now());
    services.note_limit(client_share::connections, action.value_or(limit_action::waited));
    return action.has_value();
}

} // namespace

task<void> accept_callers(entry_services& services, tcp_acceptor& acceptor)
{
    for (;;)
    {
        if (services.callers.full())
        {
            // A connection is closed only if another one waits.
            auto const [waiting_failure] =
                co_await acceptor.async_wait(tcp_acceptor::wait_read, use_task);
            if (!acceptor.is_open())
                co_return;
            if (waiting_failure || !make_room(services))
            {
                co_await services.changes.wait(accept_retry);
                continue;
            }
        }
        auto [failure, socket] = co_await acceptor.async_accept(use_task);
        if (!failure)
        {
            begin_session(services, std::move(socket));
            continue;
        }
        if (!acceptor.is_open())
            co_return;
        // No file descriptor was free, or the connection was aborted before it was
        // accepted. The next accept may succeed.
        services.metrics.count("accept_failures_total");
        co_await services.changes.wait(accept_retry);
    }
}

bool accept_pending_callers(entry_services& services, tcp_acceptor& acceptor)
{
    boost::system::error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure)
    {
        if (!make_room(services))
            return false;
        tcp_socket socket(services.io);
        acceptor.accept(socket, failure);
        if (!failure)
            begin_session(services, std::move(socket));
    }
    return failure == asio::error::would_block || failure == asio::error::try_again;
}

} // namespace carawayturn::entry
