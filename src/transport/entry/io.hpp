#pragma once

#include "state/time.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>

// Asio types bound to the executor of the one thread that serves requests. A concrete
// executor spares the type erasure on each operation.
namespace carawayturn::entry
{

namespace asio = boost::asio;

using executor = asio::io_context::executor_type;
using tcp = asio::ip::tcp;
using tcp_socket = asio::basic_stream_socket<tcp, executor>;
using tcp_acceptor = asio::basic_socket_acceptor<tcp, executor>;
using steady_timer =
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>, executor>;

/// A coroutine on that thread.
template <class T>
using task = asio::awaitable<T, executor>;

/// Completion token: resumes the coroutine with a tuple that begins with the error code.
inline constexpr auto use_task = asio::as_tuple(asio::use_awaitable_t<executor>{});

/// Parses "IP:PORT"; nothing if it is malformed.
[[nodiscard]] std::optional<tcp::endpoint> parse_endpoint(std::string const& text);

/// A socket that a deadline_monitor closes when its deadline has passed. Pending
/// operations then fail.
class deadline_socket
{
public:
    deadline_socket(class deadline_monitor& deadlines, tcp_socket socket);
    ~deadline_socket();
    deadline_socket(deadline_socket const&) = delete;
    deadline_socket& operator=(deadline_socket const&) = delete;

    [[nodiscard]] tcp_socket& socket() { return socket_; }
    [[nodiscard]] tcp_socket const& socket() const { return socket_; }
    /// Closes the socket at this time; time_point::max() for never.
    void set_deadline(time_point deadline) { deadline_ = hard_deadline_ = deadline; }
    /// Closes the socket at the first time if the other side has taken all that was
    /// written, and at the last one whatever it has taken.
    void set_soft_deadline(time_point soft_deadline, time_point hard_deadline)
    {
        deadline_ = soft_deadline;
        hard_deadline_ = hard_deadline;
    }
    [[nodiscard]] bool expired() const { return expired_; }
    void close();
    /// From now on a close is a reset: bytes that the other side has not taken are
    /// discarded, also when the process is killed.
    void reset_on_close();
    /// Takes that back.
    void clear_reset_on_close();
    void reset();

private:
    friend class deadline_monitor;
    /// Whether the other side has not acknowledged all that was written.
    [[nodiscard]] bool has_unacknowledged_bytes();

    deadline_monitor& deadlines_;
    tcp_socket socket_;
    time_point deadline_ = time_point::max();
    time_point hard_deadline_ = time_point::max();
    bool expired_ = false;
};

/// Enforces the deadlines of all sockets with one sweep instead of a timer for each.
class deadline_monitor
{
public:
    /// Closes the sockets whose deadline has passed.
    void close_expired(time_point now);

private:
    friend class deadline_socket;
    std::set<deadline_socket*> sockets_;
};

/// Opens a connection before the deadline, which stays set on the socket; null if that
/// fails or the address is malformed. `connecting` refers to the socket meanwhile, for
/// those who may give up.
[[nodiscard]] task<std::shared_ptr<deadline_socket>>
connect_to(asio::io_context& io, deadline_monitor& deadlines, std::string address,
           time_point deadline, std::weak_ptr<deadline_socket>* connecting = nullptr);

/// Address of the other side, for logs; empty if the connection has ended.
[[nodiscard]] std::string remote_address(tcp_socket const& socket);

/// Whether a kept connection is still open and silent, so that it may carry a request.
[[nodiscard]] bool open_and_idle(tcp_socket& socket);

/// Unacknowledged bytes end a connection after this time.
inline constexpr duration unacknowledged_timeout = std::chrono::seconds(4);

/// Sets the options of every connection: no delay, and an end within seconds when the
/// other side is cut off.
/// @param limit time after which bytes that the other side has not taken end it; longer
///     for callers, which may take their answers slowly.
void set_connection_options(tcp_socket& socket, duration limit = unacknowledged_timeout);

} // namespace carawayturn::entry
