#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace carawayturn
{

/// Broad reason of an error. Names are given by name_of().
enum class error_code
{
    invalid_input,
    not_found,
    conflict,
    unavailable,
    timeout,
    unknown_outcome,
    permission_denied,
    limit_exceeded,
    protocol_violation,
    internal
};

/// Returns the stable text of the code, as it appears in logs and answers.
[[nodiscard]] std::string_view name_of(error_code code);

/// An error with the step at which it arose and the peer it concerns.
struct error
{
    error_code code = error_code::internal;
    /// What was being done, for example "table.commit" or "config.adapters[3].model".
    std::string step;
    /// The other party, for example an address or a backend server's name; empty if none.
    std::string peer;
    std::string detail;

    friend bool operator==(error const&, error const&) = default;
};

/// Formats an error as "code at step (peer): detail".
[[nodiscard]] std::string to_string(error const& value);

/// A value or the error that prevented it.
template <class T>
using result = std::variant<T, error>;

template <class T>
[[nodiscard]] bool succeeded(result<T> const& outcome)
{
    return outcome.index() == 0;
}

} // namespace carawayturn
