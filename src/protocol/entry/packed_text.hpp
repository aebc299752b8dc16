#pragma once

#include "state/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Compresses a text with zlib for messages between instances. The result is called
/// packed.
[[nodiscard]] std::string pack(std::string_view text);

/// Returns the original text of packed bytes.
/// Errors: protocol_violation if the bytes are not valid or the text is longer than
/// `limit` bytes.
[[nodiscard]] result<std::string> unpack(std::string_view packed, std::size_t limit);

} // namespace carawayturn::entry
