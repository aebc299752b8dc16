#include "load_trace.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace carawayturn::load
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t bytes_per_token = 4;

/// Reads the fields of one line; a field of another type is an error with its name.
class line_reader
{
public:
    line_reader(json::object const& fields, std::size_t number)
        : fields_(fields), number_(number)
    {
    }

    [[nodiscard]] std::string text(char const* name) const
    {
        auto const* found = fields_.if_contains(name);
        if (found == nullptr)
            return {};
        if (!found->is_string())
            fail(name);
        return {found->get_string().c_str(), found->get_string().size()};
    }

    [[nodiscard]] std::optional<std::int64_t> number(char const* name) const
    {
        auto const* found = fields_.if_contains(name);
        if (found == nullptr)
            return std::nullopt;
        boost::system::error_code failed;
        auto const value =
            found->is_number() ? found->to_number<std::int64_t>(failed) : -1;
        if (failed || value < 0)
            fail(name);
        return value;
    }

    [[nodiscard]] bool flag(char const* name) const
    {
        auto const* found = fields_.if_contains(name);
        if (found != nullptr && !found->is_bool())
            fail(name);
        return found != nullptr && found->get_bool();
    }

    [[noreturn]] void fail(std::string const& name) const
    {
        throw std::runtime_error("trace line " + std::to_string(number_) +
                                 ": malformed field \"" + name + "\"");
    }

private:
    json::object const& fields_;
    std::size_t number_;
};

traced_request read_line(std::string const& line, std::size_t number)
{
    boost::system::error_code failed;
    json::value const parsed = json::parse(line, failed);
    if (failed || !parsed.is_object())
        throw std::runtime_error("trace line " + std::to_string(number) +
                                 ": not a JSON object");
    line_reader const fields(parsed.get_object(), number);
    traced_request request;
    request.id = fields.text("id");
    if (request.id.empty())
        request.id = std::to_string(number);
    request.at = std::chrono::milliseconds(fields.number("at_ms").value_or(0));
    request.key = fields.text("key");
    request.path = fields.text("path");
    if (!request.path.starts_with('/'))
        fields.fail("path");
    request.model = fields.text("model");
    request.prompt_tokens = fields.number("prompt_tokens").value_or(0);
    request.max_tokens = fields.number("max_tokens").value_or(0);
    request.deadline_ms = fields.number("deadline_ms");
    request.stream = fields.flag("stream");
    request.idempotency_key = fields.text("idempotency_key");
    request.reference = fields.text("reference");
    return request;
}

json::object print_chat_body(traced_request const& request)
{
    json::object message{{"role", "user"}};
    auto const length = static_cast<std::size_t>(request.prompt_tokens * bytes_per_token);
    message["content"] = std::string(length, 'x');
    json::object body{{"model", request.model}, {"stream", request.stream}};
    body["messages"] = json::array(1, message);
    if (request.max_tokens > 0)
        body["max_tokens"] = request.max_tokens;
    if (!request.reference.empty())
        body["user"] = request.reference;
    return body;
}

} // namespace

std::vector<traced_request> read_trace(std::string const& file)
{
    std::ifstream lines(file);
    if (!lines)
        throw std::runtime_error("cannot read trace \"" + file + "\"");
    std::vector<traced_request> trace;
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number)
    {
        if (!line.empty())
            trace.push_back(read_line(line, number));
    }
    std::ranges::stable_sort(trace, {}, &traced_request::at);
    return trace;
}

std::string print_body(traced_request const& request)
{
    if (!request.model.empty())
        return json::serialize(print_chat_body(request));
    return json::serialize(json::object{{"reference", request.reference}});
}

} // namespace carawayturn::load
