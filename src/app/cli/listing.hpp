#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace carawayturn::cli
{

/// Part of a state dump that "carawayturn list" can show.
enum class listed_part
{
    runners,
    models,
    leases,
    budgets
};

/// Finds a part by its name on the command line.
[[nodiscard]] std::optional<listed_part> find_listed_part(std::string_view name);

/// Picks the part out of a state dump and prints it as indented JSON.
[[nodiscard]] std::string print_part(listed_part part, std::string_view state_dump);

/// Prints JSON with two spaces of indentation a level; other text is returned as it is.
[[nodiscard]] std::string indent_json(std::string_view text);

} // namespace carawayturn::cli
