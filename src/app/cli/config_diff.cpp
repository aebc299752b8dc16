#include "app/cli/config_diff.hpp"

#include "state/config_text.hpp"

#include <boost/json.hpp>

#include <map>

namespace carawayturn::cli
{

namespace
{

using entries = std::map<std::string, std::string>;

/// The name of a list's element: its id, or its path prefix for routes.
std::string name_of_element(boost::json::object const& element)
{
    for (char const* const field : {"id", "path_prefix"})
    {
        if (auto const* const found = element.if_contains(field);
            found != nullptr && found->is_string())
            return std::string(found->as_string());
    }
    return "";
}

/// Flattens a configuration to "list[name]" and "field" entries with their JSON text.
entries flatten(fleet_config const& config)
{
    entries flat;
    auto const whole = boost::json::parse(print_config(config)).as_object();
    for (auto const& member : whole)
    {
        std::string const field(member.key());
        if (field == "version")
            continue;
        if (!member.value().is_array())
        {
            flat[field] = boost::json::serialize(member.value());
            continue;
        }
        for (auto const& element : member.value().as_array())
            flat[field + "[" + name_of_element(element.as_object()) + "]"] =
                boost::json::serialize(element);
    }
    return flat;
}

} // namespace

std::vector<std::string> diff_configs(fleet_config const& before,
                                      fleet_config const& after)
{
    auto const old_entries = flatten(before);
    auto const new_entries = flatten(after);
    std::vector<std::string> lines;
    for (auto const& [name, text] : old_entries)
    {
        auto const found = new_entries.find(name);
        if (found == new_entries.end())
            lines.push_back("- " + name + " " + text);
        else if (found->second != text)
            lines.push_back("~ " + name + " " + text + " -> " + found->second);
    }
    for (auto const& [name, text] : new_entries)
    {
        if (!old_entries.contains(name))
            lines.push_back("+ " + name + " " + text);
    }
    return lines;
}

} // namespace carawayturn::cli
