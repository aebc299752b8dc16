#pragma once

#include "state/fleet_config.hpp"
#include "state/result.hpp"

#include <string>
#include <string_view>

namespace carawayturn
{

/// Prints a configuration as JSON in the format of docs/config.schema.json.
[[nodiscard]] std::string print_config(fleet_config const& config);

/// Reads a configuration from JSON and checks it as a whole with validate(). The error's
/// step names the field. Unknown fields, duplicate names and nesting beyond the limit are
/// errors.
[[nodiscard]] result<fleet_config> parse_config(std::string_view text);

/// Prints one change of the configuration log as JSON.
[[nodiscard]] std::string print_change(config_change const& change);

/// Reads one change from JSON. A replacement is checked with validate().
[[nodiscard]] result<config_change> parse_change(std::string_view text);

} // namespace carawayturn
