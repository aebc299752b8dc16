#pragma once

#include "protocol/view_buffer.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <istream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

// Writing and reading of messages between instances through cereal archives, for
// node_codec.cpp only. cereal's own functions for strings and lists size them by a length
// from the input, so that a few bytes could take any amount of memory; and they write
// each integer in full, while most are small. Each structure has a function fields(io,
// value) that lists its members once for both directions.
namespace carawayturn::entry::node_archive
{

/// A value as fields() sees it: writable for a reader, constant for a writer.
template <class Archive, class T>
using field_reference = std::conditional_t<Archive::reading, T&, T const&>;

/// Seven bits of an integer are written in a byte, the lowest first; the eighth tells
/// that more follow.
inline constexpr unsigned varint_bits_per_byte = 7;
inline constexpr std::uint8_t continuation_bit = 0x80;
/// Bytes of the greatest integer.
inline constexpr std::size_t max_varint_bytes = 10;
/// Memory for the items of a message's lists: four times the longest message. The
/// shortest items take up to 40 times their bytes; a record of a server takes some 250
/// bytes for 60.
inline constexpr std::size_t max_list_memory = std::size_t{16} << 20U;

class message_writer
{
public:
    static constexpr bool reading = false;

    template <class... Values>
    void operator()(Values const&... values)
    {
        (write_value(values), ...);
    }

    [[nodiscard]] std::string release() { return std::move(stream_).str(); }

private:
    void write_varint(std::uint64_t source)
    {
        std::array<std::uint8_t, max_varint_bytes> bytes{};
        std::size_t count = 0;
        while (source >= continuation_bit)
        {
            bytes.at(count++) = static_cast<std::uint8_t>(source | continuation_bit);
            source >>= varint_bits_per_byte;
        }
        bytes.at(count++) = static_cast<std::uint8_t>(source);
        archive_(cereal::binary_data(bytes.data(), count));
    }
    template <class T>
    void write_value(T const& source)
    {
        if constexpr (std::is_same_v<T, double>)
            archive_(source);
        else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>)
            // Small negative numbers become small positive ones.
            write_varint((static_cast<std::uint64_t>(source) << 1U) ^
                         static_cast<std::uint64_t>(source >> 63));
        else if constexpr (std::is_integral_v<T>)
            write_varint(source);
        else
            serialize_fields(*this, source);
    }
    void write_value(std::string const& source)
    {
        write_varint(source.size());
        archive_(cereal::binary_data(source.data(), source.size()));
    }
    template <class T>
    void write_value(std::vector<T> const& source)
    {
        write_varint(source.size());
        for (auto const& item : source)
            write_value(item);
    }

    std::ostringstream stream_;
    cereal::PortableBinaryOutputArchive archive_{stream_};
};

/// Throws std::exception for bytes that are no message.
class message_reader
{
public:
    static constexpr bool reading = true;

    /// @param items_memory bytes that the items of all lists may take.
    explicit message_reader(std::string_view bytes,
                            std::size_t list_memory = max_list_memory)
        : buffer_(bytes), list_memory_(list_memory), stream_(&buffer_), archive_(stream_)
    {
    }

    /// What is left of that memory.
    [[nodiscard]] std::size_t list_memory() const { return list_memory_; }

    template <class... Values>
    void operator()(Values&... values)
    {
        (read_value(values), ...);
    }

    [[nodiscard]] bool at_end() const { return buffer_.remaining() == 0; }

private:
    [[nodiscard]] std::uint64_t read_varint()
    {
        std::uint64_t result = 0;
        for (unsigned shift = 0; shift < 64; shift += varint_bits_per_byte)
        {
            auto const read = buffer_.sbumpc();
            if (read == view_buffer::traits_type::eof())
                throw std::runtime_error("the message ends in an integer");
            auto const part = static_cast<std::uint8_t>(read);
            result |= static_cast<std::uint64_t>(part & ~continuation_bit) << shift;
            if ((part & continuation_bit) == 0)
                return result;
        }
        throw std::runtime_error("an integer is too long");
    }
    /// Each byte and each item takes a byte of the input or more.
    [[nodiscard]] std::size_t read_length()
    {
        auto const size = read_varint();
        if (size > buffer_.remaining())
            throw std::runtime_error("a length goes beyond the message");
        return static_cast<std::size_t>(size);
    }
    template <class T>
    void read_value(T& target)
    {
        if constexpr (std::is_same_v<T, double>)
        {
            archive_(target);
        }
        else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>)
        {
            auto const zigzag = read_varint();
            target = static_cast<T>((zigzag >> 1U) ^ (~(zigzag & 1U) + 1U));
        }
        else if constexpr (std::is_integral_v<T>)
        {
            target = static_cast<T>(read_varint());
        }
        else
        {
            serialize_fields(*this, target);
        }
    }
    void read_value(std::string& target)
    {
        target.resize(read_length());
        archive_(cereal::binary_data(target.data(), target.size()));
    }
    template <class T>
    void read_value(std::vector<T>& target)
    {
        auto const count = read_length();
        if (count > list_memory_ / sizeof(T))
            throw std::runtime_error("a list takes too much memory");
        list_memory_ -= count * sizeof(T);
        target.clear();
        for (std::size_t i = 0; i < count; ++i)
            read_value(target.emplace_back());
    }

    view_buffer buffer_;
    /// Left for lists that follow.
    std::size_t list_memory_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

} // namespace carawayturn::entry::node_archive
