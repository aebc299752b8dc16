#include "chat_body.hpp"

#include "json_fields.hpp"

#include <algorithm>
#include <functional>

namespace carawayturn::standins
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t default_max_tokens = 16;
constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t prefix_bytes = 256;

std::string message_text(json::object const& body)
{
    std::string text;
    auto const* messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return text;
    for (auto const& message : messages->get_array())
    {
        if (message.is_object())
            text += text_field(message.get_object(), "content");
    }
    return text;
}

json::object print_usage(chat_usage usage)
{
    return {{"prompt_tokens", usage.prompt_tokens},
            {"completion_tokens", usage.completion_tokens},
            {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
}

json::object print_chunk(std::string const& id, std::string const& model,
                         json::object delta, json::value finish_reason)
{
    json::object choice{{"index", 0}};
    choice["delta"] = std::move(delta);
    choice["finish_reason"] = std::move(finish_reason);
    json::object chunk{{"id", id}, {"object", "chat.completion.chunk"}, {"model", model}};
    chunk["choices"] = json::array(1, choice);
    return chunk;
}

} // namespace

std::optional<chat_body> read_chat_body(std::string_view text)
{
    auto const fields = parse_object(text);
    if (!fields || text_field(*fields, "model").empty())
        return std::nullopt;
    chat_body body;
    body.model = text_field(*fields, "model");
    body.reference = text_field(*fields, "user");
    body.stream = bool_field(*fields, "stream");
    std::string const prompt = message_text(*fields);
    body.prompt_tokens = static_cast<std::int64_t>((prompt.size() + bytes_per_token - 1) /
                                                   bytes_per_token);
    body.max_tokens = std::max<std::int64_t>(
        1,
        number_field(*fields, "max_tokens",
                     number_field(*fields, "max_completion_tokens", default_max_tokens)));
    body.prefix =
        std::to_string(std::hash<std::string>{}(prompt.substr(0, prefix_bytes)));
    return body;
}

std::string print_token_event(std::string const& id, std::string const& model,
                              std::string_view token)
{
    return json::serialize(print_chunk(
        id, model, {{"content", json::string(token.data(), token.size())}}, nullptr));
}

std::string print_last_event(std::string const& id, std::string const& model,
                             chat_usage usage)
{
    json::object last = print_chunk(id, model, {}, "stop");
    last["usage"] = print_usage(usage);
    return json::serialize(last);
}

std::string print_whole_answer(std::string const& id, std::string const& model,
                               std::string_view text, chat_usage usage)
{
    json::object message{{"role", "assistant"},
                         {"content", json::string(text.data(), text.size())}};
    json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    choice["message"] = std::move(message);
    json::object answer{{"id", id}, {"object", "chat.completion"}, {"model", model}};
    answer["choices"] = json::array(1, choice);
    answer["usage"] = print_usage(usage);
    return json::serialize(answer);
}

} // namespace carawayturn::standins
