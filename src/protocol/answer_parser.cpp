#include "protocol/answer_parser.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace carawayturn
{

namespace
{

namespace http = boost::beast::http;

/// Lowest version of HTTP with transfer codings.
constexpr unsigned http_1_1 = 11;

constexpr unsigned first_status = 100;
constexpr unsigned switching_protocols = 101;
constexpr unsigned last_status = 599;

/// Most bytes of a malformed answer that are logged.
constexpr std::size_t max_described_bytes = 64;

/// Texts of the faults, in the order of the enumeration.
constexpr std::array<char const*, 4> fault_texts{
    "no fault", "status out of range", "protocol switch", "unusable transfer coding"};

class fault_category final : public boost::system::error_category
{
public:
    [[nodiscard]] char const* name() const noexcept override
    {
        return "carawayturn.answer";
    }
    [[nodiscard]] std::string message(int fault) const override
    {
        return fault_texts.at(static_cast<std::size_t>(fault));
    }
};

/// Errors with which Beast rejects bytes of an answer.
constexpr std::array<http::error, 12> syntax_errors{http::error::bad_line_ending,
                                                    http::error::bad_version,
                                                    http::error::bad_status,
                                                    http::error::bad_reason,
                                                    http::error::bad_field,
                                                    http::error::bad_value,
                                                    http::error::bad_content_length,
                                                    http::error::multiple_content_length,
                                                    http::error::bad_transfer_encoding,
                                                    http::error::bad_chunk,
                                                    http::error::bad_chunk_extension,
                                                    http::error::bad_obs_fold};

void append_escaped(std::string& text, char byte)
{
    constexpr std::string_view digits = "0123456789abcdef";
    if (byte >= ' ' && byte < '\x7f' && byte != '\\' && byte != '"')
    {
        text += byte;
        return;
    }
    auto const value = static_cast<unsigned char>(byte);
    text += "\\x";
    text += digits[value >> 4U];
    text += digits[value & 0xfU];
}

} // namespace

boost::system::error_category const& answer_fault_category()
{
    static fault_category const category;
    return category;
}

std::optional<answer_fault> find_status_fault(unsigned status)
{
    if (status < first_status || status > last_status)
        return answer_fault::status_out_of_range;
    if (status == switching_protocols)
        return answer_fault::protocol_switched;
    return std::nullopt;
}

std::optional<answer_fault> find_coding_fault(std::string_view value, unsigned version)
{
    // Empty elements of a list are ignored (RFC 9110, section 5.6.1.2).
    constexpr std::string_view separators = ", \t";
    auto const begin = std::min(value.find_first_not_of(separators), value.size());
    auto const end = value.find_last_not_of(separators) + 1;
    auto const codings = value.substr(begin, end > begin ? end - begin : 0);
    if (version < http_1_1 || !boost::beast::iequals(codings, "chunked"))
        return answer_fault::unusable_transfer_coding;
    return std::nullopt;
}

bool is_malformed_answer(boost::system::error_code failure)
{
    return failure.category() == answer_fault_category() ||
           std::find(syntax_errors.begin(), syntax_errors.end(), failure) !=
               syntax_errors.end();
}

std::string describe_malformed_answer(boost::system::error_code failure,
                                      boost::asio::const_buffer unread)
{
    std::string text = "malformed answer, " + failure.message() + ": ";
    std::string_view const bytes(static_cast<char const*>(unread.data()), unread.size());
    for (char const byte : bytes.substr(0, max_described_bytes))
        append_escaped(text, byte);
    return text;
}

} // namespace carawayturn
