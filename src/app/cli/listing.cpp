#include "app/cli/listing.hpp"

#include <boost/json.hpp>

#include <array>

namespace carawayturn::cli
{

namespace
{

struct part_entry
{
    std::string_view name;
    /// Member of the state dump that holds the part.
    std::string_view member;
};

// In the order of listed_part.
constexpr std::array<part_entry, 4> parts{{
    {"runners", "backends"},
    {"models", "placement"},
    {"leases", "authority"},
    {"budgets", "budgets"},
}};

template <class Container, class PrintElement>
void print_elements(std::string& out, Container const& elements,
                    std::string const& margin, char opening, char closing,
                    PrintElement const& print_element)
{
    out += opening;
    bool first = true;
    for (auto const& element : elements)
    {
        out += first ? "\n" : ",\n";
        first = false;
        out += margin + "  ";
        print_element(element);
    }
    if (!first)
        out += "\n" + margin;
    out += closing;
}

void print_value(std::string& out, boost::json::value const& value,
                 std::string const& margin)
{
    if (value.is_object())
        print_elements(out, value.as_object(), margin, '{', '}',
                       [&](auto const& member)
                       {
                           out += boost::json::serialize(member.key()) + ": ";
                           print_value(out, member.value(), margin + "  ");
                       });
    else if (value.is_array())
        print_elements(out, value.as_array(), margin, '[', ']',
                       [&](auto const& element)
                       { print_value(out, element, margin + "  "); });
    else
        out += boost::json::serialize(value);
}

} // namespace

std::optional<listed_part> find_listed_part(std::string_view name)
{
    for (std::size_t index = 0; index < parts.size(); ++index)
    {
        if (parts.at(index).name == name)
            return static_cast<listed_part>(index);
    }
    return std::nullopt;
}

std::string print_part(listed_part part, std::string_view state_dump)
{
    boost::json::error_code failure;
    auto const dump = boost::json::parse(state_dump, failure);
    if (failure || !dump.is_object())
        return std::string(state_dump);
    auto const* const found =
        dump.as_object().if_contains(parts.at(static_cast<std::size_t>(part)).member);
    return found == nullptr ? "null" : indent_json(boost::json::serialize(*found));
}

std::string indent_json(std::string_view text)
{
    boost::json::error_code failure;
    auto const value = boost::json::parse(text, failure);
    if (failure)
        return std::string(text);
    std::string out;
    print_value(out, value, "");
    return out;
}

} // namespace carawayturn::cli
