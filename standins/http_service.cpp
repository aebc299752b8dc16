#include "http_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <charconv>
#include <iostream>
#include <mutex>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>

namespace carawayturn::standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::uint64_t max_body_bytes = std::uint64_t{64} << 20U;

std::string lower_case(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    return lower;
}

http_request read_fields(http::request<http::string_body> message)
{
    http_request request;
    request.method = std::string(message.method_string());
    std::string const target(message.target());
    auto const query = target.find('?');
    request.path = target.substr(0, query);
    if (query != std::string::npos)
        request.query = target.substr(query + 1);
    for (auto const& field : message)
        request.headers[lower_case(field.name_string())] = std::string(field.value());
    request.body = std::move(message.body());
    return request;
}

} // namespace

/// A caller's connection. Only its own thread reads and writes; any thread may abort it.
class connection
{
public:
    explicit connection(tcp::socket socket) : socket_(std::move(socket))
    {
        boost::system::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
    }

    void serve(http_service::handler const& handle);
    void answer(unsigned status, std::string_view body, std::string_view content_type);
    void begin_events();
    bool send_chunk(std::string const& text);
    void end_events();
    [[nodiscard]] bool closed();
    [[nodiscard]] bool aborted() const { return aborted_; }
    void abort();

private:
    tcp::socket socket_;
    std::atomic<bool> aborted_ = false;
    bool keep_alive_ = true;
    bool answered_ = false;
};

void connection::serve(http_service::handler const& handle)
{
    boost::beast::flat_buffer buffer;
    while (keep_alive_ && !aborted_)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        boost::system::error_code failed;
        http::read(socket_, buffer, parser, failed);
        if (failed)
            return;
        keep_alive_ = parser.get().keep_alive();
        answered_ = false;
        exchange current(*this, read_fields(parser.release()));
        handle(current);
        if (!answered_)
            return;
    }
}

void connection::answer(unsigned status, std::string_view body,
                        std::string_view content_type)
{
    http::response<http::string_body> message(http::int_to_status(status), 11);
    message.set(http::field::content_type, content_type);
    message.keep_alive(keep_alive_);
    message.body() = std::string(body);
    message.prepare_payload();
    boost::system::error_code failed;
    http::write(socket_, message, failed);
    keep_alive_ = keep_alive_ && !failed;
    answered_ = true;
}

void connection::begin_events()
{
    http::response<http::empty_body> message(http::status::ok, 11);
    message.set(http::field::content_type, "text/event-stream");
    message.set(http::field::cache_control, "no-store");
    message.keep_alive(keep_alive_);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    boost::system::error_code failed;
    http::write_header(socket_, serializer, failed);
    if (failed)
        abort();
}

bool connection::send_chunk(std::string const& text)
{
    if (aborted_)
        return false;
    boost::system::error_code failed;
    asio::write(socket_, http::make_chunk(asio::buffer(text)), failed);
    if (failed)
        abort();
    return !failed;
}

void connection::end_events()
{
    if (aborted_)
        return;
    boost::system::error_code failed;
    asio::write(socket_, http::make_chunk_last(), failed);
    keep_alive_ = keep_alive_ && !failed;
    answered_ = true;
}

bool connection::closed()
{
    if (aborted_)
        return true;
    // POLLRDHUP tells of a closed peer even while pipelined bytes are unread.
    pollfd watched{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) > 0;
}

void connection::abort()
{
    aborted_ = true;
    ::shutdown(socket_.native_handle(), SHUT_RDWR);
}

std::string http_request::header(std::string const& name) const
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::int64_t http_request::number(std::string const& name, std::int64_t otherwise) const
{
    std::string const text = header(name);
    std::int64_t value = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

exchange::exchange(connection& owner, http_request request)
    : owner_(owner), request_(std::move(request))
{
}

void exchange::answer(unsigned status, std::string_view body,
                      std::string_view content_type)
{
    if (lost_)
        owner_.abort();
    else
        owner_.answer(status, body, content_type);
}

void exchange::begin_events()
{
    if (!lost_)
        owner_.begin_events();
}

bool exchange::send_event(std::string_view data)
{
    if (lost_)
        return !owner_.closed();
    return owner_.send_chunk("data: " + std::string(data) + "\n\n");
}

void exchange::end_events()
{
    if (lost_)
        owner_.abort();
    else
        owner_.end_events();
}

bool exchange::peer_closed() const
{
    return owner_.closed();
}

bool exchange::aborted() const
{
    return owner_.aborted();
}

void exchange::abort()
{
    owner_.abort();
}

struct http_service::state
{
    asio::io_context context;
    tcp::acceptor acceptor{context};
    std::mutex mutex;
    std::set<connection*> open;
    std::atomic<std::uint64_t> accepted = 0;

    void serve(tcp::socket socket, handler const& handle)
    {
        connection current(std::move(socket));
        {
            std::lock_guard const lock(mutex);
            open.insert(&current);
        }
        current.serve(handle);
        std::lock_guard const lock(mutex);
        open.erase(&current);
    }
};

http_service::http_service() : state_(std::make_unique<state>()) {}

http_service::~http_service() = default;

std::uint16_t http_service::listen(std::uint16_t port)
{
    auto& acceptor = state_->acceptor;
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind({asio::ip::address_v4::loopback(), port});
    acceptor.listen();
    return acceptor.local_endpoint().port();
}

void http_service::run(handler const& handle)
{
    std::cout << "listening on " << state_->acceptor.local_endpoint().port() << std::endl;
    for (;;)
    {
        boost::system::error_code failed;
        tcp::socket socket = state_->acceptor.accept(failed);
        if (failed)
        {
            // Out of descriptors, for example; connections that end free some.
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            continue;
        }
        ++state_->accepted;
        std::thread([this, &handle, accepted = std::move(socket)]() mutable
                    { state_->serve(std::move(accepted), handle); })
            .detach();
    }
}

std::uint64_t http_service::accepted() const
{
    return state_->accepted;
}

void http_service::abort_connections()
{
    std::lock_guard const lock(state_->mutex);
    for (auto* current : state_->open)
        current->abort();
}

} // namespace carawayturn::standins
