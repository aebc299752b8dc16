#pragma once

#include "state/fleet_config.hpp"

#include <string>
#include <vector>

namespace carawayturn::cli
{

/// Lists the differences between two configurations, one line each: "+ models[base]",
/// "- adapters[notes]" or "~ organisations[acme]" with the old and new text. Versions are
/// ignored.
[[nodiscard]] std::vector<std::string> diff_configs(fleet_config const& before,
                                                    fleet_config const& after);

} // namespace carawayturn::cli
