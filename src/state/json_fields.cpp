#include "state/json_fields.hpp"

#include <algorithm>
#include <cmath>

namespace carawayturn
{

namespace
{

namespace json = boost::json;

constexpr std::int64_t microseconds_per_millisecond = 1000;
/// Longest duration accepted. A later time would not be wanted by any caller, and far
/// larger numbers would overflow when added to a time.
constexpr double max_milliseconds = 86'400'000.0;

} // namespace

std::string json_place::str() const
{
    std::string text(parent);
    if (!text.empty() && !field.empty())
        text += '.';
    text += field;
    return text;
}

void json_place::fail(std::string detail) const
{
    throw json_field_error{{error_code::invalid_input, str(), "", std::move(detail)}};
}

json_reader::json_reader(json::value const& source, std::string path,
                         unknown_fields policy)
    : object_(source.if_object()), path_(std::move(path)), policy_(policy)
{
    if (object_ == nullptr)
        json_place{"", path_}.fail("must be an object");
}

json::value const* json_reader::find(std::string_view field)
{
    asked_.insert(field);
    return object_->if_contains(field);
}

void json_reader::finish() const
{
    if (policy_ == unknown_fields::ignore)
        return;
    for (auto const& member : *object_)
    {
        if (!asked_.contains(std::string_view(member.key().data(), member.key().size())))
            place(member.key()).fail("is not a known field");
    }
}

void json_reader::milliseconds(std::string_view field, duration& target)
{
    auto const* const found = find(field);
    if (found == nullptr)
        return;
    double value = 0;
    read(*found, place(field), value);
    if (!(std::abs(value) <= max_milliseconds))
        place(field).fail("must be at most a day");
    auto const count = std::llround(value * microseconds_per_millisecond);
    if (static_cast<double>(count) / microseconds_per_millisecond != value)
        place(field).fail("must be a whole number of microseconds");
    target = std::chrono::microseconds(count);
}

std::size_t json_reader::index_of(json::value const& source, json_place const& at,
                                  std::span<std::string_view const> names)
{
    if (auto const* const text = source.if_string())
    {
        auto const found = std::find(names.begin(), names.end(), std::string_view(*text));
        if (found != names.end())
            return static_cast<std::size_t>(found - names.begin());
    }
    std::string allowed;
    for (auto const& known : names)
        allowed += (allowed.empty() ? "\"" : ", \"") + std::string(known) + "\"";
    at.fail("must be one of " + allowed);
}

std::string json_reader::element_name(json::value const& element, std::size_t index)
{
    if (auto const* const object = element.if_object())
    {
        for (std::string_view const field : {"id", "path_prefix"})
        {
            auto const* const found = object->if_contains(field);
            if (found != nullptr && found->is_string())
                return {found->get_string().data(), found->get_string().size()};
        }
    }
    return std::to_string(index);
}

void json_reader::read(json::value const& source, json_place const& at,
                       std::string& target) const
{
    auto const* const text = source.if_string();
    if (text == nullptr)
        at.fail("must be a string");
    target.assign(text->data(), text->size());
}

void json_reader::read(json::value const& source, json_place const& at,
                       bool& target) const
{
    if (!source.is_bool())
        at.fail("must be true or false");
    target = source.get_bool();
}

void json_reader::read(json::value const& source, json_place const& at,
                       double& target) const
{
    if (!source.is_number())
        at.fail("must be a number");
    target = source.to_number<double>();
}

void json_writer::milliseconds(std::string_view field, duration value)
{
    auto const count = value.count();
    if (count % microseconds_per_millisecond == 0)
        object_.emplace(field, count / microseconds_per_millisecond);
    else
        object_.emplace(field, static_cast<double>(count) / microseconds_per_millisecond);
}

} // namespace carawayturn
