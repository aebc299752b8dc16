#include "transport/http_client.hpp"

#include "protocol/answer_parser.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace carawayturn
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

constexpr std::uint32_t max_answer_header_bytes = 64U << 10U;

std::string to_text(endpoint const& peer)
{
    return peer.address + ":" + std::to_string(peer.port);
}

http::request<http::string_body> make_message(client_request const& request,
                                              endpoint const& peer)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (auto const& header : request.headers)
        message.insert(header.name, header.value);
    message.set(http::field::host, to_text(peer));
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

} // namespace

struct client_connection::state
{
    state(asio::any_io_executor const& executor, endpoint server, event_log& events_log)
        : stream(executor), peer(std::move(server)), log(events_log)
    {
    }

    void begin_answer()
    {
        input.emplace();
        input->header_limit(max_answer_header_bytes);
        input->body_limit(boost::none);
        input->skip(answers_head);
    }

    /// Logs the failure of a read if the server has sent bytes that are no answer.
    void log_failure(beast::error_code failure)
    {
        if (is_malformed_answer(failure))
            log.write(log_number::answer_malformed, to_text(peer),
                      describe_malformed_answer(failure, buffer.cdata()));
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    endpoint peer;
    event_log& log;
    std::optional<answer_parser<http::string_body>> input;
    /// The request was a HEAD, so its answer has no body.
    bool answers_head = false;
    bool read_whole = false;
};

client_connection::client_connection(asio::any_io_executor const& executor, endpoint peer,
                                     event_log& log)
    : state_(std::make_unique<state>(executor, std::move(peer), log))
{
}

client_connection::~client_connection() = default;

endpoint const& client_connection::peer() const
{
    return state_->peer;
}

asio::awaitable<bool> client_connection::connect(steady_time deadline)
{
    beast::error_code failure;
    auto const ip = asio::ip::make_address(state_->peer.address, failure);
    if (failure)
        co_return false;
    state_->stream.expires_at(deadline);
    tcp::endpoint const server(ip, state_->peer.port);
    std::tie(failure) = co_await state_->stream.async_connect(server, as_result);
    if (failure)
        co_return false;
    state_->stream.socket().set_option(tcp::no_delay(true), failure);
    co_return true;
}

bool client_connection::idle_and_open()
{
    auto& socket = state_->stream.socket();
    beast::error_code failure;
    socket.non_blocking(true, failure);
    if (failure)
        return false;
    std::array<char, 1> probe{};
    socket.receive(asio::buffer(probe), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

asio::awaitable<bool> client_connection::send(client_request const& request,
                                              steady_time deadline)
{
    auto const message = make_message(request, state_->peer);
    state_->read_whole = false;
    state_->answers_head = request.method == "HEAD";
    state_->stream.expires_at(deadline);
    auto const [failure, size] =
        co_await http::async_write(state_->stream, message, as_result);
    co_return !failure;
}

asio::awaitable<std::optional<http_answer_head>>
client_connection::read_head(steady_time deadline)
{
    state_->stream.expires_at(deadline);
    std::size_t informational_bytes = 0;
    do
    {
        state_->begin_answer();
        auto const [failure, size] = co_await http::async_read_header(
            state_->stream, state_->buffer, *state_->input, as_result);
        state_->log_failure(failure);
        informational_bytes += size;
        if (failure || informational_bytes > max_informational_bytes)
            co_return std::nullopt;
    } while (is_informational(state_->input->get().result_int()));
    auto const& message = state_->input->get();
    http_answer_head head{message.result_int(), {}};
    for (auto const& field : message)
        head.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    co_return head;
}

asio::awaitable<std::optional<std::string>>
client_connection::read_some(steady_time deadline)
{
    auto& input = *state_->input;
    state_->stream.expires_at(deadline);
    while (!input.is_done() && input.get().body().empty())
    {
        auto const [failure, size] = co_await http::async_read_some(
            state_->stream, state_->buffer, input, as_result);
        state_->log_failure(failure);
        if (failure)
            co_return std::nullopt;
    }
    state_->read_whole = input.is_done();
    co_return std::exchange(input.get().body(), {});
}

bool client_connection::framed() const
{
    return !state_->input->need_eof();
}

bool client_connection::reusable() const
{
    return state_->input && state_->read_whole && state_->input->keep_alive() &&
           state_->buffer.size() == 0;
}

void client_connection::close()
{
    beast::error_code ignored;
    state_->stream.socket().close(ignored);
}

connection_pool::connection_pool(asio::any_io_executor executor,
                                 std::size_t idle_per_server, event_log& log)
    : executor_(std::move(executor)), idle_per_server_(idle_per_server), log_(log)
{
}

asio::awaitable<std::unique_ptr<client_connection>>
connection_pool::acquire(endpoint server, steady_time deadline)
{
    auto& idle = idle_[server];
    while (!idle.empty())
    {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        if (std::chrono::steady_clock::now() - candidate.since < max_idle &&
            candidate.connection->idle_and_open())
            co_return std::move(candidate.connection);
    }
    auto fresh = std::make_unique<client_connection>(executor_, std::move(server), log_);
    bool const connected = co_await fresh->connect(deadline);
    if (!connected)
        fresh.reset();
    co_return fresh;
}

void connection_pool::release(std::unique_ptr<client_connection> connection)
{
    if (!connection->reusable())
        return;
    auto& idle = idle_[connection->peer()];
    if (idle.size() < idle_per_server_)
        idle.push_back({std::move(connection), std::chrono::steady_clock::now()});
}

namespace
{

/// Reads the rest of an answer; false if the connection broke or the answer is too large.
asio::awaitable<bool> read_body(client_connection& connection, steady_time deadline,
                                std::size_t limit, std::string& body)
{
    while (true)
    {
        auto const part = co_await connection.read_some(deadline);
        if (!part)
            co_return false;
        if (part->empty())
            co_return true;
        body += *part;
        if (body.size() > limit)
            co_return false;
    }
}

} // namespace

asio::awaitable<exchange_result> exchange_whole(connection_pool& pool, endpoint server,
                                                client_request request,
                                                exchange_limits limits,
                                                permission may_send)
{
    auto const start = std::chrono::steady_clock::now();
    auto const deadline = start + limits.timeout;
    exchange_result outcome;
    auto connection = co_await pool.acquire(
        std::move(server), std::min(deadline, start + limits.connect_timeout));
    if (connection == nullptr)
        co_return outcome;
    if (may_send)
    {
        bool const allowed = co_await may_send();
        if (!allowed)
            co_return outcome;
    }
    outcome.outcome = exchange_outcome::lost;
    bool const sent = co_await connection->send(request, deadline);
    if (!sent)
        co_return outcome;
    auto const head = co_await connection->read_head(deadline);
    if (!head)
        co_return outcome;
    bool const whole =
        co_await read_body(*connection, deadline, limits.max_answer_bytes, outcome.body);
    if (!whole)
        co_return outcome;
    outcome.status = head->status;
    outcome.outcome = exchange_outcome::answered;
    pool.release(std::move(connection));
    co_return outcome;
}

} // namespace carawayturn
