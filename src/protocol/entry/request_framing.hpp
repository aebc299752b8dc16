#pragma once

#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <string_view>

namespace carawayturn::entry
{

/// Ways in which the head of a caller's request leaves its length or its destination in
/// doubt. A request that the next server could read otherwise is never passed on.
enum class framing_fault : std::uint8_t
{
    none,
    /// A transfer coding other than chunked.
    unknown_coding,
    /// A transfer coding beside a length, twice, or in HTTP/1.0.
    ambiguous_length,
    /// No host in HTTP/1.1, or more than one.
    ambiguous_host
};

/// Name of a fault in the log.
[[nodiscard]] std::string_view name_of(framing_fault fault);
/// Status of the answer to a request with this fault.
[[nodiscard]] unsigned status_of(framing_fault fault);

[[nodiscard]] framing_fault
find_framing_fault(boost::beast::http::request_header<> const& head);

} // namespace carawayturn::entry
