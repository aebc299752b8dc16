#pragma once

#include "state/identifiers.hpp"
#include "state/request.hpp"
#include "state/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayturn
{

/// Deepest nesting accepted in a caller's JSON body.
inline constexpr std::size_t max_json_depth = 32;

/// Fields of a chat-completions body that routing and budgets need.
struct chat_request
{
    std::string model;
    bool stream = false;
    /// Estimate from the length of the messages, one token per four bytes, rounded up.
    token_count prompt_tokens = 0;
    /// From max_tokens or max_completion_tokens; a default when absent.
    token_count max_tokens = 0;
    std::uint64_t prefix_hash = 0;
};

/// Reads a chat-completions body. The error's step names the field.
[[nodiscard]] result<chat_request> parse_chat_request(std::string_view body);

/// Prints the JSON body of a refusal.
[[nodiscard]] std::string print_refusal(request_id const& request, refusal const& reason);

/// Finds usage.total_tokens (or prompt_tokens + completion_tokens) in a chat answer or in
/// one server-sent event's data; empty if absent.
[[nodiscard]] std::optional<token_count> parse_usage(std::string_view body);

} // namespace carawayturn
