#include "coordination/detail/ledger_rows.hpp"

#include "state/hash.hpp"

#include <boost/json.hpp>

#include <array>

namespace carawayturn::detail
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 4> phase_names{"started", "done", "not-run",
                                                      "unknown"};

std::optional<json::object> parse_object(std::string_view text)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
    {
        return std::nullopt;
    }
    return std::move(parsed.as_object());
}

std::string text_of(json::object const& from, std::string_view field)
{
    auto const* const found = from.if_contains(field);
    return found != nullptr && found->is_string() ? std::string(found->as_string())
                                                  : std::string();
}

std::uint64_t number_of(json::object const& from, std::string_view field)
{
    auto const* const found = from.if_contains(field);
    if (found == nullptr)
    {
        return 0;
    }
    boost::system::error_code failure;
    auto const number = found->to_number<std::uint64_t>(failure);
    return failure ? 0 : number;
}

std::optional<stored_answer> answer_of(json::object const& from)
{
    auto const* const found = from.if_contains("answer");
    if (found == nullptr || !found->is_object())
    {
        return std::nullopt;
    }
    json::object const& kept = found->as_object();
    return stored_answer{static_cast<std::uint16_t>(number_of(kept, "status")),
                         text_of(kept, "content_type"), text_of(kept, "body")};
}

} // namespace

std::string once_key(organisation_id const& organisation,
                     std::string_view idempotency_key)
{
    return "once/" + organisation.str() + "/" + sha256(idempotency_key).str();
}

std::string to_json(once_row const& row)
{
    json::object text{{"phase", phase_names.at(static_cast<std::size_t>(row.phase))},
                      {"body", row.body.str()},
                      {"instance", row.instance.str()},
                      {"incarnation", row.incarnation},
                      {"request", row.request.str()}};
    if (row.answer)
    {
        text["answer"] = {{"status", row.answer->status},
                          {"content_type", row.answer->content_type},
                          {"body", row.answer->body}};
    }
    else if (row.phase == once_phase::done)
    {
        text["code"] = "answer_too_large";
    }
    return json::serialize(text);
}

std::optional<once_row> once_row_from_json(std::string_view text)
{
    auto const parsed = parse_object(text);
    if (!parsed)
    {
        return std::nullopt;
    }
    auto const* const phase =
        std::find(phase_names.begin(), phase_names.end(), text_of(*parsed, "phase"));
    if (phase == phase_names.end())
    {
        return std::nullopt;
    }
    once_row row;
    row.phase = static_cast<once_phase>(phase - phase_names.begin());
    row.body = digest(text_of(*parsed, "body"));
    row.instance = instance_id(text_of(*parsed, "instance"));
    row.incarnation = number_of(*parsed, "incarnation");
    row.request = request_id(text_of(*parsed, "request"));
    row.answer = answer_of(*parsed);
    return row;
}

std::string poison_key(digest const& signature)
{
    return std::string(poison_prefix) + signature.str();
}

std::string poison_row(std::uint32_t crashes)
{
    return json::serialize(json::object{{"crashes", crashes}});
}

std::uint32_t crashes_of_row(std::string_view text)
{
    auto const parsed = parse_object(text);
    return parsed ? static_cast<std::uint32_t>(number_of(*parsed, "crashes")) : 0;
}

} // namespace carawayturn::detail
