#pragma once

#include "state/request.hpp"
#include "state/result.hpp"
#include "transport/http_types.hpp"

#include <string_view>

namespace carawayturn
{

/// The path of chat completions; all others are plain routes.
inline constexpr std::string_view chat_path = "/v1/chat/completions";

/// Reads what the core needs to know of a request: everything but its id. The error's
/// detail can be shown to the caller.
[[nodiscard]] result<caller_request> read_caller_request(http_request const& request);

/// Reads X-Request-Id; empty if it is absent, an error if it is not usable as an id.
[[nodiscard]] result<request_id> read_request_id(http_headers const& headers);

} // namespace carawayturn
