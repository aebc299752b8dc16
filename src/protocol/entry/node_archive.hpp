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

// Serializes messages between instances through cereal archives; included by
// node_codec.cpp only. cereal's own functions for strings and vectors are not used: they
// resize to a length from the input, so that a few bytes could allocate any amount of
// memory, and they write integers at full width although most are small. Each structure
// has one function serialize_fields(archive, value) that lists its members for both
// directions.
namespace carawayturn::entry::node_archive
{

/// Type of the value parameter of serialize_fields(): mutable for a reader, const for a
/// writer.
template <class Archive, class T>
using field_reference = std::conditional_t<Archive::reading, T&, T const&>;

/// Integers are written as varints: seven bits per byte, the lowest first. The eighth bit
/// is set if more bytes follow.
inline constexpr unsigned varint_bits_per_byte = 7;
inline constexpr std::uint8_t continuation_bit = 0x80;
/// Size of the largest 64-bit varint, in bytes.
inline constexpr std::size_t max_varint_bytes = 10;
/// Memory limit for the items of all lists of a message: four times the largest message.
/// The shortest items take up to 40 times their encoded size in memory; a backend
/// server's record takes about 250 bytes for 60 encoded ones.
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
            // Zigzag encoding maps small negative numbers to small unsigned ones.
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

/// Reads a message. Throws an exception derived from std::exception if the bytes are not
/// valid.
class message_reader
{
public:
    static constexpr bool reading = true;

    /// @param list_memory memory limit for the items of all lists, in bytes.
    explicit message_reader(std::string_view bytes,
                            std::size_t list_memory = max_list_memory)
        : buffer_(bytes), list_memory_(list_memory), stream_(&buffer_), archive_(stream_)
    {
    }

    /// Returns how much of the memory limit for list items is left.
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
                throw std::runtime_error("the message ends inside an integer");
            auto const part = static_cast<std::uint8_t>(read);
            result |= static_cast<std::uint64_t>(part & ~continuation_bit) << shift;
            if ((part & continuation_bit) == 0)
                return result;
        }
        throw std::runtime_error("an integer is too long");
    }
    /// Reads the length of a string or list. Each character or item takes at least one
    /// byte of the input, so a length beyond the remaining bytes is invalid.
    [[nodiscard]] std::size_t read_length()
    {
        auto const size = read_varint();
        if (size > buffer_.remaining())
            throw std::runtime_error("a length exceeds the rest of the message");
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
    /// Memory left for the items of the lists that follow, in bytes.
    std::size_t list_memory_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

} // namespace carawayturn::entry::node_archive
