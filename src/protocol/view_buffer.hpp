#pragma once

#include <cstddef>
#include <streambuf>
#include <string_view>

namespace carawayturn
{

/// A read-only stream buffer over bytes that it does not own.
class view_buffer : public std::streambuf
{
public:
    explicit view_buffer(std::string_view bytes)
    {
        // setg() needs mutable pointers; an input buffer never writes through them.
        auto* const begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    [[nodiscard]] std::size_t remaining() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

} // namespace carawayturn
