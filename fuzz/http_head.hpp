#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>

namespace carawayturn
{

/// Reads the head of a message from the bytes. Returns false if they hold no whole one.
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
