#include "fuzz_target.hpp"
#include "http_head.hpp"
#include "platform/request_codec.hpp"
#include "protocol/entry/request_framing.hpp"

using namespace carawayturn;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint32_t header_limit = 16384;

/// Returns whether the head has a header with this name.
bool has_field(http::request_header<> const& head, std::string_view name)
{
    return head.find({name.data(), name.size()}) != head.end();
}

void check_attempt(http::request_header<> const& request)
{
    platform::attempt_parameters parameters;
    parameters.server_id = "s1";
    parameters.organisation = "acme";
    parameters.time_left = std::chrono::seconds(1);
    auto const attempt = platform::encode_attempt(request, parameters);
    fuzz_check(!has_field(attempt, "Authorization"), "the API key is not forwarded");
    fuzz_check(!has_field(attempt, "Transfer-Encoding"),
               "the caller's framing is not forwarded");
    fuzz_check(attempt.count("X-Tenant") == 1 && attempt["X-Tenant"] == "acme",
               "the organisation is the one that carawayturn determined");
    fuzz_check(attempt.count("X-Expect-Instance") == 1,
               "the expected server is set once");
    fuzz_check(attempt.count("X-Deadline-Ms") == 1, "the deadline is set once");
}

} // namespace

// Parses the head of a caller's request, decodes it and encodes the head for a backend
// server.
int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    http::request_parser<http::string_body> parser;
    if (!read_head(parser, header_limit, data, size))
        return 0;
    auto const& head = parser.get();
    if (entry::find_framing_fault(head) != entry::framing_fault::none)
        return 0;
    auto const request = platform::decode_request(head);
    fuzz_check(request.tokens >= 0 && request.tokens < 1e9,
               "the token count is in its range");
    fuzz_check(!request.deadline || (*request.deadline >= duration::zero() &&
                                     *request.deadline <= std::chrono::hours(24)),
               "the deadline is in its range");
    check_attempt(head);
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    return {"POST /a/b?c=d HTTP/1.1\r\nHost: h.example:80\r\nX-Request-Id: 9c41d07b\r\n"
            "X-Model: m1/a1\r\nX-Token-Count: 1460,80\r\n"
            "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nX-Deadline-Ms: 15000\r\n"
            "Authorization: Token k1\r\nContent-Length: 2\r\n\r\nhi",
            "POST /a/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Tenant: other\r\n"
            "Transfer-Encoding: chunked\r\nConnection: close, X-Tenant\r\n\r\n"
            "5\r\nhello\r\n0\r\n\r\n",
            "GET / HTTP/1.0\r\nX-Expect-Instance: s9\r\nKv-From: 10.0.0.1:5/x\r\n\r\n"};
}
