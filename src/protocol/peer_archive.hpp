#pragma once

#include "protocol/view_buffer.hpp"
#include "state/fleet.hpp"
#include "state/fleet_config.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <istream>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

// Writing and reading of peer messages through cereal archives, for peer_codec.cpp only.
// cereal's own container functions are not used: they size containers by lengths from the
// input and read any byte into a bool. Each structure has a function
// fields(io, value) that lists its members once for both directions.

namespace carawayturn::peer_archive
{

/// A value as fields() sees it: writable for a reader, constant for a writer.
template <class Io, class T>
using described = std::conditional_t<Io::reading, T&, T const&>;

/// Number of values of each enumeration on the wire.
constexpr std::uint8_t count_of(instance_state)
{
    return 4;
}
constexpr std::uint8_t count_of(pool_kind)
{
    return 2;
}

class peer_writer
{
public:
    static constexpr bool reading = false;

    peer_writer()
        : archive_(stream_, cereal::PortableBinaryOutputArchive::Options::LittleEndian())
    {
    }

    template <class... Values>
    void operator()(Values const&... values)
    {
        (value(values), ...);
    }

    [[nodiscard]] std::string release() { return std::move(stream_).str(); }

private:
    template <class T>
    void value(T const& source)
    {
        if constexpr (std::is_enum_v<T> || std::is_same_v<T, bool>)
            archive_(static_cast<std::uint8_t>(source));
        else if constexpr (std::is_arithmetic_v<T>)
            archive_(source);
        else
            fields(*this, source);
    }
    void value(duration const& source) { archive_(std::int64_t{source.count()}); }
    void value(std::string const& source)
    {
        length(source.size());
        archive_(cereal::binary_data(source.data(), source.size()));
    }
    template <class Tag>
    void value(name<Tag> const& source)
    {
        value(source.str());
    }
    template <class First, class Second>
    void value(std::pair<First, Second> const& source)
    {
        (*this)(source.first, source.second);
    }
    template <class T>
    void value(std::vector<T> const& source)
    {
        list(source);
    }
    template <class T>
    void value(std::set<T> const& source)
    {
        list(source);
    }
    // The keys are the elements' own ids.
    template <class Id, class T>
    void value(std::map<Id, T> const& source)
    {
        length(source.size());
        for (auto const& [id, element] : source)
            value(element);
    }
    template <class... Types>
    void value(std::variant<Types...> const& source)
    {
        archive_(static_cast<std::uint8_t>(source.index()));
        std::visit([this](auto const& alternative) { this->value(alternative); }, source);
    }
    template <class List>
    void list(List const& source)
    {
        length(source.size());
        for (auto const& element : source)
            value(element);
    }
    void length(std::size_t count)
    {
        if (count > std::numeric_limits<std::uint32_t>::max())
            throw cereal::Exception("a list or string is too long for a peer message");
        archive_(static_cast<std::uint32_t>(count));
    }

    std::ostringstream stream_{std::ios::binary};
    cereal::PortableBinaryOutputArchive archive_;
};

/// Throws cereal::Exception on malformed input. Containers grow element by element as
/// they are read, and a length beyond the remaining bytes is refused first, so memory
/// stays in proportion to the input.
class peer_reader
{
public:
    static constexpr bool reading = true;

    explicit peer_reader(std::string_view bytes)
        : buffer_(bytes), stream_(&buffer_),
          archive_(stream_, cereal::PortableBinaryInputArchive::Options::LittleEndian())
    {
    }

    template <class... Values>
    void operator()(Values&... values)
    {
        (value(values), ...);
    }

    void finish() const
    {
        if (buffer_.remaining() != 0)
            throw cereal::Exception("bytes follow the message");
    }

private:
    template <class T>
    void value(T& target)
    {
        // A byte that is no valid bool or enumerator must not reach such a variable.
        if constexpr (std::is_enum_v<T>)
            target = static_cast<T>(small_number(count_of(T{})));
        else if constexpr (std::is_same_v<T, bool>)
            target = small_number(2) != 0;
        else if constexpr (std::is_arithmetic_v<T>)
            archive_(target);
        else
            fields(*this, target);
    }
    void value(duration& target)
    {
        std::int64_t count = 0;
        archive_(count);
        target = duration(count);
    }
    void value(std::string& target)
    {
        target.resize(length());
        archive_(cereal::binary_data(target.data(), target.size()));
    }
    template <class Tag>
    void value(name<Tag>& target)
    {
        std::string text;
        value(text);
        target = name<Tag>(std::move(text));
    }
    template <class First, class Second>
    void value(std::pair<First, Second>& target)
    {
        (*this)(target.first, target.second);
    }
    template <class T>
    void value(std::vector<T>& target)
    {
        for (std::size_t left = length(); left != 0; --left)
            value(target.emplace_back());
    }
    template <class T>
    void value(std::set<T>& target)
    {
        for (std::size_t left = length(); left != 0; --left)
        {
            T element;
            value(element);
            if (!target.insert(std::move(element)).second)
                throw cereal::Exception("a set has a repeated element");
        }
    }
    template <class Id, class T>
    void value(std::map<Id, T>& target)
    {
        for (std::size_t left = length(); left != 0; --left)
        {
            T element;
            value(element);
            Id const id = element.id;
            if (!target.emplace(id, std::move(element)).second)
                throw cereal::Exception("a map has a repeated key");
        }
    }
    template <class... Types>
    void value(std::variant<Types...>& target)
    {
        alternative<0>(target, small_number(sizeof...(Types)));
    }
    template <std::size_t Index, class... Types>
    void alternative(std::variant<Types...>& target, std::size_t index)
    {
        if constexpr (Index < sizeof...(Types))
        {
            if (index == Index)
                value(target.template emplace<Index>());
            else
                alternative<Index + 1>(target, index);
        }
    }
    std::uint8_t small_number(std::size_t limit)
    {
        std::uint8_t number = 0;
        archive_(number);
        if (number >= limit)
            throw cereal::Exception("an index or enumerator is out of range");
        return number;
    }
    std::size_t length()
    {
        std::uint32_t count = 0;
        archive_(count);
        // Every element takes at least one byte.
        if (count > buffer_.remaining())
            throw cereal::Exception("a length exceeds the message");
        return count;
    }

    view_buffer buffer_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

} // namespace carawayturn::peer_archive
