#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayturn::standins
{

/// What an engine reads of a chat-completions body.
struct chat_body
{
    std::string model;
    /// The "user" field, by which callers tell their requests apart.
    std::string reference;
    bool stream = false;
    /// One token for each four bytes of message content, rounded up.
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    /// Hash of the first message's beginning.
    std::string prefix;
};

/// Reads a body; empty if it is not a JSON object with a model.
[[nodiscard]] std::optional<chat_body> read_chat_body(std::string_view text);

/// Usage counts of one answer. The completion is counted from its first token also when
/// the answer was resumed at an offset.
struct chat_usage
{
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;
};

/// Prints the event for one token.
[[nodiscard]] std::string print_token_event(std::string const& id,
                                            std::string const& model,
                                            std::string_view token);
/// Prints the last event, with the finish reason and the usage.
[[nodiscard]] std::string print_last_event(std::string const& id,
                                           std::string const& model, chat_usage usage);
/// Prints the answer to a request without streaming.
[[nodiscard]] std::string print_whole_answer(std::string const& id,
                                             std::string const& model,
                                             std::string_view text, chat_usage usage);

} // namespace carawayturn::standins
