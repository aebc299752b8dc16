#include "state/strict_json.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/value_stack.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn
{

namespace
{

namespace json = boost::json;

/// Receives the parser's events, builds the value, and keeps the path to the current
/// place.
class strict_handler
{
public:
    using error_type = boost::system::error_code;

    static constexpr std::size_t max_object_size =
        std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_string_size =
        std::numeric_limits<std::size_t>::max();

    explicit strict_handler(std::size_t max_depth) : max_depth_(max_depth)
    {
        stack_.reset();
    }

    [[nodiscard]] json::value release() { return stack_.release(); }
    [[nodiscard]] std::optional<error> const& failure() const { return failure_; }

    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (auto const& entered : levels_)
        {
            if (entered.is_array)
                text += "[" + std::to_string(entered.index) + "]";
            else if (!entered.key.empty())
                text += (text.empty() ? "" : ".") + entered.key;
        }
        return text;
    }

    bool on_document_begin(error_type&) { return true; }
    bool on_document_end(error_type&) { return true; }
    bool on_array_begin(error_type& ec) { return enter(true, ec); }
    bool on_object_begin(error_type& ec) { return enter(false, ec); }
    bool on_array_end(std::size_t count, error_type&)
    {
        stack_.push_array(count);
        return leave();
    }
    bool on_object_end(std::size_t count, error_type& ec)
    {
        auto& names = levels_.back().names;
        std::sort(names.begin(), names.end());
        auto const repeated = std::adjacent_find(names.begin(), names.end());
        if (repeated != names.end())
        {
            levels_.back().key = *repeated;
            return fail("the name is repeated", json::error::syntax, ec);
        }
        stack_.push_object(count);
        return leave();
    }
    bool on_key_part(json::string_view text, std::size_t, error_type&)
    {
        key_ += text;
        stack_.push_chars(text);
        return true;
    }
    bool on_key(json::string_view text, std::size_t, error_type&)
    {
        key_ += text;
        stack_.push_key(text);
        levels_.back().key = key_;
        levels_.back().names.push_back(std::move(key_));
        key_.clear();
        return true;
    }
    bool on_string_part(json::string_view text, std::size_t, error_type&)
    {
        stack_.push_chars(text);
        return true;
    }
    bool on_string(json::string_view text, std::size_t, error_type&)
    {
        stack_.push_string(text);
        return value_done();
    }
    bool on_number_part(json::string_view text, error_type&)
    {
        number_ += text;
        return true;
    }
    bool on_int64(std::int64_t value, json::string_view, error_type&)
    {
        number_.clear();
        stack_.push_int64(value);
        return value_done();
    }
    bool on_uint64(std::uint64_t value, json::string_view, error_type&)
    {
        number_.clear();
        stack_.push_uint64(value);
        return value_done();
    }
    // Boost.JSON 1.81 may round the last digit wrongly, so the text is converted again.
    bool on_double(double value, json::string_view text, error_type& ec)
    {
        number_ += text;
        auto const* const end = number_.data() + number_.size();
        auto const [rest, code] = std::from_chars(number_.data(), end, value);
        if (code != std::errc{} || rest != end)
            return fail("the number is out of range", json::error::exponent_overflow, ec);
        number_.clear();
        stack_.push_double(value);
        return value_done();
    }
    bool on_bool(bool value, error_type&)
    {
        stack_.push_bool(value);
        return value_done();
    }
    bool on_null(error_type&)
    {
        stack_.push_null();
        return value_done();
    }
    bool on_comment_part(json::string_view, error_type&) { return true; }
    bool on_comment(json::string_view, error_type&) { return true; }

private:
    struct level
    {
        bool is_array = false;
        std::size_t index = 0;
        std::string key;
        std::vector<std::string> names;
    };

    bool fail(std::string detail, json::error reason, error_type& ec)
    {
        failure_ = error{error_code::invalid_input, path(), "", std::move(detail)};
        ec = reason;
        return false;
    }
    bool enter(bool is_array, error_type& ec)
    {
        if (levels_.size() >= max_depth_)
            return fail("is nested deeper than " + std::to_string(max_depth_) + " levels",
                        json::error::too_deep, ec);
        levels_.emplace_back().is_array = is_array;
        return true;
    }
    bool leave()
    {
        levels_.pop_back();
        return value_done();
    }
    bool value_done()
    {
        if (!levels_.empty() && levels_.back().is_array)
            ++levels_.back().index;
        return true;
    }

    std::size_t max_depth_;
    json::value_stack stack_;
    std::vector<level> levels_;
    std::string key_;
    std::string number_;
    std::optional<error> failure_;
};

} // namespace

result<json::value> parse_strict_json(std::string_view text, std::size_t max_depth)
{
    json::parse_options options;
    // The handler refuses deeper documents first, with the path of the fault.
    options.max_depth = max_depth + 1;
    json::basic_parser<strict_handler> parser(options, max_depth);
    boost::system::error_code failure;
    auto const used = parser.write_some(false, text.data(), text.size(), failure);
    auto const& handler = parser.handler();
    if (handler.failure())
        return *handler.failure();
    if (failure)
        return error{error_code::invalid_input, handler.path(), "",
                     failure.message() + " at offset " + std::to_string(used)};
    if (text.find_first_not_of(" \t\r\n", used) != std::string_view::npos)
        return error{error_code::invalid_input, "", "",
                     "text follows the document at offset " + std::to_string(used)};
    return parser.handler().release();
}

} // namespace carawayturn
