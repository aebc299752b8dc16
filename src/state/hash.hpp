#pragma once

#include "state/identifiers.hpp"

#include <string>
#include <string_view>

namespace carawayturn
{

/// Returns the SHA-256 of the text in lower-case hexadecimal.
[[nodiscard]] digest sha256(std::string_view text);

/// Returns the HMAC-SHA-256 of the text under the secret, as 32 raw bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view secret, std::string_view text);

/// Compares two byte strings in a time that does not depend on their content.
[[nodiscard]] bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace carawayturn
