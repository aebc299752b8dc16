#pragma once

#include "state/time.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

// Asio types bound to the executor of the single thread that serves requests. The
// concrete executor type avoids type erasure on each operation.
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

/// A coroutine that runs on that thread.
template <class T>
using task = asio::awaitable<T, executor>;

/// Completion token: resumes the coroutine with a tuple that begins with the error code.
inline constexpr auto use_task = asio::as_tuple(asio::use_awaitable_t<executor>{});

/// Parses "IP:PORT". Returns nothing if the text is malformed.
[[nodiscard]] std::optional<tcp::endpoint> parse_endpoint(std::string const& text);

/// A socket that a deadline_monitor closes when the socket's deadline has passed. Pending
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
    /// Closes the socket at this time; time_point::max() means never.
    void set_deadline(time_point deadline) { deadline_ = hard_deadline_ = deadline; }
    /// Closes the socket at the soft deadline, or later as soon as the peer has
    /// acknowledged all written bytes, and at the hard deadline in any case.
    void set_soft_deadline(time_point soft_deadline, time_point hard_deadline)
    {
        deadline_ = soft_deadline;
        hard_deadline_ = hard_deadline;
    }
    /// Begins a write to a peer that may read slowly. Until the peer has acknowledged all
    /// written bytes, the socket is closed once none were acknowledged for this long.
    void begin_write(time_point now, duration progress_limit);
    void end_write() { writing_ = false; }
    [[nodiscard]] bool expired() const { return expired_; }
    /// Cancels the pending read once this time has passed, and leaves the connection as
    /// it is; time_point::max() means never. Applies to reads that use read_slot().
    void interrupt_read_at(time_point time);
    [[nodiscard]] asio::cancellation_slot read_slot() { return interruption_.slot(); }
    /// Whether the last read was cancelled for that time.
    [[nodiscard]] bool read_interrupted() const { return read_interrupted_; }
    /// Place of the connection's first request in the record of sent_requests; 0 for a
    /// connection that a peer opened.
    [[nodiscard]] std::uint64_t first_request() const { return first_request_; }
    void set_first_request(std::uint64_t position) { first_request_ = position; }
    void close();
    /// Makes a later close a reset, which discards bytes that the peer has not
    /// acknowledged. This also applies if the process is killed.
    void reset_on_close();
    /// Reverts reset_on_close().
    void clear_reset_on_close();
    void reset();
    /// Keeps the connection while the peer acknowledges bytes but does not read them,
    /// which the limit for unacknowledged bytes would end.
    void allow_unread_bytes();
    /// Reverts allow_unread_bytes(), unless the peer has not read everything.
    void limit_unread_bytes();

private:
    friend class deadline_monitor;
    /// Whether the peer has not acknowledged all written bytes.
    [[nodiscard]] bool has_unacknowledged_bytes();
    /// Whether the peer has acknowledged nothing for the limit of begin_write().
    [[nodiscard]] bool progress_overdue(time_point now);

    deadline_monitor& deadlines_;
    tcp_socket socket_;
    time_point deadline_ = time_point::max();
    time_point hard_deadline_ = time_point::max();
    bool expired_ = false;
    bool writing_ = false;
    duration progress_limit_{};
    /// time_point::max() if there is nothing to be acknowledged.
    time_point progress_deadline_ = time_point::max();
    time_point next_progress_check_{};
    /// Bytes that were acknowledged at the last check; absent before the first one.
    std::optional<std::uint64_t> acknowledged_;
    time_point interruption_time_ = time_point::max();
    asio::cancellation_signal interruption_;
    bool read_interrupted_ = false;
    std::uint64_t first_request_ = 0;
    bool unread_bytes_allowed_ = false;
};

/// Enforces the deadlines of all sockets with one periodic check instead of a timer for
/// each socket.
class deadline_monitor
{
public:
    /// Closes the sockets whose deadline has passed, and interrupts reads that are due.
    void close_expired(time_point now);

private:
    friend class deadline_socket;
    std::set<deadline_socket*> sockets_;
};

/// Opens a connection before the deadline, which stays set on the socket. Returns null if
/// this fails or the address is malformed. If `connecting` is not null, it refers to the
/// socket meanwhile, so that the attempt can be cancelled.
[[nodiscard]] task<std::shared_ptr<deadline_socket>>
connect_to(asio::io_context& io, deadline_monitor& deadlines, std::string address,
           time_point deadline, std::weak_ptr<deadline_socket>* connecting = nullptr);

/// Address and port of the peer, for logs; empty if the connection has ended.
[[nodiscard]] std::string remote_address(tcp_socket const& socket);

/// Whether a connection is open and has no unread input, so that it can be reused.
[[nodiscard]] bool open_and_idle(tcp_socket& socket);

/// A connection ends if written bytes stay unacknowledged, or unread by a peer whose
/// buffer is full, for this long.
inline constexpr duration unacknowledged_timeout = std::chrono::seconds(4);

/// Sets the options that every connection has: TCP_NODELAY, and timeouts that end the
/// connection within seconds if the peer becomes unreachable.
void set_connection_options(tcp_socket& socket);

/// Sets the options of a connection to a peer that may read slowly. TCP_USER_TIMEOUT is
/// not set, because it also ends a connection whose peer reads less than a segment at a
/// time; begin_write() limits the time of unacknowledged bytes instead.
/// @param limit time without an answer to keep-alive probes after which the connection
///     ends; 4 s at least.
void set_slow_reader_options(tcp_socket& socket, duration limit);

} // namespace carawayturn::entry
