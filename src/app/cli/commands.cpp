#include "app/cli/commands.hpp"

#include "app/cli/admin_client.hpp"
#include "app/cli/config_diff.hpp"
#include "app/cli/entry_commands.hpp"
#include "app/cli/listing.hpp"
#include "state/config_text.hpp"
#include "state/hash.hpp"

#include <boost/json.hpp>
#include <openssl/rand.h>

#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

namespace carawayturn::cli
{

namespace
{

using parameters = std::vector<std::string>;

exit_code report(error const& failure, cli_streams streams)
{
    streams.err << "carawayturn: " << to_string(failure) << '\n';
    switch (failure.code)
    {
    case error_code::unavailable:
    case error_code::timeout:
    case error_code::unknown_outcome:
        return exit_code::unreachable;
    default:
        return exit_code::refused;
    }
}

/// Reads a file; "-" is standard input.
result<std::string> read_file(std::string const& path)
{
    auto const read_all = [](std::istream& in)
    {
        return std::string(std::istreambuf_iterator<char>(in),
                           std::istreambuf_iterator<char>());
    };
    if (path == "-")
        return read_all(std::cin);
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return error{error_code::not_found, "read file", path, "cannot be opened"};
    return read_all(file);
}

result<fleet_config> read_config(std::string const& path)
{
    auto const text = read_file(path);
    if (!succeeded(text))
        return std::get<error>(text);
    return parse_config(std::get<std::string>(text));
}

/// An operation id that no other submission uses.
operation_id new_operation()
{
    std::array<unsigned char, 16> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return operation_id(
        "cli-" +
        sha256({reinterpret_cast<char const*>(bytes.data()), bytes.size()}).str());
}

admin_client client_of(cli_settings const& settings)
{
    return {settings.admin, settings.operator_token};
}

exit_code print_answer(result<std::string> const& answer, cli_streams streams)
{
    if (!succeeded(answer))
        return report(std::get<error>(answer), streams);
    streams.out << indent_json(std::get<std::string>(answer)) << '\n';
    return exit_code::success;
}

exit_code submit_change(cli_settings const& settings, config_change const& change,
                        cli_streams streams)
{
    std::optional<config_version> expected;
    if (settings.expected_version != 0)
        expected = settings.expected_version;
    auto const answer = client_of(settings).submit(new_operation(), change, expected);
    auto const printed = print_answer(answer, streams);
    if (printed != exit_code::success)
        return printed;
    boost::json::error_code failure;
    auto const body = boost::json::parse(std::get<std::string>(answer), failure);
    bool const accepted = !failure && body.is_object() &&
                          body.as_object().contains("accepted") &&
                          body.as_object().at("accepted") == true;
    return accepted ? exit_code::success : exit_code::pending;
}

exit_code run_validate(cli_settings const&, parameters const& words, cli_streams streams)
{
    auto const config = read_config(words[0]);
    if (!succeeded(config))
        return report(std::get<error>(config), streams);
    streams.out << "valid\n";
    return exit_code::success;
}

exit_code run_submit(cli_settings const& settings, parameters const& words,
                     cli_streams streams)
{
    auto const config = read_config(words[0]);
    if (!succeeded(config))
        return report(std::get<error>(config), streams);
    return submit_change(settings, replace_config{std::get<fleet_config>(config)},
                         streams);
}

exit_code run_diff(cli_settings const& settings, parameters const& words,
                   cli_streams streams)
{
    auto const wanted = read_config(words[0]);
    if (!succeeded(wanted))
        return report(std::get<error>(wanted), streams);
    auto const current = client_of(settings).config();
    if (!succeeded(current))
        return report(std::get<error>(current), streams);
    for (auto const& line :
         diff_configs(std::get<fleet_config>(current), std::get<fleet_config>(wanted)))
        streams.out << line << '\n';
    return exit_code::success;
}

exit_code run_show(cli_settings const& settings, parameters const&, cli_streams streams)
{
    auto const config = client_of(settings).config();
    if (!succeeded(config))
        return report(std::get<error>(config), streams);
    streams.out << indent_json(print_config(std::get<fleet_config>(config))) << '\n';
    return exit_code::success;
}

/// Reads a key from a file, so that it does not show in the process list.
result<digest> read_key(std::string const& path)
{
    auto text = read_file(path);
    if (!succeeded(text))
        return std::get<error>(text);
    auto& key = std::get<std::string>(text);
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    if (key.empty())
        return error{error_code::invalid_input, "read key", path, "the file is empty"};
    return sha256(key);
}

template <class Change>
exit_code change_key(cli_settings const& settings, parameters const& words,
                     cli_streams streams)
{
    auto const key = read_key(words[1]);
    if (!succeeded(key))
        return report(std::get<error>(key), streams);
    return submit_change(
        settings, Change{organisation_id(words[0]), std::get<digest>(key)}, streams);
}

exit_code run_list(cli_settings const& settings, parameters const& words,
                   cli_streams streams)
{
    auto const part = find_listed_part(words[0]);
    if (!part)
    {
        streams.err << "carawayturn: list takes runners, models, leases or budgets\n";
        return exit_code::usage;
    }
    auto const state = client_of(settings).state();
    if (!succeeded(state))
        return report(std::get<error>(state), streams);
    streams.out << print_part(*part, std::get<std::string>(state)) << '\n';
    return exit_code::success;
}

exit_code run_dump(cli_settings const& settings, parameters const&, cli_streams streams)
{
    return print_answer(client_of(settings).state(), streams);
}

exit_code run_drain(cli_settings const& settings, parameters const&, cli_streams streams)
{
    return print_answer(client_of(settings).drain(), streams);
}

exit_code run_explain(cli_settings const& settings, parameters const& words,
                      cli_streams streams)
{
    return print_answer(client_of(settings).explain(request_id(words[0])), streams);
}

exit_code print_result(result<std::string> const& outcome, cli_streams streams)
{
    if (!succeeded(outcome))
        return report(std::get<error>(outcome), streams);
    streams.out << std::get<std::string>(outcome);
    return exit_code::success;
}

/// Checks a file with one of the platform's decoders.
template <result<std::string> (*Check)(std::string_view)>
exit_code check_file(cli_settings const&, parameters const& arguments,
                     cli_streams streams)
{
    auto const text = read_file(arguments[0]);
    if (!succeeded(text))
        return report(std::get<error>(text), streams);
    return print_result(Check(std::get<std::string>(text)), streams);
}

exit_code run_entry_state(cli_settings const& settings, parameters const&,
                          cli_streams streams)
{
    return print_result(read_entry_page(settings.admin, "/state"), streams);
}

exit_code run_entry_metrics(cli_settings const& settings, parameters const&,
                            cli_streams streams)
{
    return print_result(read_entry_page(settings.admin, "/metrics"), streams);
}

constexpr command command_table[] = {
    {"validate", "FILE", "Checks a configuration file (- is standard input).", 1,
     run_validate},
    {"submit", "FILE", "Submits a whole configuration.", 1, run_submit},
    {"diff", "FILE", "Lists what submitting the file would change.", 1, run_diff},
    {"show", "", "Prints the configuration in force.", 0, run_show},
    {"grant-key", "ORGANISATION KEYFILE", "Grants a key to an organisation.", 2,
     change_key<grant_key>},
    {"withdraw-key", "ORGANISATION KEYFILE", "Withdraws a key.", 2,
     change_key<withdraw_key>},
    {"list", "runners|models|leases|budgets", "Lists a part of the instance's state.", 1,
     run_list},
    {"drain", "", "Asks the instance to finish its requests and exit.", 0, run_drain},
    {"dump", "", "Prints the instance's whole state as JSON.", 0, run_dump},
    {"check-entry-settings", "FILE",
     "Checks the settings of an instance on the platform.", 1,
     check_file<check_entry_settings>},
    {"check-entry-config", "FILE", "Checks a configuration for the platform's store.", 1,
     check_file<check_entry_config>},
    {"entry-state", "", "Prints the state of an instance on the platform.", 0,
     run_entry_state},
    {"entry-metrics", "", "Prints the metrics of an instance on the platform.", 0,
     run_entry_metrics},
    {"explain", "REQUEST", "Tells what happened to one request.", 1, run_explain},
};

} // namespace

std::span<command const> commands()
{
    return command_table;
}

exit_code run_command(cli_settings const& settings, std::vector<std::string> const& words,
                      cli_streams streams)
{
    if (words.empty())
    {
        streams.err << "carawayturn: no command given; see --help\n";
        return exit_code::usage;
    }
    for (auto const& entry : commands())
    {
        if (entry.name != words[0])
            continue;
        if (words.size() != entry.parameter_count + 1)
        {
            streams.err << "usage: carawayturn " << entry.name << ' ' << entry.parameters
                        << '\n';
            return exit_code::usage;
        }
        return entry.run(settings, {words.begin() + 1, words.end()}, streams);
    }
    streams.err << "carawayturn: unknown command \"" << words[0] << "\"; see --help\n";
    return exit_code::usage;
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    endpoint parsed;
    parsed.address = std::string(text.substr(0, colon));
    auto const port = text.substr(colon + 1);
    auto const [end, failure] =
        std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    if (failure != std::errc{} || end != port.data() + port.size() || parsed.port == 0)
        return std::nullopt;
    return parsed;
}

} // namespace carawayturn::cli
