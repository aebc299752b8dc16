#pragma once

#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <string_view>

namespace carawayturn::entry
{

/// Ways in which the head of a caller's request can be ambiguous about the length of the
/// body or the host. A request that the backend server could interpret differently is
/// never forwarded, because that would allow request smuggling.
enum class framing_fault : std::uint8_t
{
    none,
    /// A transfer coding other than chunked.
    unknown_coding,
    /// Transfer-Encoding together with Content-Length, either of them repeated, or
    /// Transfer-Encoding in HTTP/1.0.
    ambiguous_length,
    /// No Host header in HTTP/1.1, or more than one.
    ambiguous_host
};

/// Returns the name of a fault for the log.
[[nodiscard]] std::string_view name_of(framing_fault fault);
/// Returns the HTTP status of the answer to a request with this fault.
[[nodiscard]] unsigned status_of(framing_fault fault);

[[nodiscard]] framing_fault
find_framing_fault(boost::beast::http::request_header<> const& head);

} // namespace carawayturn::entry
