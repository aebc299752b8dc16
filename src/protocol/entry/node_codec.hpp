#pragma once

#include "state/entry/node_message.hpp"
#include "state/result.hpp"

#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Longest message between instances, in bytes.
inline constexpr std::size_t max_node_message = std::size_t{4} << 20U;

[[nodiscard]] std::string encode(node_status const& message);
[[nodiscard]] std::string encode(node_update const& message);

/// Errors: protocol_violation for bytes that are not such a message.
[[nodiscard]] result<node_status> decode_status(std::string_view bytes);
[[nodiscard]] result<node_update> decode_update(std::string_view bytes);

} // namespace carawayturn::entry
