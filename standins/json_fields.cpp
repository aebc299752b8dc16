#include "json_fields.hpp"

namespace carawayturn::standins
{

namespace json = boost::json;

std::optional<json::object> parse_object(std::string_view text)
{
    boost::system::error_code failed;
    json::value parsed = json::parse({text.data(), text.size()}, failed);
    if (failed || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.get_object());
}

std::string text_field(json::object const& from, std::string_view name,
                       std::string_view otherwise)
{
    auto const* found = from.if_contains({name.data(), name.size()});
    auto const* text = found == nullptr ? nullptr : found->if_string();
    return text == nullptr ? std::string(otherwise)
                           : std::string(text->c_str(), text->size());
}

std::int64_t number_field(json::object const& from, std::string_view name,
                          std::int64_t otherwise)
{
    auto const* found = from.if_contains({name.data(), name.size()});
    if (found == nullptr || !found->is_number())
        return otherwise;
    boost::system::error_code failed;
    auto const value = found->to_number<std::int64_t>(failed);
    return failed ? otherwise : value;
}

bool bool_field(json::object const& from, std::string_view name, bool otherwise)
{
    auto const* found = from.if_contains({name.data(), name.size()});
    return found != nullptr && found->is_bool() ? found->get_bool() : otherwise;
}

json::object print_counts(std::map<std::string, std::uint64_t> const& counts)
{
    json::object printed;
    for (auto const& [name, count] : counts)
        printed[name] = count;
    return printed;
}

void answer_json(exchange& to, unsigned status, json::object const& body)
{
    to.answer(status, json::serialize(body));
}

void answer_bad_request(exchange& to, std::string_view reason)
{
    answer_json(
        to, 400,
        {{"error", json::string(reason.data(), reason.size())}, {"ran", "not-run"}});
}

} // namespace carawayturn::standins
