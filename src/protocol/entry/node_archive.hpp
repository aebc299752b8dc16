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
template <class Io, class T>
using described = std::conditional_t<Io::reading, T&, T const&>;

/// Seven bits of an integer are written in a byte, the lowest first; the eighth tells
/// that more follow.
inline constexpr unsigned bits_per_byte = 7;
inline constexpr std::uint8_t more_bit = 0x80;
/// Bytes of the greatest integer.
inline constexpr std::size_t longest_integer = 10;
/// Memory for the items of a message's lists: four times the longest message. The
/// shortest items take up to 40 times their bytes; a record of a server takes some 250
/// bytes for 60.
inline constexpr std::size_t max_items_memory = std::size_t{16} << 20U;

class message_writer
{
public:
    static constexpr bool reading = false;

    template <class... Values>
    void operator()(Values const&... values)
    {
        (value(values), ...);
    }

    [[nodiscard]] std::string release() { return std::move(stream_).str(); }

private:
    void integer(std::uint64_t source)
    {
        std::array<std::uint8_t, longest_integer> bytes{};
        std::size_t count = 0;
        while (source >= more_bit)
        {
            bytes.at(count++) = static_cast<std::uint8_t>(source | more_bit);
            source >>= bits_per_byte;
        }
        bytes.at(count++) = static_cast<std::uint8_t>(source);
        archive_(cereal::binary_data(bytes.data(), count));
    }
    template <class T>
    void value(T const& source)
    {
        if constexpr (std::is_same_v<T, double>)
            archive_(source);
        else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>)
            // Small negative numbers become small positive ones.
            integer((static_cast<std::uint64_t>(source) << 1U) ^
                    static_cast<std::uint64_t>(source >> 63));
        else if constexpr (std::is_integral_v<T>)
            integer(source);
        else
            fields(*this, source);
    }
    void value(std::string const& source)
    {
        integer(source.size());
        archive_(cereal::binary_data(source.data(), source.size()));
    }
    template <class T>
    void value(std::vector<T> const& source)
    {
        integer(source.size());
        for (auto const& item : source)
            value(item);
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
                            std::size_t items_memory = max_items_memory)
        : buffer_(bytes), items_memory_(items_memory), stream_(&buffer_),
          archive_(stream_)
    {
    }

    /// What is left of that memory.
    [[nodiscard]] std::size_t items_memory() const { return items_memory_; }

    template <class... Values>
    void operator()(Values&... values)
    {
        (value(values), ...);
    }

    [[nodiscard]] bool at_end() const { return buffer_.remaining() == 0; }

private:
    [[nodiscard]] std::uint64_t integer()
    {
        std::uint64_t result = 0;
        for (unsigned shift = 0; shift < 64; shift += bits_per_byte)
        {
            auto const read = buffer_.sbumpc();
            if (read == view_buffer::traits_type::eof())
                throw std::runtime_error("the message ends in an integer");
            auto const part = static_cast<std::uint8_t>(read);
            result |= static_cast<std::uint64_t>(part & ~more_bit) << shift;
            if ((part & more_bit) == 0)
                return result;
        }
        throw std::runtime_error("an integer is too long");
    }
    /// Each byte and each item takes a byte of the input or more.
    [[nodiscard]] std::size_t length()
    {
        auto const told = integer();
        if (told > buffer_.remaining())
            throw std::runtime_error("a length goes beyond the message");
        return static_cast<std::size_t>(told);
    }
    template <class T>
    void value(T& target)
    {
        if constexpr (std::is_same_v<T, double>)
        {
            archive_(target);
        }
        else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>)
        {
            auto const coded = integer();
            target = static_cast<T>((coded >> 1U) ^ (~(coded & 1U) + 1U));
        }
        else if constexpr (std::is_integral_v<T>)
        {
            target = static_cast<T>(integer());
        }
        else
        {
            fields(*this, target);
        }
    }
    void value(std::string& target)
    {
        target.resize(length());
        archive_(cereal::binary_data(target.data(), target.size()));
    }
    template <class T>
    void value(std::vector<T>& target)
    {
        auto const count = length();
        if (count > items_memory_ / sizeof(T))
            throw std::runtime_error("a list takes too much memory");
        items_memory_ -= count * sizeof(T);
        target.clear();
        for (std::size_t i = 0; i < count; ++i)
            value(target.emplace_back());
    }

    view_buffer buffer_;
    /// Left for lists that follow.
    std::size_t items_memory_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

} // namespace carawayturn::entry::node_archive
