#include "app/settings.hpp"

#include "app/setting_table.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>

#include <chrono>
#include <cstdlib>
#include <random>
#include <utility>

// One flag for each entry of setting_table.cpp. All are text, so that flags and
// environment variables go through the same checks; read_command_line() names one that
// is missing here.
#define CARAWAYTURN_SETTING(name)                                                        \
    ABSL_FLAG(std::optional<std::string>, name, std::nullopt, "See --help")
CARAWAYTURN_SETTING(instance);
CARAWAYTURN_SETTING(failure_domain);
CARAWAYTURN_SETTING(listen);
CARAWAYTURN_SETTING(admin_listen);
CARAWAYTURN_SETTING(peer_listen);
CARAWAYTURN_SETTING(table);
CARAWAYTURN_SETTING(instance_list);
CARAWAYTURN_SETTING(object_store);
CARAWAYTURN_SETTING(cluster_secret);
CARAWAYTURN_SETTING(cluster_secret_file);
CARAWAYTURN_SETTING(operator_token);
CARAWAYTURN_SETTING(operator_token_file);
CARAWAYTURN_SETTING(lease_ms);
CARAWAYTURN_SETTING(lease_renew_ms);
CARAWAYTURN_SETTING(drain_notice_ms);
CARAWAYTURN_SETTING(drain_limit_ms);
CARAWAYTURN_SETTING(max_body_bytes);
CARAWAYTURN_SETTING(max_header_bytes);
CARAWAYTURN_SETTING(max_connections);
CARAWAYTURN_SETTING(max_waiting);
CARAWAYTURN_SETTING(max_waiting_per_organisation);
CARAWAYTURN_SETTING(max_attempts);
CARAWAYTURN_SETTING(core_ring);
CARAWAYTURN_SETTING(backend_connect_ms);
CARAWAYTURN_SETTING(backend_answer_ms);
CARAWAYTURN_SETTING(backend_idle_ms);
CARAWAYTURN_SETTING(max_answer_bytes);
CARAWAYTURN_SETTING(table_timeout_ms);
CARAWAYTURN_SETTING(list_interval_ms);
CARAWAYTURN_SETTING(report_interval_ms);
CARAWAYTURN_SETTING(order_timeout_ms);
CARAWAYTURN_SETTING(seed);
CARAWAYTURN_SETTING(log_level);
#undef CARAWAYTURN_SETTING

namespace carawayturn
{

namespace
{

constexpr std::string_view environment_prefix = "CARAWAYTURN_";

error wrong_value(setting_entry const& entry, std::string const& value)
{
    std::string const shown = entry.secret ? "(not shown)" : "'" + value + "'";
    return {error_code::invalid_input,
            std::string(entry.name),
            {},
            "the value " + shown +
                " is not allowed; allowed: " + std::string(entry.allowed)};
}

error missing_secret(std::string name)
{
    std::string const detail =
        "the value is empty; give " + name + "_file or " + environment_name(name);
    return {error_code::invalid_input, std::move(name), {}, detail};
}

/// Fills in what follows from other settings.
void complete(daemon_settings& settings)
{
    // The wall clock makes incarnations of one instance increase over restarts.
    auto const incarnation = static_cast<incarnation_number>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    auto& server = settings.server;
    auto& identity = settings.core.identity;
    server.incarnation = incarnation;
    identity.incarnation = incarnation;
    identity.id = instance_id(server.instance);
    identity.failure_domain = server.failure_domain;
    server.peers.self = identity.id;
    server.admin.id_prefix = server.instance + "-" + std::to_string(incarnation);
    if (identity.seed == 0)
        identity.seed = std::random_device{}();
}

absl::CommandLineFlag* find_flag(std::string_view name)
{
    return absl::FindCommandLineFlag(absl::string_view(name.data(), name.size()));
}

std::optional<std::string> flag_value(std::string_view name)
{
    auto* const flag = find_flag(name);
    if (flag == nullptr)
        return std::nullopt;
    auto const value = flag->TryGet<std::optional<std::string>>();
    return value ? *value : std::nullopt;
}

std::optional<std::string> environment_value(std::string_view name)
{
    // Read before any thread starts.
    auto const* const value = std::getenv(std::string(name).c_str());
    if (value == nullptr)
        return std::nullopt;
    return value;
}

} // namespace

std::string environment_name(std::string_view setting)
{
    std::string name(environment_prefix);
    for (auto const letter : setting)
        name += letter >= 'a' && letter <= 'z' ? static_cast<char>(letter - 'a' + 'A')
                                               : letter;
    return name;
}

result<daemon_settings> read_settings(setting_lookup const& flags,
                                      setting_lookup const& environment)
{
    daemon_settings settings;
    for (auto const& entry : setting_entries())
    {
        auto value = flags(entry.name);
        if (!value)
            value = environment(environment_name(entry.name));
        auto const text = value.value_or(std::string(entry.default_text));
        if (!entry.store(text, settings))
            return wrong_value(entry, text);
    }
    if (settings.server.peers.cluster_secret.empty())
        return missing_secret("cluster_secret");
    if (settings.server.admin.operator_token.empty())
        return missing_secret("operator_token");
    complete(settings);
    return settings;
}

std::string settings_help()
{
    std::string text = "Usage: carawayturnd [--NAME=VALUE]...\n\n"
                       "Serves callers of models and plain services. Each setting is a "
                       "flag or an environment\nvariable CARAWAYTURN_<NAME>; the flag "
                       "wins. SIGTERM and SIGINT start the drain.\n\nSettings:\n";
    for (auto const& entry : setting_entries())
    {
        text += "  --" + std::string(entry.name) + "\n      " + std::string(entry.help) +
                "\n      allowed: " + std::string(entry.allowed);
        if (!entry.default_text.empty())
            text += "; default: " + std::string(entry.default_text);
        text += "\n";
    }
    text += "\n  --help, --version\n\nExit codes:\n"
            "  0  drained and stopped\n"
            "  1  a flag or a setting is wrong\n"
            "  2  a port could not be bound\n"
            "  3  internal error\n";
    return text;
}

result<daemon_settings> read_command_line(int argc, char** argv)
{
    auto const rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1)
        return error{error_code::invalid_input,
                     "command line",
                     {},
                     "unexpected argument '" + std::string(rest[1]) + "'"};
    for (auto const& entry : setting_entries())
    {
        if (find_flag(entry.name) == nullptr)
            return error{error_code::internal,
                         std::string(entry.name),
                         {},
                         "the setting has no flag"};
    }
    return read_settings(flag_value, environment_value);
}

} // namespace carawayturn
