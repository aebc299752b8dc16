#include "protocol/caller_codec.hpp"

#include "state/json_fields.hpp"
#include "state/stable_hash.hpp"
#include "state/strict_json.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace carawayturn
{

namespace
{

namespace json = boost::json;

/// An engine's answer may nest more deeply than a caller's request.
constexpr std::size_t max_answer_depth = 128;

constexpr token_count bytes_per_token = 4;
/// Charged as the longest answer when the caller names no limit.
constexpr token_count default_max_tokens = 1024;
/// Refuses limits that no engine serves and that would overflow sums of tokens.
constexpr token_count max_tokens_limit = 10'000'000;
/// Most answers ("n") that one request may ask for.
constexpr token_count max_choices = 128;
/// Engines cache prompts in blocks; 256 bytes are about 64 tokens. Prompts that differ
/// only later share a runner's cache.
constexpr std::size_t prefix_block_bytes = 256;

/// Sums up the text of the messages and collects its beginning.
class prompt_measure
{
public:
    /// Adds all strings inside a value; the depth is bounded by the parser.
    void add(json::value const& value)
    {
        if (auto const* const text = value.if_string())
            add_text({text->data(), text->size()});
        else if (auto const* const list = value.if_array())
            for (auto const& element : *list)
                add(element);
        else if (auto const* const object = value.if_object())
            for (auto const& member : *object)
                add(member.value());
    }
    [[nodiscard]] token_count tokens() const
    {
        return (static_cast<token_count>(bytes_) + bytes_per_token - 1) / bytes_per_token;
    }
    [[nodiscard]] std::uint64_t prefix_hash() const
    {
        return block_.empty() ? 0 : stable_hash(block_);
    }

private:
    void add_text(std::string_view text)
    {
        bytes_ += text.size();
        block_ += text.substr(0, prefix_block_bytes - block_.size());
    }

    std::size_t bytes_ = 0;
    std::string block_;
};

/// Adds a message's text. The role is no part of the text that is measured.
void measure_message(json::value const& message, json_place const& at,
                     prompt_measure& measure)
{
    auto const* const fields = message.if_object();
    if (fields == nullptr)
        at.fail("must be an object");
    for (auto const& member : *fields)
    {
        if (member.key() != "role")
            measure.add(member.value());
    }
}

prompt_measure measure_messages(json::value const& body)
{
    auto const* const found = body.get_object().if_contains("messages");
    if (found == nullptr || !found->is_array())
        json_place{"", "messages"}.fail("must be a list");
    if (found->get_array().empty())
        json_place{"", "messages"}.fail("must not be empty");
    prompt_measure measure;
    std::size_t index = 0;
    for (auto const& message : found->get_array())
    {
        std::string const label = "messages[" + std::to_string(index++) + "]";
        measure_message(message, {"", label}, measure);
    }
    return measure;
}

/// Returns a count in a field; empty if the field is absent or null.
std::optional<token_count> read_count(json_reader& fields, std::string_view field,
                                      token_count highest)
{
    std::optional<token_count> count;
    fields.optional(field, count);
    if (count && (*count < 1 || *count > highest))
        json_place{"", field}.fail("must be from 1 to " + std::to_string(highest));
    return count;
}

/// Returns the most tokens that the engine may generate for all choices together.
token_count read_max_tokens(json_reader& fields)
{
    auto const older = read_count(fields, "max_tokens", max_tokens_limit);
    auto const newer = read_count(fields, "max_completion_tokens", max_tokens_limit);
    auto const choices = read_count(fields, "n", max_choices);
    // An engine may follow either field when both are present, so the larger one counts.
    token_count const each = older || newer
                                 ? std::max(older.value_or(0), newer.value_or(0))
                                 : default_max_tokens;
    return each * choices.value_or(1);
}

chat_request read_chat_request(json::value const& body)
{
    json_reader fields(body, "", unknown_fields::ignore);
    chat_request request;
    fields.required("model", request.model);
    if (request.model.empty())
        json_place{"", "model"}.fail("must not be empty");
    std::optional<bool> stream;
    fields.optional("stream", stream);
    request.stream = stream.value_or(false);
    request.max_tokens = read_max_tokens(fields);
    auto const measure = measure_messages(body);
    request.prompt_tokens = measure.tokens();
    request.prefix_hash = measure.prefix_hash();
    return request;
}

/// A count of tokens that is a whole number and not negative.
std::optional<token_count> token_field(json::object const& usage, std::string_view field)
{
    auto const* const found = usage.if_contains(field);
    if (found == nullptr || !found->is_int64() || found->get_int64() < 0)
        return std::nullopt;
    return found->get_int64();
}

std::optional<token_count> total_of(json::object const& usage)
{
    if (auto const total = token_field(usage, "total_tokens"))
        return total;
    auto const prompt = token_field(usage, "prompt_tokens");
    auto const completion = token_field(usage, "completion_tokens");
    if (!prompt || !completion ||
        *prompt > std::numeric_limits<token_count>::max() - *completion)
        return std::nullopt;
    return *prompt + *completion;
}

} // namespace

result<chat_request> parse_chat_request(std::string_view body)
{
    // Repeated names are refused here, because an engine could take the other value, and
    // the permission check would then concern another model than the one that runs.
    auto const document = parse_strict_json(body, max_json_depth);
    if (!succeeded(document))
        return std::get<error>(document);
    chat_request request;
    auto const failure =
        read_fields([&] { request = read_chat_request(std::get<0>(document)); });
    if (failure)
        return *failure;
    return request;
}

std::string print_refusal(request_id const& request, refusal const& reason)
{
    json::object fields;
    fields.emplace("code", name_of(reason.code));
    fields.emplace("message", reason.message);
    fields.emplace("ran", name_of(reason.ran));
    fields.emplace("request_id", request.str());
    if (reason.place)
        fields.emplace("place", *reason.place);
    if (reason.expected_wait)
        fields.emplace(
            "expected_wait_ms",
            std::chrono::ceil<std::chrono::milliseconds>(*reason.expected_wait).count());
    json::object body;
    body.emplace("error", std::move(fields));
    return json::serialize(body);
}

std::optional<token_count> parse_usage(std::string_view body)
{
    auto const document = parse_strict_json(body, max_answer_depth);
    if (!succeeded(document))
        return std::nullopt;
    auto const* const fields = std::get<0>(document).if_object();
    auto const* const usage = fields == nullptr ? nullptr : fields->if_contains("usage");
    if (usage == nullptr || !usage->is_object())
        return std::nullopt;
    return total_of(usage->get_object());
}

} // namespace carawayturn
