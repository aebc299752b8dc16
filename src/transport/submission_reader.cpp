#include "transport/submission_reader.hpp"

#include "state/config_text.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace carawayturn
{

namespace json = boost::json;

namespace
{

error invalid(std::string field, std::string detail)
{
    return {error_code::invalid_input, std::move(field), {}, std::move(detail)};
}

result<json::object> read_object(std::string_view body)
{
    boost::system::error_code failure;
    auto document = json::parse(json::string_view(body.data(), body.size()), failure);
    if (failure)
        return invalid("body", "is not JSON: " + failure.message());
    if (!document.is_object())
        return invalid("body", "must be an object");
    for (auto const& field : document.get_object())
    {
        if (field.key() != "operation" && field.key() != "expected" &&
            field.key() != "change")
            return invalid(std::string(field.key()), "is not a known field");
    }
    return std::move(document.get_object());
}

} // namespace

result<change_submitted> read_submission(std::string_view body)
{
    auto const parsed = read_object(body);
    if (!succeeded(parsed))
        return std::get<error>(parsed);
    auto const& fields = std::get<json::object>(parsed);
    change_submitted submission;
    if (auto const* const operation = fields.if_contains("operation"))
    {
        if (!operation->is_string())
            return invalid("operation", "must be a string");
        submission.operation = operation_id(std::string(operation->get_string()));
    }
    if (auto const* const expected = fields.if_contains("expected"))
    {
        if (!expected->is_int64() || expected->get_int64() < 0)
            return invalid("expected", "must be a version: a whole number from 0");
        submission.expected = static_cast<config_version>(expected->get_int64());
    }
    auto const* const change = fields.if_contains("change");
    if (change == nullptr)
        return invalid("change", "is missing");
    auto read = parse_change(json::serialize(*change));
    if (!succeeded(read))
        return std::get<error>(read);
    submission.change = std::get<config_change>(std::move(read));
    return submission;
}

} // namespace carawayturn
