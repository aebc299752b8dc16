#include "transport/http_types.hpp"

#include <algorithm>
#include <array>

namespace carawayturn
{

namespace
{

constexpr std::array<std::string_view, 17> never_forwarded{"connection",
                                                           "keep-alive",
                                                           "proxy-connection",
                                                           "proxy-authenticate",
                                                           "te",
                                                           "trailer",
                                                           "transfer-encoding",
                                                           "upgrade",
                                                           "authorization",
                                                           "proxy-authorization",
                                                           "host",
                                                           "content-length",
                                                           "expect",
                                                           "accept-encoding",
                                                           "x-resume-offset",
                                                           "x-request-id",
                                                           "x-priority"};

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a')
                                          : letter;
}

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool lists_token(std::string_view list, std::string_view token)
{
    while (!list.empty())
    {
        auto const comma = std::min(list.find(','), list.size());
        if (equal_ignoring_case(trimmed(list.substr(0, comma)), token))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

bool named_by_connection(http_headers const& headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(),
                       [name](http_header const& header)
                       {
                           return equal_ignoring_case(header.name, "connection") &&
                                  lists_token(header.value, name);
                       });
}

bool may_forward(http_headers const& headers, std::string_view name)
{
    return std::none_of(never_forwarded.begin(), never_forwarded.end(),
                        [name](std::string_view fixed)
                        { return equal_ignoring_case(fixed, name); }) &&
           !named_by_connection(headers, name);
}

} // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

std::string const* find_header(http_headers const& headers, std::string_view name)
{
    auto const found = std::find_if(headers.begin(), headers.end(),
                                    [name](http_header const& header)
                                    { return equal_ignoring_case(header.name, name); });
    return found == headers.end() ? nullptr : &found->value;
}

http_headers forwardable(http_headers const& headers)
{
    http_headers kept;
    for (auto const& header : headers)
    {
        if (may_forward(headers, header.name))
            kept.push_back(header);
    }
    return kept;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, std::min(target.find('?'), target.size()));
}

} // namespace carawayturn
