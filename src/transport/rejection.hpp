#pragma once

#include "state/identifiers.hpp"

#include <optional>
#include <string_view>

namespace carawayturn
{

/// Whether a backend server's answer proves that it did not run the request: an engine
/// that is overloaded (429, 503), or any error answer that says "ran":"not-run". A
/// plain service's bare 503 proves nothing.
[[nodiscard]] bool proves_not_run(unsigned status, std::string_view body, bool chat);

/// Finds the tokens used in a whole event stream; the last event that tells counts.
[[nodiscard]] std::optional<token_count> usage_in_stream(std::string_view stream);

} // namespace carawayturn
