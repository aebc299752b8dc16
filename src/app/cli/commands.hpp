#pragma once

#include "app/cli/exit_code.hpp"
#include "state/fleet.hpp"

#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::cli
{

/// Settings of the tool, from flags and environment variables, already checked.
struct cli_settings
{
    endpoint admin;
    std::string operator_token;
    /// Version that a submission must follow; 0 for any.
    std::uint64_t expected_version = 0;
};

/// Where a command writes. Results go to `out`, errors to `err`.
struct cli_streams
{
    std::ostream& out;
    std::ostream& err;
};

/// One command of the tool.
struct command
{
    std::string_view name;
    std::string_view parameters;
    std::string_view help;
    std::size_t parameter_count = 0;
    exit_code (*run)(cli_settings const& settings,
                     std::vector<std::string> const& parameters,
                     cli_streams streams) = nullptr;
};

/// All commands, in the order of the help text.
[[nodiscard]] std::span<command const> commands();

/// Runs the command that the words name; prints a usage error for unknown ones.
[[nodiscard]] exit_code run_command(cli_settings const& settings,
                                    std::vector<std::string> const& words,
                                    cli_streams streams);

/// Parses "ADDRESS:PORT" with an IP address; empty if it is not one.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace carawayturn::cli
