#include "transport/entry/io.hpp"

#include "transport/entry/tcp_progress.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

namespace carawayturn::entry
{

namespace
{

/// TCP keep-alive probes start after this idle time and repeat at this interval, in
/// seconds.
constexpr int keepalive_s = 2;
constexpr int keepalive_probes = 2;
/// Interval at which the acknowledged bytes of a connection are read. Most writes are
/// acknowledged before the first check.
constexpr duration progress_check_interval = std::chrono::milliseconds(500);

int to_timeout_option(duration limit)
{
    return static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
}

void set_option(int socket, int level, int option, int value)
{
    // Failures are ignored: the connection also works without the option.
    static_cast<void>(::setsockopt(socket, level, option, &value, sizeof value));
}

void set_common_options(int socket, int probes)
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

} // namespace

std::optional<tcp::endpoint> parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    boost::system::error_code failure;
    auto const address = asio::ip::make_address_v4(text.substr(0, colon), failure);
    std::uint16_t port = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (failure || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return tcp::endpoint(address, port);
}

deadline_socket::deadline_socket(deadline_monitor& deadlines, tcp_socket socket)
    : deadlines_(deadlines), socket_(std::move(socket))
{
    deadlines_.sockets_.insert(this);
}

deadline_socket::~deadline_socket()
{
    deadlines_.sockets_.erase(this);
}

void deadline_socket::begin_write(time_point now, duration progress_limit)
{
    writing_ = true;
    // Bytes of an earlier write are not acknowledged yet: a new write is no progress.
    if (progress_deadline_ != time_point::max())
        return;
    progress_limit_ = progress_limit;
    progress_deadline_ = now + progress_limit;
    next_progress_check_ = now + progress_check_interval;
    acknowledged_.reset();
}

bool deadline_socket::progress_overdue(time_point now)
{
    if (progress_deadline_ == time_point::max() || now < next_progress_check_ ||
        !socket_.is_open())
        return false;
    next_progress_check_ = now + progress_check_interval;
    if (!writing_ && !has_unacknowledged_bytes())
    {
        progress_deadline_ = time_point::max();
        return false;
    }
    auto const acknowledged = acknowledged_bytes(socket_.native_handle());
    // The first check has nothing to compare with, and may come late after a pause of the
    // process in which the peer made progress.
    if (!acknowledged_ || acknowledged > *acknowledged_)
        progress_deadline_ = now + progress_limit_;
    acknowledged_ = acknowledged;
    return progress_deadline_ <= now;
}

void deadline_socket::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void deadline_socket::reset_on_close()
{
    // Setting the option fails if the connection has already ended.
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void deadline_socket::clear_reset_on_close()
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(false, 0), ignored);
}

bool deadline_socket::has_unacknowledged_bytes()
{
    int bytes = 0;
    return socket_.is_open() && ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 &&
           bytes > 0;
}

void deadline_socket::allow_unread_bytes()
{
    unread_bytes_allowed_ = true;
    set_option(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
}

void deadline_socket::limit_unread_bytes()
{
    if (!unread_bytes_allowed_ || has_unacknowledged_bytes())
        return;
    unread_bytes_allowed_ = false;
    set_option(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               to_timeout_option(unacknowledged_timeout));
}

void deadline_socket::reset()
{
    reset_on_close();
    close();
}

void deadline_socket::interrupt_read_at(time_point time)
{
    interruption_time_ = time;
    read_interrupted_ = false;
}

void deadline_monitor::close_expired(time_point now)
{
    for (auto* const socket : sockets_)
    {
        if (socket->interruption_time_ <= now)
        {
            // Repeated with each check: between two steps of a read, nothing is pending
            // that could be cancelled.
            socket->read_interrupted_ = true;
            socket->interruption_.emit(asio::cancellation_type::terminal);
        }
        bool const overdue = socket->progress_overdue(now);
        if (!overdue && socket->deadline_ > now)
            continue;
        if (!overdue && socket->hard_deadline_ > now &&
            socket->has_unacknowledged_bytes())
            continue;
        socket->deadline_ = time_point::max();
        socket->expired_ = true;
        socket->close();
    }
}

task<std::shared_ptr<deadline_socket>>
connect_to(asio::io_context& io, deadline_monitor& deadlines, std::string address,
           time_point deadline, std::weak_ptr<deadline_socket>* connecting)
{
    auto const endpoint = parse_endpoint(address);
    if (!endpoint)
        co_return nullptr;
    auto socket = std::make_shared<deadline_socket>(deadlines, tcp_socket(io));
    socket->set_deadline(deadline);
    if (connecting != nullptr)
        *connecting = socket;
    auto const [failure] = co_await socket->socket().async_connect(*endpoint, use_task);
    if (failure || !socket->socket().is_open())
        co_return nullptr;
    set_connection_options(socket->socket());
    co_return socket;
}

std::string remote_address(tcp_socket const& socket)
{
    boost::system::error_code failure;
    auto const peer = socket.remote_endpoint(failure);
    if (failure)
        return {};
    return peer.address().to_string() + ":" + std::to_string(peer.port());
}

bool open_and_idle(tcp_socket& socket)
{
    if (!socket.is_open())
        return false;
    char byte = 0;
    auto const received =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void set_connection_options(tcp_socket& socket)
{
    auto const handle = socket.native_handle();
    set_common_options(handle, keepalive_probes);
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
               to_timeout_option(unacknowledged_timeout));
}

void set_slow_reader_options(tcp_socket& socket, duration limit)
{
    auto const limit_s = std::chrono::duration_cast<std::chrono::seconds>(limit).count();
    // The first probe is sent after keepalive_s, and the connection ends keepalive_s
    // after the last one.
    auto const probes = std::max(1, static_cast<int>(limit_s) / keepalive_s - 1);
    set_common_options(socket.native_handle(), probes);
}

} // namespace carawayturn::entry
