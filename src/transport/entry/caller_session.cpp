#include "transport/entry/caller_session.hpp"

#include "protocol/entry/request_framing.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
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
/// Maximum number of bytes read but not yet parsed. Bounds chunk extensions and trailers,
/// for which the parser has no limit.
constexpr std::size_t request_buffer_limit = std::size_t{256} * 1024;
/// How long, and for how many bytes, input is read and discarded after an answer that
/// ends the connection. Closing with unread input would reset the connection, and the
/// answer could be lost. The time is extended, up to progress_timeout, while the caller
/// has not acknowledged the whole answer.
constexpr duration discard_time = std::chrono::seconds(1);
constexpr std::size_t discard_limit = std::size_t{64} << 20U;
constexpr std::size_t discard_piece = std::size_t{16} * 1024;
/// Limits until the first configuration is known.
constexpr caller_limits default_limits{};

/// Whether reading failed because of malformed input rather than a closed connection.
bool is_parse_error(boost::system::error_code failure)
{
    return failure.category() == make_error_code(http::error::bad_method).category() &&
           failure != http::error::end_of_stream &&
           failure != http::error::partial_message;
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

/// One caller's connection: reads its requests and writes the answers.
class caller_session final : public answer_writer, public caller_connection
{
public:
    caller_session(entry_services& services, tcp_socket socket, std::string peer)
        : caller_connection(services.callers), services_(services),
          peer_(std::move(peer)), socket_(std::make_shared<deadline_socket>(
                                      services.deadlines, std::move(socket))),
          buffer_(request_buffer_limit)
    {
    }

    /// Closes the socket, so that watch_caller(), which shares it, ends too.
    ~caller_session() override { socket_->close(); }

    task<void> run();

    task<bool> write(http::response_header<> head, std::string body) override;
    task<bool> begin(http::response_header<> head,
                     std::optional<std::uint64_t> length) override;
    task<bool> append(std::string_view bytes) override;
    task<bool> end() override;
    bool timed_out() const override { return socket_->expired(); }

    time_point idle_since() const override { return idle_since_; }
    bool no_pending_input() override { return open_and_idle(socket_->socket()); }
    void close() override { socket_->close(); }
    void stop(stop_scope scope) override;

private:
    using parser = http::request_parser<http::string_body>;

    [[nodiscard]] caller_limits limits() const;
    [[nodiscard]] task<bool> wait_for_request();
    [[nodiscard]] task<bool> read_request(parser& in, byte_reservation& reservation);
    [[nodiscard]] task<bool> read_body(parser& in, byte_reservation& reservation);
    /// Refuses a request without serving it. The request's body need not have been read.
    [[nodiscard]] task<bool> refuse(http::request<http::string_body>& request,
                                    refusal_reason reason);
    /// Ends a request that could not be read completely: refuses it if the instance shuts
    /// down, answers malformed input with status 400, or returns without an answer.
    [[nodiscard]] task<bool> handle_incomplete_request(parser& in,
                                                       boost::system::error_code failure);
    task<void> discard_rest();
    /// Answers a malformed or oversized request with this status and ends the connection.
    /// @param fault name of the framing fault, for the log.
    [[nodiscard]] task<bool> reject(unsigned status, std::string_view fault = {});
    [[nodiscard]] task<bool> serve(http::request<http::string_body>& request,
                                   time_point arrival);
    void set_persistence(http::response_header<>& head);
    static task<void> watch_caller(std::shared_ptr<deadline_socket> socket,
                                   std::weak_ptr<request_flow> flow);

    entry_services& services_;
    std::string peer_;
    std::shared_ptr<deadline_socket> socket_;
    boost::beast::flat_buffer buffer_;
    /// The request that is being served.
    std::weak_ptr<request_flow> flow_;
    /// When reading of the current request began. A pipelined request's first byte may
    /// have arrived earlier.
    time_point first_byte_{};
    time_point idle_since_ = boot_now();
    /// The instance shuts down, so a request that is being read is refused.
    bool stopping_ = false;
    bool keep_alive_ = true;
    bool head_request_ = false;
    /// The caller uses HTTP/1.0, which has no chunked transfer encoding.
    bool http_1_0_ = false;
    /// The current answer is sent with chunked transfer encoding.
    bool chunked_ = false;
};

caller_limits caller_session::limits() const
{
    auto const& config = services_.authority.current();
    return config ? config->limits : default_limits;
}

task<bool> caller_session::wait_for_request()
{
    if (buffer_.size() > 0)
        co_return true;
    // An idle connection uses no buffer memory.
    buffer_.shrink_to_fit();
    socket_->set_deadline(boot_now() + limits().idle_timeout);
    auto const [failure] =
        co_await socket_->socket().async_wait(tcp_socket::wait_read, use_task);
    co_return !failure;
}

task<bool> caller_session::read_request(parser& in, byte_reservation& reservation)
{
    auto const bounds = limits();
    in.header_limit(bounds.header_bytes);
    in.body_limit(bounds.body_bytes);
    socket_->set_deadline(boot_now() + bounds.header_timeout);
    auto const [failure, size] =
        co_await http::async_read_header(socket_->socket(), buffer_, in, use_task);
    if (failure == http::error::header_limit)
        co_return co_await reject(431);
    if (failure == http::error::body_limit)
        co_return co_await reject(413);
    if (failure)
        co_return co_await handle_incomplete_request(in, failure);
    auto const fault = find_framing_fault(in.get());
    if (fault != framing_fault::none)
        co_return co_await reject(status_of(fault), name_of(fault));
    auto const announced = in.content_length().value_or(0);
    // The body exceeds the whole budget for bodies, so a retry could not succeed either.
    if (announced > services_.bodies.capacity())
        co_return co_await reject(413);
    if (!reservation.grow_to(announced))
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
    socket_->set_deadline(boot_now() + bounds.idle_timeout);
    co_return co_await read_body(in, reservation);
}

task<bool> caller_session::read_body(parser& in, byte_reservation& reservation)
{
    in.eager(true);
    while (!in.is_done())
    {
        if (stopping_)
            co_return co_await handle_incomplete_request(in,
                                                         asio::error::operation_aborted);
        auto const [read_failure, size] =
            co_await http::async_read_some(socket_->socket(), buffer_, in, use_task);
        if (read_failure == http::error::body_limit)
            co_return co_await reject(413);
        if (read_failure)
            co_return co_await handle_incomplete_request(in, read_failure);
        if (!reservation.grow_to(in.get().body().size()))
            co_return co_await refuse(in.get(), refusal_reason::bodies_full);
    }
    co_return true;
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

task<bool> caller_session::refuse(http::request<http::string_body>& request,
                                  refusal_reason reason)
{
    enter(caller_stage::serving);
    keep_alive_ = false;
    head_request_ = request.method() == http::verb::head;
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
    boost::system::error_code failure;
    socket_->socket().shutdown(tcp_socket::shutdown_send, failure);
    auto const now = boot_now();
    socket_->set_soft_deadline(now + discard_time, now + progress_timeout);
    std::array<char, discard_piece> piece{};
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
    auto const status = answer.result_int();
    if (status != 204 && status != 304)
        answer.content_length(answer.body().size());
    if (head_request_)
        answer.body().clear();
    guarded_write const guard(*socket_);
    auto const [failure, size] =
        co_await http::async_write(socket_->socket(), answer, use_task);
    co_return !failure;
}

task<bool> caller_session::begin(http::response_header<> head,
                                 std::optional<std::uint64_t> length)
{
    chunked_ = !length && !http_1_0_;
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
    if (buffer_.size() == 0)
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
        byte_reservation reservation(services_.bodies);
        bool const whole = co_await read_request(in, reservation);
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
        idle_since_ = boot_now();
        enter(caller_stage::idle);
    }
}

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

} // namespace

task<void> accept_callers(entry_services& services, tcp_acceptor& acceptor)
{
    for (;;)
    {
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
        co_await services.changes.wait(std::chrono::milliseconds(20));
    }
}

bool accept_pending_callers(entry_services& services, tcp_acceptor& acceptor)
{
    boost::system::error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure)
    {
        tcp_socket socket(services.io);
        acceptor.accept(socket, failure);
        if (!failure)
            begin_session(services, std::move(socket));
    }
    return failure == asio::error::would_block || failure == asio::error::try_again;
}

} // namespace carawayturn::entry
