#include "protocol/entry/packed_text.hpp"

#include <zlib.h>

#include <cstdint>

namespace carawayturn::entry
{

namespace
{

/// Size of the text's length, which precedes the compressed bytes in little-endian order.
constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_in_byte = 8;

Bytef const* as_bytes(char const* text)
{
    return reinterpret_cast<Bytef const*>(text);
}

} // namespace

std::string pack(std::string_view text)
{
    auto size = compressBound(text.size());
    std::string packed(length_bytes + size, '\0');
    for (unsigned i = 0; i < length_bytes; ++i)
        packed.at(i) = static_cast<char>((text.size() >> (bits_in_byte * i)) & 0xffU);
    // Cannot fail: the output buffer has the size that compressBound() returned.
    ::compress2(reinterpret_cast<Bytef*>(packed.data() + length_bytes), &size,
                as_bytes(text.data()), text.size(), Z_BEST_SPEED);
    packed.resize(length_bytes + size);
    return packed;
}

result<std::string> unpack(std::string_view packed, std::size_t limit)
{
    error const violation{error_code::protocol_violation, "unpack text", "",
                          "is not a valid packed text"};
    if (packed.size() < length_bytes)
        return violation;
    std::size_t declared_size = 0;
    for (unsigned i = 0; i < length_bytes; ++i)
        declared_size |= static_cast<std::size_t>(static_cast<std::uint8_t>(packed[i]))
                         << (bits_in_byte * i);
    if (declared_size > limit)
        return violation;
    std::string text(declared_size, '\0');
    uLongf size = declared_size;
    auto const bytes = packed.substr(length_bytes);
    auto const outcome = ::uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                      as_bytes(bytes.data()), bytes.size());
    if (outcome != Z_OK || size != declared_size)
        return violation;
    return text;
}

} // namespace carawayturn::entry
