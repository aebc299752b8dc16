#include "protocol/entry/json_text.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace carawayturn::entry
{

namespace
{

constexpr std::string_view replacement = "\xef\xbf\xbd";
/// Length of an escape with four hexadecimal digits: \uXXXX.
constexpr std::size_t unicode_escape_size = 6;

/// Returns the code unit of the \uXXXX escape at the beginning of the text, if there is
/// one.
std::optional<std::uint32_t> escaped_unit(std::string_view text)
{
    if (text.size() < unicode_escape_size || text.substr(0, 2) != "\\u")
        return std::nullopt;
    std::uint32_t unit = 0;
    auto const* const end = text.data() + unicode_escape_size;
    auto const parsed = std::from_chars(text.data() + 2, end, unit, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return unit;
}

bool is_high_surrogate(std::uint32_t unit)
{
    return unit >= 0xd800 && unit <= 0xdbff;
}

bool is_low_surrogate(std::uint32_t unit)
{
    return unit >= 0xdc00 && unit <= 0xdfff;
}

/// Copies the escape at the beginning of the text. Returns its length.
std::size_t copy_escape(std::string_view text, std::string& out)
{
    auto const unit = escaped_unit(text);
    if (!unit)
    {
        auto const size = std::min<std::size_t>(text.size(), 2);
        out += text.substr(0, size);
        return size;
    }
    if (is_high_surrogate(*unit))
    {
        auto const next = escaped_unit(text.substr(unicode_escape_size));
        if (next && is_low_surrogate(*next))
        {
            out += text.substr(0, 2 * unicode_escape_size);
            return 2 * unicode_escape_size;
        }
    }
    if (is_high_surrogate(*unit) || is_low_surrogate(*unit))
        out += replacement;
    else
        out += text.substr(0, unicode_escape_size);
    return unicode_escape_size;
}

struct lead_byte
{
    unsigned char first = 0;
    unsigned char last = 0;
    std::size_t size = 0;
    /// Range of the second byte; the others are 0x80 to 0xbf.
    unsigned char second_first = 0x80;
    unsigned char second_last = 0xbf;
};

/// The well-formed sequences of UTF-8 (Unicode, table 3-7).
constexpr lead_byte lead_bytes[] = {{0xc2, 0xdf, 2}, {0xe0, 0xe0, 3, 0xa0, 0xbf},
                                    {0xe1, 0xec, 3}, {0xed, 0xed, 3, 0x80, 0x9f},
                                    {0xee, 0xef, 3}, {0xf0, 0xf0, 4, 0x90, 0xbf},
                                    {0xf1, 0xf3, 4}, {0xf4, 0xf4, 4, 0x80, 0x8f}};

/// Returns the length of the UTF-8 sequence at the beginning of the text; 0 if it is not
/// well-formed.
std::size_t sequence_size(std::string_view text)
{
    auto const byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    for (auto const& lead : lead_bytes)
    {
        if (byte(0) < lead.first || byte(0) > lead.last)
            continue;
        if (text.size() < lead.size || byte(1) < lead.second_first ||
            byte(1) > lead.second_last)
            return 0;
        for (std::size_t i = 2; i < lead.size; ++i)
            if (byte(i) < 0x80 || byte(i) > 0xbf)
                return 0;
        return lead.size;
    }
    return 0;
}

} // namespace

std::string replace_invalid_text(std::string_view json)
{
    std::string out;
    out.reserve(json.size());
    while (!json.empty())
    {
        std::size_t taken = 1;
        if (json.front() == '\\')
            taken = copy_escape(json, out);
        else if (static_cast<unsigned char>(json.front()) < 0x80)
            out += json.front();
        else if (auto const size = sequence_size(json); size != 0)
        {
            out += json.substr(0, size);
            taken = size;
        }
        else
            out += replacement;
        json.remove_prefix(taken);
    }
    return out;
}

} // namespace carawayturn::entry
