#pragma once

#include "state/identifiers.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn
{

struct http_header
{
    std::string name;
    std::string value;
};
using http_headers = std::vector<http_header>;

/// Finds a header by name, without regard to case; null if it is absent.
[[nodiscard]] std::string const* find_header(http_headers const& headers,
                                             std::string_view name);

/// Whether two header names or tokens are equal without regard to ASCII case.
[[nodiscard]] bool equal_ignoring_case(std::string_view left, std::string_view right);

/// Returns the headers that may be passed to the next hop: none that belong to one
/// connection (RFC 9110, section 7.6.1, with those that "Connection" names), no
/// credentials, and none that the sender sets itself, such as Host or X-Request-Id.
/// Accept-Encoding is dropped as well, because token counts are read from the answers.
[[nodiscard]] http_headers forwardable(http_headers const& headers);

/// A request as a server read it. The caller's key is present as its digest only.
struct http_request
{
    std::string method;
    /// Path with its query.
    std::string target;
    /// Without Authorization and Proxy-Authorization.
    http_headers headers;
    std::string body;
    std::optional<digest> key;
};

struct http_answer_head
{
    unsigned status = 200;
    http_headers headers;
};

/// Returns the target without its query.
[[nodiscard]] std::string_view path_of(std::string_view target);

} // namespace carawayturn
