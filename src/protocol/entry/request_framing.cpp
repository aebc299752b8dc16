#include "protocol/entry/request_framing.hpp"

#include <boost/beast/core/string.hpp>

#include <array>

namespace carawayturn::entry
{

namespace
{

namespace http = boost::beast::http;

struct fault_entry
{
    std::string_view name;
    unsigned status;
};

constexpr std::array<fault_entry, 4> faults{{
    {"none", 200},
    {"unknown_coding", 501},
    {"ambiguous_length", 400},
    {"ambiguous_host", 400},
}};

constexpr unsigned http_1_1 = 11;

} // namespace

std::string_view name_of(framing_fault fault)
{
    return faults.at(static_cast<std::size_t>(fault)).name;
}

unsigned status_of(framing_fault fault)
{
    return faults.at(static_cast<std::size_t>(fault)).status;
}

framing_fault find_framing_fault(http::request_header<> const& head)
{
    auto const codings = head.count(http::field::transfer_encoding);
    auto const lengths = head.count(http::field::content_length);
    if (codings > 0 &&
        !boost::beast::iequals(head[http::field::transfer_encoding], "chunked"))
        return framing_fault::unknown_coding;
    if (codings + lengths > 1 || (codings > 0 && head.version() < http_1_1))
        return framing_fault::ambiguous_length;
    auto const hosts = head.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && head.version() >= http_1_1))
        return framing_fault::ambiguous_host;
    return framing_fault::none;
}

} // namespace carawayturn::entry
