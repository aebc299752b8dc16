#pragma once

#include "state/fleet.hpp"
#include "state/time.hpp"
#include "transport/event_log.hpp"
#include "transport/http_types.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn
{

using steady_time = std::chrono::steady_clock::time_point;

struct client_request
{
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
};

/// One HTTP/1.1 connection to a server; one exchange at a time. All calls are made on the
/// executor's thread; an operation that is overdue or whose connection is closed fails.
/// Bytes that are no answer count as a broken connection and are logged.
class client_connection
{
public:
    client_connection(boost::asio::any_io_executor const& executor, endpoint peer,
                      event_log& log);
    ~client_connection();
    client_connection(client_connection const&) = delete;
    client_connection& operator=(client_connection const&) = delete;

    [[nodiscard]] endpoint const& peer() const;

    /// Connects; false if the server refused or did not answer in time.
    [[nodiscard]] boost::asio::awaitable<bool> connect(steady_time deadline);

    /// Whether an idle connection is still open and silent, so that it can be reused.
    [[nodiscard]] bool idle_and_open();

    /// Writes a request. After a failure it is not known how much the server read.
    [[nodiscard]] boost::asio::awaitable<bool> send(client_request const& request,
                                                    steady_time deadline);

    /// Reads the final answer's head, after any informational ones; empty if the
    /// connection broke.
    [[nodiscard]] boost::asio::awaitable<std::optional<http_answer_head>>
    read_head(steady_time deadline);

    /// Reads a part of the body: empty text at its end, no value if the connection broke.
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>>
    read_some(steady_time deadline);

    /// Whether the answer has a length or chunks, so that its end is the one that the
    /// server set. Otherwise it ends with the connection, for whatever reason.
    [[nodiscard]] bool framed() const;

    /// Whether the answer was read whole and the server keeps the connection open.
    [[nodiscard]] bool reusable() const;

    void close();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Keeps idle connections by server. A connection comes back only after its answer was
/// read whole, so an answer can never meet the next request.
class connection_pool
{
public:
    /// Longest time that a connection stays idle; below the servers' usual limits.
    static constexpr auto max_idle = std::chrono::seconds(4);

    connection_pool(boost::asio::any_io_executor executor, std::size_t idle_per_server,
                    event_log& log);

    /// Returns an idle connection or a new one; null if the server refuses.
    [[nodiscard]] boost::asio::awaitable<std::unique_ptr<client_connection>>
    acquire(endpoint server, steady_time deadline);

    /// Keeps the connection if it can be reused and closes it otherwise.
    void release(std::unique_ptr<client_connection> connection);

    /// Closes all idle connections.
    void clear() { idle_.clear(); }

private:
    struct idle_connection
    {
        std::unique_ptr<client_connection> connection;
        steady_time since;
    };

    boost::asio::any_io_executor executor_;
    std::size_t idle_per_server_;
    event_log& log_;
    std::map<endpoint, std::vector<idle_connection>> idle_;
};

enum class exchange_outcome
{
    /// A whole answer was read.
    answered,
    /// No byte of the request left.
    not_sent,
    /// The answer was lost or late.
    lost
};

struct exchange_result
{
    exchange_outcome outcome = exchange_outcome::not_sent;
    unsigned status = 0;
    std::string body;
};

/// Asked right before the first byte leaves; false drops the request (not_sent).
using permission = std::function<boost::asio::awaitable<bool>()>;

struct exchange_limits
{
    duration connect_timeout = std::chrono::seconds(1);
    /// For the whole exchange, counted from its start.
    duration timeout = std::chrono::seconds(3);
    std::size_t max_answer_bytes = std::size_t{64} << 20U;
};

/// Sends a request and reads its whole answer.
[[nodiscard]] boost::asio::awaitable<exchange_result>
exchange_whole(connection_pool& pool, endpoint server, client_request request,
               exchange_limits limits, permission may_send = {});

} // namespace carawayturn
