#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

// Decides whether bytes are an HTTP answer, for all that reads answers: those of backend
// servers, of the store and the other services of a platform, and of instances. Beast
// checks version, reason, names, values, line ends and lengths (RFC 9112, sections 2 to
// 7); answer_parser adds what Beast leaves to its users.
namespace carawayturn
{

/// Ways in which bytes that Beast accepts are no answer.
enum class answer_fault
{
    /// The status is not between 100 and 599 (RFC 9110, section 15). It is neither
    /// informational nor final.
    status_out_of_range = 1,
    /// Status 101: other bytes than HTTP follow (RFC 9110, section 15.2.2). Only a
    /// request that asks for it may be answered so, and carawayturn passes no such
    /// request on.
    protocol_switched,
    /// A Transfer-Encoding other than chunked alone, which no request accepts, or any in
    /// HTTP/1.0 (RFC 9112, sections 6.1 and 7). The body would not be the server's.
    unusable_transfer_coding
};

/// Returns the category of the error codes of answer_fault.
[[nodiscard]] boost::system::error_category const& answer_fault_category();

[[nodiscard]] inline boost::system::error_code make_error_code(answer_fault fault)
{
    return {static_cast<int>(fault), answer_fault_category()};
}

/// Maximum length of all informational answers before the final one, in bytes. Their
/// number is not limited: a server may send one now and then while it works, until the
/// request's deadline.
inline constexpr std::size_t max_informational_bytes = std::size_t{64} << 10U;

/// Whether another answer follows the one with this status (RFC 9110, section 15.2).
[[nodiscard]] constexpr bool is_informational(unsigned status)
{
    return status >= 100 && status < 200;
}

/// Returns what is wrong with the status of an answer, if anything.
[[nodiscard]] std::optional<answer_fault> find_status_fault(unsigned status);

/// Returns what is wrong with a Transfer-Encoding field of an answer, if anything.
/// @param version ten times the major version of HTTP plus the minor one.
[[nodiscard]] std::optional<answer_fault> find_coding_fault(std::string_view value,
                                                            unsigned version);

/// Whether an error of reading means that the bytes are no answer. Errors of the
/// connection, its end, and limits mean something else.
[[nodiscard]] bool is_malformed_answer(boost::system::error_code failure);

/// Returns text for the log: the reason why bytes are no answer, and the first of them.
/// The text is printable ASCII; other bytes are written as \xNN, 64 bytes at most.
/// @param unread bytes that the parser has not consumed, which begin with the faulty
///     line.
[[nodiscard]] std::string describe_malformed_answer(boost::system::error_code failure,
                                                    boost::asio::const_buffer unread);

/// Parses one answer of any kind; the body is read as by http::response_parser. Fails
/// with an error for which is_malformed_answer() is true if the bytes are no answer. The
/// faulty line is then the first one that was not consumed.
template <class Body>
class answer_parser : public boost::beast::http::response_parser<Body>
{
private:
    using string_view = boost::beast::string_view;

    // The functions of the base are private, so these also store the parts as it does.

    void on_response_impl(int status, string_view reason, int version,
                          boost::system::error_code& failure) override
    {
        if (auto const fault = find_status_fault(static_cast<unsigned>(status)))
        {
            failure = make_error_code(*fault);
            return;
        }
        auto& answer = this->get();
        answer.result(static_cast<unsigned>(status));
        answer.reason(reason);
        answer.version(static_cast<unsigned>(version));
    }

    void on_field_impl(boost::beast::http::field field, string_view name,
                       string_view value, boost::system::error_code& failure) override
    {
        auto& answer = this->get();
        answer.insert(field, name, value);
        if (field != boost::beast::http::field::transfer_encoding)
            return;
        if (auto const fault =
                find_coding_fault({value.data(), value.size()}, answer.version()))
            failure = make_error_code(*fault);
    }
};

} // namespace carawayturn

template <>
struct boost::system::is_error_code_enum<carawayturn::answer_fault> : std::true_type
{
};
