#include "app/cli/commands.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, admin, "",
          "IP address and port of an instance's operators' interface, or of the metrics "
          "of an instance on the platform, for example "
          "127.0.0.1:9090 (environment: CARAWAYTURN_ADMIN)");
ABSL_FLAG(
    std::string, operator_token_file, "",
    "file that holds the operator token (environment: CARAWAYTURN_OPERATOR_TOKEN_FILE, "
    "or the token itself in CARAWAYTURN_OPERATOR_TOKEN)");
ABSL_FLAG(std::uint64_t, expected_version, 0,
          "refuse the submission unless this version is in force; 0 accepts any "
          "(environment: CARAWAYTURN_EXPECTED_VERSION)");

namespace carawayturn::cli
{
namespace
{

std::string environment(char const* name)
{
    char const* const value = std::getenv(name);
    return value == nullptr ? "" : value;
}

std::string usage_text()
{
    std::string text =
        "Operates carawayturn.\n\nusage: carawayturn [FLAGS] COMMAND ...\n\n";
    for (auto const& entry : commands())
        text += "  " + std::string(entry.name) + " " + std::string(entry.parameters) +
                "\n      " + std::string(entry.help) + "\n";
    text += "\nExit codes: 0 success, 1 refused or not valid, 2 usage, 3 instance not "
            "reached, "
            "4 committed but not yet in force everywhere.\n";
    return text;
}

/// Prints a setting's name, value and allowed range, and ends the process.
[[noreturn]] void fail_setting(std::string const& name, std::string const& value,
                               std::string const& allowed)
{
    std::cerr << "carawayturn: setting " << name << " is \"" << value
              << "\"; allowed: " << allowed << '\n';
    std::exit(static_cast<int>(exit_code::usage));
}

endpoint admin_setting()
{
    std::string text = absl::GetFlag(FLAGS_admin);
    if (text.empty())
        text = environment("CARAWAYTURN_ADMIN");
    if (text.empty())
        return {};
    auto const parsed = parse_endpoint(text);
    if (!parsed)
        fail_setting("admin", text,
                     "an IP address and a port from 1 to 65535, as ADDRESS:PORT");
    return *parsed;
}

std::string token_setting()
{
    std::string path = absl::GetFlag(FLAGS_operator_token_file);
    if (path.empty())
        path = environment("CARAWAYTURN_OPERATOR_TOKEN_FILE");
    if (path.empty())
        return environment("CARAWAYTURN_OPERATOR_TOKEN");
    std::ifstream file(path);
    std::string token;
    if (!file || !std::getline(file, token))
        fail_setting("operator_token_file", path,
                     "a readable file with the token in its first line");
    return token;
}

std::uint64_t expected_version_setting()
{
    if (auto const flag = absl::GetFlag(FLAGS_expected_version); flag != 0)
        return flag;
    std::string const text = environment("CARAWAYTURN_EXPECTED_VERSION");
    if (text.empty())
        return 0;
    char* end = nullptr;
    auto const value = std::strtoull(text.c_str(), &end, 10);
    if (*end != '\0')
        fail_setting("expected_version", text, "a whole number from 0");
    return value;
}

int run(int count, char** arguments)
{
    absl::SetProgramUsageMessage(usage_text());
    absl::FlagsUsageConfig usage;
    usage.version_string = []
    { return std::string("carawayturn " CARAWAYTURN_VERSION "\n"); };
    usage.contains_help_flags = [](absl::string_view file)
    { return file.find("cli/main.cpp") != absl::string_view::npos; };
    absl::SetFlagsUsageConfig(usage);
    auto const rest = absl::ParseCommandLine(count, arguments);
    std::vector<std::string> const words(rest.begin() + 1, rest.end());

    cli_settings settings{admin_setting(), token_setting(), expected_version_setting()};
    bool const local =
        !words.empty() && (words[0] == "validate" || words[0].starts_with("check-"));
    if (!local && settings.admin.port == 0 && !words.empty())
        fail_setting("admin", "",
                     "an IP address and a port from 1 to 65535, as ADDRESS:PORT");
    return static_cast<int>(run_command(settings, words, {std::cout, std::cerr}));
}

} // namespace
} // namespace carawayturn::cli

int main(int count, char** arguments)
{
    return carawayturn::cli::run(count, arguments);
}
