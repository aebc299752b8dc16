#include "state/result.hpp"

#include <array>

namespace carawayturn
{

std::string_view name_of(error_code code)
{
    static constexpr std::array<std::string_view, 10> names{
        "invalid_input",     "not_found",      "conflict",
        "unavailable",       "timeout",        "unknown_outcome",
        "permission_denied", "limit_exceeded", "protocol_violation",
        "internal"};
    return names.at(static_cast<std::size_t>(code));
}

std::string to_string(error const& value)
{
    std::string text(name_of(value.code));
    text += " at " + value.step;
    if (!value.peer.empty())
        text += " (" + value.peer + ")";
    if (!value.detail.empty())
        text += ": " + value.detail;
    return text;
}

} // namespace carawayturn
