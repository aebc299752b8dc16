#pragma once

#include "state/fleet.hpp"
#include "state/result.hpp"

#include <string>
#include <string_view>

namespace carawayturn::cli
{

/// Checks a settings file of an instance on the platform; returns a summary.
[[nodiscard]] result<std::string> check_entry_settings(std::string_view text);

/// Checks a configuration as operators write it to the platform's store; returns a
/// summary.
[[nodiscard]] result<std::string> check_entry_config(std::string_view text);

/// Reads a page of the metrics address of an instance on the platform, for example
/// "/state". Errors: those of call_http(), and protocol_violation for an answer other
/// than 200.
[[nodiscard]] result<std::string> read_entry_page(endpoint const& address,
                                                  std::string const& target);

} // namespace carawayturn::cli
