#pragma once

#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Returns the JSON text with U+FFFD in place of what is no Unicode text: bytes that are
/// not valid UTF-8, and escaped halves of a surrogate pair. Parsers reject a whole
/// document because of one of them.
[[nodiscard]] std::string replace_invalid_text(std::string_view json);

} // namespace carawayturn::entry
