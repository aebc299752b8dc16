#pragma once

#include "state/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Compresses a text for messages between instances.
[[nodiscard]] std::string pack(std::string_view text);

/// The text that was packed.
/// Errors: protocol_violation for bytes that are no packed text, or one above `limit`
/// bytes.
[[nodiscard]] result<std::string> unpack(std::string_view packed, std::size_t limit);

} // namespace carawayturn::entry
