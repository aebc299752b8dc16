#include "load_client.hpp"

#include "protocol/answer_parser.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <optional>
#include <poll.h>

namespace carawayturn::load
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;

namespace
{

using request_message = http::request<http::string_body>;
using response_parser = answer_parser<http::string_body>;

request_message make_message(traced_request const& request)
{
    request_message message(http::verb::post, request.path, 11);
    message.set(http::field::host, "127.0.0.1");
    message.set(http::field::content_type, "application/json");
    if (!request.key.empty())
        message.set(http::field::authorization, "Bearer " + request.key);
    if (request.deadline_ms)
        message.set("X-Deadline-Ms", std::to_string(*request.deadline_ms));
    if (!request.idempotency_key.empty())
        message.set("Idempotency-Key", request.idempotency_key);
    message.body() = print_body(request);
    message.prepare_payload();
    return message;
}

std::string text_of(json::object const& from, char const* name)
{
    auto const* found = from.if_contains(name);
    return found != nullptr && found->is_string() ? found->get_string().c_str() : "";
}

/// Takes the refusal and the usage from an answer's body or from one event's data.
void read_document(std::string_view text, load_answer& answer)
{
    boost::system::error_code failed;
    json::value const parsed = json::parse({text.data(), text.size()}, failed);
    if (failed || !parsed.is_object())
        return;
    auto const& fields = parsed.get_object();
    if (auto const* refusal = fields.if_contains("error");
        refusal != nullptr && refusal->is_object())
    {
        answer.code = text_of(refusal->get_object(), "code");
        answer.ran = text_of(refusal->get_object(), "ran");
    }
    auto const* usage = fields.if_contains("usage");
    if (usage == nullptr || !usage->is_object())
        return;
    auto const* total = usage->get_object().if_contains("total_tokens");
    if (total != nullptr && total->is_int64())
        answer.tokens = total->get_int64();
}

/// Reads all events and returns whether the last one closes the stream.
bool read_events(std::string_view body, load_answer& answer)
{
    static constexpr std::string_view field = "data: ";
    bool closed = false;
    while (!body.empty())
    {
        auto const end = std::min(body.find('\n'), body.size());
        auto const line = body.substr(0, end);
        body.remove_prefix(std::min(end + 1, body.size()));
        if (!line.starts_with(field))
            continue;
        auto const data = line.substr(field.size());
        closed = data.starts_with("[DONE]");
        if (data.find("\"error\"") != std::string_view::npos ||
            data.find("\"usage\"") != std::string_view::npos)
            read_document(data, answer);
    }
    return closed;
}

} // namespace

struct load_client::state
{
    target instance;
    std::chrono::milliseconds timeout;
    asio::io_context context;
    tcp::socket socket{context};
    boost::beast::flat_buffer buffer;

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        buffer.clear();
    }

    [[nodiscard]] bool closed_by_peer()
    {
        pollfd watched{socket.native_handle(), POLLIN | POLLRDHUP, 0};
        return ::poll(&watched, 1, 0) != 0;
    }

    bool connect()
    {
        if (socket.is_open() && !closed_by_peer())
            return true;
        close();
        boost::system::error_code failed;
        auto const address = asio::ip::make_address(instance.address, failed);
        if (!failed)
            socket.connect({address, instance.port}, failed);
        if (!failed)
            socket.set_option(tcp::no_delay(true), failed);
        if (failed)
            close();
        return !failed;
    }

    /// Waits for bytes to read; false at the time limit.
    bool wait_readable(clock::time_point until)
    {
        auto const left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now());
        pollfd watched{socket.native_handle(), POLLIN, 0};
        return left.count() > 0 &&
               ::poll(&watched, 1, static_cast<int>(left.count())) > 0;
    }

    /// Reads one final answer; returns why it is incomplete, or nothing.
    std::string read(std::optional<response_parser>& parser, clock::time_point sent,
                     load_answer& answer)
    {
        std::string missing;
        do
        {
            parser.emplace();
            parser->body_limit(boost::none);
            missing = read_next(*parser, sent, answer);
        } while (missing.empty() && is_informational(parser->get().result_int()));
        return missing;
    }

    /// Reads one answer, informational ones too; returns why it is incomplete, or
    /// nothing.
    std::string read_next(response_parser& parser, clock::time_point sent,
                          load_answer& answer)
    {
        while (!parser.is_done())
        {
            if (buffer.size() == 0 && !wait_readable(sent + timeout))
                return "timeout";
            boost::system::error_code failed;
            http::read_some(socket, buffer, parser, failed);
            if (failed)
                return is_malformed_answer(failed) ? "malformed_answer"
                                                   : "connection_lost";
            if (answer.first_byte.count() == 0 && !parser.get().body().empty())
                answer.first_byte = since(sent);
        }
        return "";
    }

    static std::chrono::microseconds since(clock::time_point begin)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(clock::now() -
                                                                     begin);
    }
};

load_client::load_client(target instance, std::chrono::milliseconds timeout)
    : state_(std::make_unique<state>())
{
    state_->instance = std::move(instance);
    state_->timeout = timeout;
}

load_client::~load_client() = default;
load_client::load_client(load_client&&) noexcept = default;
load_client& load_client::operator=(load_client&&) noexcept = default;

bool load_client::connect()
{
    return state_->connect();
}

load_answer load_client::send(traced_request const& request)
{
    load_answer answer;
    auto const sent = clock::now();
    request_message const message = make_message(request);
    boost::system::error_code failed;
    http::write(state_->socket, message, failed);
    std::optional<response_parser> parser;
    // An answer may have come although the peer stopped reading, so it is read anyway.
    auto missing = state_->read(parser, sent, answer);
    // The kernel reports a reset once. The end of the connection that follows is not the
    // end of the answer.
    if (failed == asio::error::connection_reset && parser->need_eof() && missing.empty())
        missing = "connection_lost";
    answer.latency = state::since(sent);
    if (parser->is_header_done() && !is_informational(parser->get().result_int()))
    {
        auto const& response = parser->get();
        answer.status = response.result_int();
        answer.retry_after = std::string(response[http::field::retry_after]);
        answer.body = response.body();
        answer.bytes = answer.body.size();
        answer.stream =
            response[http::field::content_type].starts_with("text/event-stream");
    }
    if (answer.stream)
        answer.whole = read_events(answer.body, answer) && missing.empty();
    else
    {
        read_document(answer.body, answer);
        answer.whole = missing.empty();
    }
    if (!missing.empty() && answer.code.empty())
        answer.code = missing;
    if (!missing.empty() || !parser->get().keep_alive())
        state_->close();
    return answer;
}

bool load_client::is_ready()
{
    if (!connect())
        return false;
    request_message message(http::verb::get, "/readyz", 11);
    message.set(http::field::host, "127.0.0.1");
    boost::system::error_code failed;
    http::write(state_->socket, message, failed);
    std::optional<response_parser> parser;
    load_answer answer;
    bool const whole = state_->read(parser, clock::now(), answer).empty();
    bool const ready = whole && parser->get().result() == http::status::ok;
    if (!whole || !parser->get().keep_alive())
        state_->close();
    return ready;
}

} // namespace carawayturn::load
