#pragma once

#include "state/fleet.hpp"
#include "state/result.hpp"
#include "state/time.hpp"
#include "transport/http_types.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn
{

/// One HTTP/1.1 request for call_http(). Host, Content-Length and Connection are added.
struct http_call
{
    endpoint to;
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;
    /// For the whole call, from connecting to the last byte of the answer.
    duration timeout = std::chrono::seconds(5);
    /// Largest answer body accepted.
    std::size_t max_answer_bytes = std::size_t{64} << 20U;
};

struct http_answer
{
    unsigned status = 0;
    std::vector<http_header> headers;
    std::string body;

    /// Returns the value of the first header of this name, in any case; empty if absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Makes the call on a connection of its own and blocks until the whole answer is there.
/// Any status from 200 to 599 is an answer; informational ones are skipped. Errors:
/// invalid_input (address, method, target or header), unavailable (no connection: the
/// request was not sent), timeout, limit_exceeded (answer too large), unknown_outcome
/// (connection lost after it was made, or bytes that are no answer: the request may have
/// run). The step is "http.connect", "http.send" or "http.receive".
[[nodiscard]] result<http_answer> call_http(http_call const& call);

} // namespace carawayturn
