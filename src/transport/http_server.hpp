#pragma once

#include "state/fleet.hpp"
#include "state/result.hpp"
#include "state/time.hpp"
#include "transport/http_types.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace carawayturn
{

/// Limits of an HTTP server. A request beyond one of them gets 413, 431 or 503.
struct http_limits
{
    std::size_t max_body_bytes = std::size_t{8} << 20U;
    std::uint32_t max_header_bytes = 16U << 10U;
    std::size_t max_connections = 4096;
    /// Longest time for a whole request, from its first byte or the last answer.
    duration read_timeout = std::chrono::seconds(75);
    /// Longest time for one write; a caller that does not read counts as gone after it.
    duration write_timeout = std::chrono::seconds(30);
};

/// Tells whether bytes were written to the caller's socket.
using written_callback = std::function<void(bool)>;

/// One request and its answer. All calls are made on the server's thread. The first of
/// send() and begin_stream() wins; later ones are ignored, so a request gets one answer.
class http_exchange
{
public:
    http_exchange() = default;
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;
    virtual ~http_exchange() = default;

    [[nodiscard]] virtual http_request const& request() const = 0;

    /// Sends a whole answer.
    virtual void send(http_answer_head head, std::string body) = 0;

    /// Begins an answer of unknown length.
    virtual void begin_stream(http_answer_head head) = 0;

    /// Appends to a stream. The callback runs once, when the bytes were written or it is
    /// certain that they never will be.
    virtual void write(std::string bytes, written_callback written) = 0;

    /// Ends a stream.
    virtual void end_stream() = 0;

    /// Closes the connection after this answer.
    virtual void close_after() = 0;
};

/// Takes the requests of an http_server, on its thread.
class http_handler
{
public:
    http_handler() = default;
    http_handler(http_handler const&) = delete;
    http_handler& operator=(http_handler const&) = delete;
    virtual ~http_handler() = default;

    /// A whole request was read. It is answered now or later.
    virtual void on_request(std::shared_ptr<http_exchange> const& exchange) = 0;

    /// The caller closed its connection before the answer was complete.
    virtual void on_hangup(http_exchange const& exchange) = 0;

    /// The number of busy connections changed; see http_server::busy_connections().
    virtual void on_busy_changed(std::size_t /*connections*/) {}

    /// Returns the JSON body for a request that the server refuses by itself.
    [[nodiscard]] virtual std::string error_body(unsigned status,
                                                 std::string_view reason) = 0;
};

/// An HTTP/1.1 server with keep-alive on one thread. Authorization headers are replaced
/// by the digest of the key before the handler, or anything else, sees the request.
class http_server
{
public:
    http_server(http_limits limits, http_handler& handler);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Binds and listens; returns the port, which is chosen when it was 0.
    [[nodiscard]] result<std::uint16_t> listen(endpoint const& address);

    /// Serves until stop(); blocks.
    void run();

    /// Runs a function on the server's thread, in the order of the calls.
    void post(std::function<void()> work);

    /// Stops serving; open connections are closed. A request that is still being read is
    /// refused with 503 first. May be called on any thread.
    void stop();

    [[nodiscard]] std::size_t connections() const;

    /// Connections with a request that has begun to arrive and whose answer is not
    /// written yet. Called on the server's thread.
    [[nodiscard]] std::size_t busy_connections() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn
