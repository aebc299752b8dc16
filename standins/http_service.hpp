#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace carawayturn::standins
{

struct http_request
{
    std::string method;
    /// Target without the query.
    std::string path;
    std::string query;
    /// Header fields by lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;

    /// Returns a header's value by lower-case name, or an empty string.
    [[nodiscard]] std::string header(std::string const& name) const;
    /// Returns a header's value as a number, or the given value if absent or malformed.
    [[nodiscard]] std::int64_t number(std::string const& name,
                                      std::int64_t otherwise) const;
};

class connection;

/// One request and its answer. All calls block; none throws on network errors.
class exchange
{
public:
    exchange(connection& owner, http_request request);

    [[nodiscard]] http_request const& request() const { return request_; }

    /// Sends the whole answer.
    void answer(unsigned status, std::string_view body,
                std::string_view content_type = "application/json");

    /// Starts an answer of server-sent events.
    void begin_events();
    /// Sends one event; returns false once the connection is gone.
    bool send_event(std::string_view data);
    void end_events();

    /// Whether the peer has closed its side or the connection was aborted.
    [[nodiscard]] bool peer_closed() const;

    /// Whether the connection was aborted on this side, for example by a crash.
    [[nodiscard]] bool aborted() const;

    /// Closes the connection without an answer, or in the middle of one.
    void abort();

    /// Lets the request run, but closes the connection instead of answering.
    void lose_answer() { lost_ = true; }

private:
    connection& owner_;
    http_request request_;
    bool lost_ = false;
};

/// Blocking HTTP/1.1 server on 127.0.0.1 with one thread for each connection.
class http_service
{
public:
    using handler = std::function<void(exchange&)>;

    http_service();
    ~http_service();
    http_service(http_service const&) = delete;
    http_service& operator=(http_service const&) = delete;

    /// Binds the port, or a free one for 0, and returns it. Throws if that fails.
    std::uint16_t listen(std::uint16_t port);

    /// Prints "listening on PORT" and serves until the process ends.
    [[noreturn]] void run(handler const& handle);

    /// Number of connections accepted so far.
    [[nodiscard]] std::uint64_t accepted() const;

    /// Closes all connections, also those in the middle of an answer.
    void abort_connections();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn::standins
