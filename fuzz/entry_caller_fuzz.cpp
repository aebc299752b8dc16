#include "coordination/entry/client_limits.hpp"
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

std::string repeated(std::string_view text, int times)
{
    std::string all;
    for (int i = 0; i < times; ++i)
        all += text;
    return all;
}

/// Returns the memory that the fields take: their bytes and 64 bytes for each.
std::uint64_t size_of_fields(http::request_header<> const& head)
{
    std::uint64_t size = 0;
    for (auto const& field : head)
        size += 64 + field.name_string().size() + field.value().size();
    return size;
}

/// Parses a request that arrives in pieces of this size. Checks that the memory of its
/// fields was estimated before they were parsed, that what is not parsed is bounded by
/// the limit that ends the request, and that the body keeps its limit.
void check_pieces(std::string_view input, std::size_t piece)
{
    constexpr std::uint64_t body_limit = 100'000;
    http::request_parser<http::string_body> parser;
    parser.header_limit(header_limit);
    parser.body_limit(body_limit);
    entry::head_memory head;
    std::string unparsed;
    std::uint64_t parsed_body = 0;
    while (!input.empty() && !parser.is_done())
    {
        if (!parser.is_header_done())
            head.count(input.substr(0, piece));
        unparsed += input.substr(0, piece);
        input.remove_prefix(std::min(piece, input.size()));
        boost::system::error_code failure;
        while (!failure && !unparsed.empty() && !parser.is_done())
        {
            bool const in_body = parser.is_header_done();
            parser.eager(in_body);
            auto const used = parser.put(
                boost::asio::buffer(unparsed.data(), unparsed.size()), failure);
            unparsed.erase(0, used);
            parsed_body += in_body ? used : 0;
            if (!in_body && parser.is_header_done())
                fuzz_check(size_of_fields(parser.get()) <= head.bytes(),
                           "the memory of the head was estimated before it was parsed");
        }
        if (failure && failure != http::error::need_more)
            return;
        auto const body = parser.get().body().size();
        fuzz_check(body <= body_limit, "the body keeps its limit");
        fuzz_check(entry::parsed_size(unparsed) >= unparsed.size(),
                   "unparsed bytes are counted");
        if (entry::framing_too_long(parsed_body, body) || unparsed.size() > header_limit)
            return;
    }
}

} // namespace

// Parses a caller's request in pieces, then decodes its head and encodes the head for a
// backend server.
int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    for (std::size_t const piece : {std::size_t{1}, std::size_t{7}, std::size_t{4096}})
        if (piece > 1 || size <= 4096)
            check_pieces(as_text(data, size), piece);
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
            "GET / HTTP/1.0\r\nX-Expect-Instance: s9\r\nKv-From: 10.0.0.1:5/x\r\n\r\n",
            "POST /a/ HTTP/1.1\r\nHost: h\r\n" + repeated("a:b\r\n", 2500) +
                "Content-Length: 2\r\n\r\nhi",
            "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
                repeated("1\r\nx\r\n", 500) + "0\r\n\r\n",
            "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
                repeated("1;a=b;c=\"d\"\r\nx\r\n", 300) + "0;e\r\n" +
                repeated("t:u\r\n", 1000) + "\r\n"};
}
