#include "transport/caller_request_reader.hpp"

#include "protocol/caller_codec.hpp"
#include "state/hash.hpp"

#include <algorithm>
#include <charconv>

namespace carawayturn
{

namespace
{

constexpr std::size_t max_id_length = 128;
constexpr std::size_t max_idempotency_key_length = 256;
/// A day; longer deadlines are mistakes in the unit.
constexpr std::int64_t max_deadline_ms = 86'400'000;

error bad_header(std::string const& name, std::string const& detail)
{
    return {error_code::invalid_input, name, {}, name + " " + detail};
}

result<std::monostate> read_deadline(http_headers const& headers, caller_request& out)
{
    auto const* const text = find_header(headers, "X-Deadline-Ms");
    if (text == nullptr)
        return std::monostate{};
    std::int64_t value = 0;
    auto const* const end = text->data() + text->size();
    auto const [stopped, failure] = std::from_chars(text->data(), end, value);
    if (failure != std::errc{} || stopped != end || value < 1 || value > max_deadline_ms)
        return bad_header("X-Deadline-Ms", "must be a whole number from 1 to " +
                                               std::to_string(max_deadline_ms));
    out.time_limit = std::chrono::milliseconds(value);
    return std::monostate{};
}

result<std::monostate> read_idempotency_key(http_headers const& headers,
                                            caller_request& out)
{
    auto const* const text = find_header(headers, "Idempotency-Key");
    if (text == nullptr)
        return std::monostate{};
    if (text->empty() || text->size() > max_idempotency_key_length)
        return bad_header("Idempotency-Key",
                          "must have 1 to " + std::to_string(max_idempotency_key_length) +
                              " characters");
    out.idempotency_key = *text;
    return std::monostate{};
}

result<std::monostate> read_chat(http_request const& request, caller_request& out)
{
    if (request.method != "POST")
        return error{
            error_code::invalid_input, "method", {}, "chat completions use POST"};
    auto const parsed = parse_chat_request(request.body);
    if (!succeeded(parsed))
    {
        auto const& failure = std::get<error>(parsed);
        return error{
            failure.code, failure.step, {}, failure.step + ": " + failure.detail};
    }
    auto const& chat = std::get<chat_request>(parsed);
    out.model = chat.model;
    out.stream = chat.stream;
    out.prompt_tokens = chat.prompt_tokens;
    out.max_tokens = chat.max_tokens;
    out.prefix_hash = chat.prefix_hash;
    return std::monostate{};
}

bool usable_in_id(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
           letter == '.' || letter == ':';
}

} // namespace

result<caller_request> read_caller_request(http_request const& request)
{
    caller_request out;
    out.method = request.method;
    out.path = path_of(request.target);
    out.key = request.key;
    out.body = sha256(request.body);
    auto step = read_deadline(request.headers, out);
    if (succeeded(step))
        step = read_idempotency_key(request.headers, out);
    if (succeeded(step) && out.path == chat_path)
        step = read_chat(request, out);
    if (!succeeded(step))
        return std::get<error>(step);
    return out;
}

result<request_id> read_request_id(http_headers const& headers)
{
    auto const* const text = find_header(headers, "X-Request-Id");
    if (text == nullptr)
        return request_id{};
    // The id becomes part of a path at the engine and of log lines.
    if (text->empty() || text->size() > max_id_length ||
        !std::all_of(text->begin(), text->end(), usable_in_id))
        return bad_header("X-Request-Id",
                          "must have 1 to 128 letters, digits or any of '-_.:'");
    return request_id(*text);
}

} // namespace carawayturn
