#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>

namespace carawayturn
{

/// Parses the head of an HTTP message. Returns false if it is invalid or incomplete.
template <class Parser>
[[nodiscard]] bool read_head(Parser& parser, std::uint32_t limit,
                             std::uint8_t const* data, std::size_t size)
{
    parser.header_limit(limit);
    boost::system::error_code failure;
    parser.put(boost::asio::buffer(data, size), failure);
    return !failure && parser.is_header_done();
}

} // namespace carawayturn
