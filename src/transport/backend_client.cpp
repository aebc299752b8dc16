#include "transport/backend_client.hpp"

#include "protocol/caller_codec.hpp"
#include "transport/duty_thread.hpp"
#include "transport/event_stream.hpp"
#include "transport/http_client.hpp"
#include "transport/rejection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <utility>

namespace carawayturn
{

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace
{

/// Progress is reported at most this often, which keeps a fast stream from filling the
/// core's ring.
constexpr auto progress_interval = std::chrono::milliseconds(50);

/// An event larger than this ends its stream: no engine sends one.
constexpr std::size_t max_event_bytes = std::size_t{8} << 20U;

struct attempt_state
{
    attempt_state(asio::any_io_executor const& executor, dispatch_request wanted,
                  std::shared_ptr<request_content const> sent)
        : order(std::move(wanted)), content(std::move(sent)), acknowledged(executor),
          offset(order.resume_offset)
    {
        acknowledged.expires_at(steady_clock::time_point::max());
    }

    [[nodiscard]] attempt_id id() const { return {order.request, order.attempt}; }

    dispatch_request order;
    std::shared_ptr<request_content const> content;
    endpoint server;
    /// Set while an exchange is in progress.
    client_connection* connection = nullptr;
    bool started = false;
    bool cancelled = false;
    /// Cancelled when unwritten bytes were written.
    asio::steady_timer acknowledged;
    std::size_t unwritten_bytes = 0;
    /// Events that reached the caller, earlier attempts included.
    std::uint64_t offset = 0;
    steady_clock::time_point last_progress{};
    std::optional<token_count> tokens;
    bool done_seen = false;
    std::optional<stored_answer> kept;
};

using attempt_pointer = std::shared_ptr<attempt_state>;

client_request make_request(dispatch_request const& order, request_content const& content)
{
    client_request request{content.method, content.target, content.headers, content.body};
    request.headers.push_back({"X-Request-Id", content.id.str()});
    request.headers.push_back({"X-Priority", std::to_string(order.priority)});
    if (order.resume_offset > 0)
        request.headers.push_back(
            {"X-Resume-Offset", std::to_string(order.resume_offset)});
    return request;
}

bool is_success(unsigned status)
{
    constexpr unsigned first_success = 200;
    constexpr unsigned first_redirection = 300;
    return status >= first_success && status < first_redirection;
}

bool is_event_stream(http_answer_head const& head)
{
    auto const* const type = find_header(head.headers, "Content-Type");
    constexpr std::string_view wanted = "text/event-stream";
    return type != nullptr &&
           equal_ignoring_case(std::string_view(*type).substr(0, wanted.size()), wanted);
}

/// Whether the answer is a stream of events, by its head or because one was requested: a
/// server may omit the Content-Type.
bool holds_events(http_answer_head const& head, request_content const& content)
{
    return is_event_stream(head) || (content.stream && is_success(head.status));
}

/// Whether the answer is complete only with the event that ends a chat stream. A server
/// that fails while it writes may end the body properly, so the end of a chat stream's
/// framing proves nothing. Other answers end as their framing says, unless only the end
/// of the connection marks the end of their events.
bool needs_stream_end(http_answer_head const& head, request_content const& content,
                      bool framed)
{
    if (!framed)
        return holds_events(head, content);
    auto const* const type = find_header(head.headers, "Content-Type");
    bool const untyped = content.stream && (type == nullptr || type->empty());
    return content.chat && is_success(head.status) && (untyped || is_event_stream(head));
}

stored_answer make_stored(http_answer_head const& head, std::string body)
{
    auto const* const type = find_header(head.headers, "Content-Type");
    return {static_cast<std::uint16_t>(head.status), type == nullptr ? "" : *type,
            std::move(body)};
}

} // namespace

struct backend_client::state
{
    state(backend_limits set, event_sink& raised, answer_sink& output,
          address_book const& known, event_log& log, token_counter counter)
        : limits(set), events(raised), answers(output), addresses(known),
          count_tokens(std::move(counter)),
          pool(thread.executor(), set.idle_connections_per_backend, log)
    {
    }

    ~state()
    {
        thread.stop();
        // Sockets and timers must go before the event loop that they belong to.
        attempts.clear();
        pool.clear();
    }

    void begin(dispatch_request order, std::shared_ptr<request_content const> content);
    void cancel(attempt_id const& id);
    asio::awaitable<void> run(attempt_pointer attempt);
    asio::awaitable<dispatch_outcome> exchange(attempt_pointer attempt);
    asio::awaitable<dispatch_outcome> receive(attempt_pointer attempt,
                                              client_connection& connection);
    asio::awaitable<dispatch_outcome> receive_whole(attempt_pointer attempt,
                                                    client_connection& connection,
                                                    http_answer_head head);
    asio::awaitable<dispatch_outcome> receive_stream(attempt_pointer attempt,
                                                     client_connection& connection,
                                                     http_answer_head head);
    asio::awaitable<void> wait_for_caller(attempt_pointer attempt);
    asio::awaitable<void> cancel_at_engine(endpoint server, request_id request);
    void forward_events(attempt_pointer const& attempt, event_splitter& splitter);
    void acknowledge(attempt_pointer const& attempt, std::size_t bytes,
                     std::uint64_t count, bool written);
    dispatch_outcome finish_whole(attempt_state& attempt, http_answer_head const& head,
                                  std::string body);
    void report_end(attempt_state& attempt, dispatch_outcome outcome);

    backend_limits limits;
    event_sink& events;
    answer_sink& answers;
    address_book const& addresses;
    token_counter count_tokens;
    std::map<attempt_id, attempt_pointer> attempts;
    duty_thread thread;
    connection_pool pool;
};

void backend_client::state::begin(dispatch_request order,
                                  std::shared_ptr<request_content const> content)
{
    auto const address = addresses.find(order.backend);
    if (content == nullptr || !address)
    {
        events.deliver(dispatch_ended{order.request, order.attempt,
                                      dispatch_outcome::not_sent, std::nullopt,
                                      order.resume_offset, std::nullopt});
        return;
    }
    auto const attempt = std::make_shared<attempt_state>(
        thread.executor(), std::move(order), std::move(content));
    attempt->server = *address;
    if (attempts.emplace(attempt->id(), attempt).second)
        asio::co_spawn(thread.context(), run(attempt), asio::detached);
}

void backend_client::state::cancel(attempt_id const& id)
{
    auto const found = attempts.find(id);
    if (found == attempts.end() || found->second->cancelled)
        return;
    auto& attempt = *found->second;
    attempt.cancelled = true;
    if (attempt.connection != nullptr)
        attempt.connection->close();
    attempt.acknowledged.cancel();
    if (attempt.started && attempt.content->chat)
        asio::co_spawn(thread.context(), cancel_at_engine(attempt.server, id.request),
                       asio::detached);
}

asio::awaitable<void> backend_client::state::run(attempt_pointer attempt)
{
    auto outcome = co_await exchange(attempt);
    // The offset is final only when each event was written or dropped.
    while (attempt->unwritten_bytes > 0)
        co_await attempt->acknowledged.async_wait(asio::as_tuple(asio::use_awaitable));
    if (outcome == dispatch_outcome::completed && !attempt->order.keep_answer)
        answers.stream_end(attempt->id());
    if (attempt->cancelled && outcome != dispatch_outcome::completed)
        outcome = dispatch_outcome::cancelled;
    attempts.erase(attempt->id());
    report_end(*attempt, outcome);
}

void backend_client::state::report_end(attempt_state& attempt, dispatch_outcome outcome)
{
    if (outcome == dispatch_outcome::completed && attempt.tokens)
        count_tokens(*attempt.tokens);
    events.deliver(dispatch_ended{attempt.order.request, attempt.order.attempt, outcome,
                                  attempt.tokens, attempt.offset,
                                  std::move(attempt.kept)});
}

asio::awaitable<dispatch_outcome> backend_client::state::exchange(attempt_pointer attempt)
{
    auto connection = co_await pool.acquire(attempt->server,
                                            steady_clock::now() + limits.connect_timeout);
    if (connection == nullptr || attempt->cancelled)
        co_return dispatch_outcome::not_sent;
    attempt->connection = connection.get();
    attempt->started = true;
    events.deliver(dispatch_started{attempt->order.request, attempt->order.attempt});
    auto const request = make_request(attempt->order, *attempt->content);
    bool const sent =
        co_await connection->send(request, steady_clock::now() + limits.idle_timeout);
    auto outcome = dispatch_outcome::broken;
    if (sent)
        outcome = co_await receive(attempt, *connection);
    attempt->connection = nullptr;
    if (outcome != dispatch_outcome::broken)
        pool.release(std::move(connection));
    co_return outcome;
}

asio::awaitable<dispatch_outcome>
backend_client::state::receive(attempt_pointer attempt, client_connection& connection)
{
    auto head =
        co_await connection.read_head(steady_clock::now() + limits.answer_timeout);
    if (!head)
        co_return dispatch_outcome::broken;
    auto outcome = dispatch_outcome::broken;
    if (is_event_stream(*head) && !attempt->order.keep_answer)
        outcome = co_await receive_stream(attempt, connection, std::move(*head));
    else
        outcome = co_await receive_whole(attempt, connection, std::move(*head));
    co_return outcome;
}

asio::awaitable<dispatch_outcome>
backend_client::state::receive_whole(attempt_pointer attempt,
                                     client_connection& connection, http_answer_head head)
{
    std::string body;
    while (true)
    {
        auto const part =
            co_await connection.read_some(steady_clock::now() + limits.idle_timeout);
        if (!part)
            co_return dispatch_outcome::broken;
        if (part->empty())
            break;
        body += *part;
        if (body.size() <= limits.max_answer_bytes)
            continue;
        connection.close();
        head = {http_status(refusal_code::backend_failed),
                {{"Content-Type", "application/json"}}};
        body = print_refusal(attempt->order.request,
                             {refusal_code::backend_failed,
                              execution::ran,
                              "the backend server's answer is larger than " +
                                  std::to_string(limits.max_answer_bytes) + " bytes",
                              {},
                              {},
                              {}});
        co_return finish_whole(*attempt, head, std::move(body));
    }
    if (needs_stream_end(head, *attempt->content, connection.framed()) &&
        !has_chat_stream_end(body))
        co_return dispatch_outcome::broken;
    co_return finish_whole(*attempt, head, std::move(body));
}

dispatch_outcome backend_client::state::finish_whole(attempt_state& attempt,
                                                     http_answer_head const& head,
                                                     std::string body)
{
    if (attempt.cancelled)
        return dispatch_outcome::cancelled;
    if (proves_not_run(head.status, body, attempt.content->chat))
        return dispatch_outcome::rejected;
    attempt.tokens = is_event_stream(head) ? usage_in_stream(body) : parse_usage(body);
    if (attempt.order.keep_answer)
        attempt.kept = make_stored(head, std::move(body));
    else
        answers.whole_answer(attempt.id(), {head.status, forwardable(head.headers)},
                             std::move(body));
    return dispatch_outcome::completed;
}

asio::awaitable<dispatch_outcome> backend_client::state::receive_stream(
    attempt_pointer attempt, client_connection& connection, http_answer_head head)
{
    answers.stream_head(attempt->id(), {head.status, forwardable(head.headers)});
    bool const needs_end = needs_stream_end(head, *attempt->content, connection.framed());
    event_splitter splitter;
    while (!attempt->cancelled)
    {
        auto const part =
            co_await connection.read_some(steady_clock::now() + limits.idle_timeout);
        if (!part)
            co_return dispatch_outcome::broken;
        if (part->empty())
            break;
        splitter.add(*part);
        forward_events(attempt, splitter);
        if (splitter.pending() > max_event_bytes)
            co_return dispatch_outcome::broken;
        co_await wait_for_caller(attempt);
    }
    bool const whole = splitter.pending() == 0 && !attempt->cancelled &&
                       (attempt->done_seen || !needs_end);
    co_return whole ? dispatch_outcome::completed : dispatch_outcome::broken;
}

void backend_client::state::forward_events(attempt_pointer const& attempt,
                                           event_splitter& splitter)
{
    std::string bytes;
    std::uint64_t count = 0;
    while (auto next = splitter.next())
    {
        auto const data = event_data(*next);
        // Only the last event carries usage, so most need not be parsed.
        if (data.find("\"usage\"") != std::string::npos)
            attempt->tokens = parse_usage(data);
        attempt->done_seen = attempt->done_seen || ends_chat_stream(data);
        count += counts_for_offset(data) ? 1 : 0;
        bytes += *next;
    }
    if (bytes.empty())
        return;
    auto const size = bytes.size();
    attempt->unwritten_bytes += size;
    answers.stream_data(attempt->id(), std::move(bytes),
                        [this, attempt, size, count](bool written)
                        {
                            thread.post([this, attempt, size, count, written]
                                        { acknowledge(attempt, size, count, written); });
                        });
}

void backend_client::state::acknowledge(attempt_pointer const& attempt, std::size_t bytes,
                                        std::uint64_t count, bool written)
{
    attempt->unwritten_bytes -= bytes;
    attempt->acknowledged.cancel();
    if (!written)
        return;
    attempt->offset += count;
    auto const now = steady_clock::now();
    if (now - attempt->last_progress < progress_interval)
        return;
    attempt->last_progress = now;
    // Progress may be lost: the next report and the end repeat the offset.
    static_cast<void>(events.offer(dispatch_progress{
        attempt->order.request, attempt->order.attempt, attempt->offset}));
}

asio::awaitable<void> backend_client::state::wait_for_caller(attempt_pointer attempt)
{
    while (attempt->unwritten_bytes > limits.max_unwritten_bytes && !attempt->cancelled)
        co_await attempt->acknowledged.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> backend_client::state::cancel_at_engine(endpoint server,
                                                              request_id request)
{
    client_request message{"DELETE", "/v1/requests/" + request.str(), {}, {}};
    exchange_limits within;
    within.connect_timeout = limits.connect_timeout;
    co_await exchange_whole(pool, std::move(server), std::move(message), within);
}

backend_client::backend_client(backend_limits limits, event_sink& events,
                               answer_sink& answers, address_book const& addresses,
                               event_log& log, token_counter count_tokens)
    : state_(std::make_unique<state>(limits, events, answers, addresses, log,
                                     std::move(count_tokens)))
{
}

backend_client::~backend_client() = default;

void backend_client::start()
{
    state_->thread.start();
}

void backend_client::stop()
{
    state_->thread.stop();
}

void backend_client::dispatch(dispatch_request order,
                              std::shared_ptr<request_content const> content)
{
    state_->thread.post(
        [this, order = std::move(order), content = std::move(content)]() mutable
        { state_->begin(std::move(order), std::move(content)); });
}

void backend_client::cancel(cancel_dispatch const& order)
{
    state_->thread.post([this, id = attempt_id{order.request, order.attempt}]
                        { state_->cancel(id); });
}

} // namespace carawayturn
