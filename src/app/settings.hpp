#pragma once

#include "coordination/instance_core.hpp"
#include "state/log_catalogue.hpp"
#include "state/result.hpp"
#include "transport/instance_server.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace carawayturn
{

/// All settings of carawayturnd, checked.
struct daemon_settings
{
    server_settings server;
    core_settings core;
    log_level least_level = log_level::info;
    /// Objects such as answers too large for the table; unused while empty.
    endpoint object_store;
};

/// Returns the text given for a setting by its name, for example "lease_ms"; empty if
/// none was given.
using setting_lookup = std::function<std::optional<std::string>(std::string_view name)>;

/// Checks and combines settings. Each is taken from the flags, else from the environment
/// (there named CARAWAYTURN_<NAME>), else it has its default. The error's step is the
/// setting's name; its detail gives the value and what is allowed. Secrets are never
/// shown.
[[nodiscard]] result<daemon_settings> read_settings(setting_lookup const& flags,
                                                    setting_lookup const& environment);

/// Returns the name of a setting's environment variable.
[[nodiscard]] std::string environment_name(std::string_view setting);

/// Returns the text of --help: usage, all settings with defaults and ranges, exit codes.
[[nodiscard]] std::string settings_help();

/// Parses the command line and reads the settings from it and from the environment. Ends
/// the process with exit_usage on an unknown flag.
[[nodiscard]] result<daemon_settings> read_command_line(int argc, char** argv);

/// Exit codes of carawayturnd.
enum exit_code : int
{
    /// Drained and stopped.
    exit_ok = 0,
    /// A flag or a setting is wrong.
    exit_usage = 1,
    /// A port could not be bound.
    exit_start_failed = 2,
    exit_internal = 3
};

} // namespace carawayturn
