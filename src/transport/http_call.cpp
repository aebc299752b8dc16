#include "transport/http_call.hpp"

#include "protocol/answer_parser.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <optional>

namespace carawayturn
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr unsigned http_version = 11;

using request_type = http::request<http::string_body>;

std::string host_of(endpoint const& to)
{
    bool const is_v6 = to.address.find(':') != std::string::npos;
    return (is_v6 ? "[" + to.address + "]" : to.address) + ":" + std::to_string(to.port);
}

bool is_token(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char byte)
                       { return byte > ' ' && byte < '\x7f' && byte != ':'; });
}

bool is_target(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char byte) { return byte > ' ' && byte < '\x7f'; });
}

bool is_header_value(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

/// Returns what would break the message's framing; Beast does not check it.
std::optional<std::string> find_invalid_part(http_call const& call)
{
    if (!is_token(call.method))
        return "the method is not a token";
    if (!is_target(call.target))
        return "the target has spaces, control or non-ASCII characters";
    for (auto const& [name, value] : call.headers)
    {
        if (!is_token(name) || !is_header_value(value))
            return "the header \"" + name + "\" has characters that are not allowed";
    }
    return std::nullopt;
}

request_type make_request(http_call const& call)
{
    request_type request;
    request.version(http_version);
    request.method_string(call.method);
    request.target(call.target);
    request.set(http::field::host, host_of(call.to));
    for (auto const& [name, value] : call.headers)
        request.insert(name, value);
    request.body() = call.body;
    request.prepare_payload();
    request.keep_alive(false);
    return request;
}

/// The asynchronous steps of one call; they run on the caller's thread. Only asynchronous
/// operations of tcp_stream observe a timeout.
class exchange
{
public:
    exchange(http_call const& call, asio::ip::tcp::endpoint address)
        : address_(std::move(address)), request_(make_request(call)), stream_(context_),
          timeout_(call.timeout), max_answer_bytes_(call.max_answer_bytes),
          answers_head_(call.method == "HEAD")
    {
    }

    /// Returns the step's error, or nothing when the answer is complete.
    boost::system::error_code run()
    {
        stream_.expires_after(timeout_);
        stream_.async_connect(address_, [this](beast::error_code ec) { connected(ec); });
        context_.run();
        return failure_;
    }

    [[nodiscard]] std::string const& step() const { return step_; }
    /// Returns why run() failed with this error.
    [[nodiscard]] std::string describe(boost::system::error_code failure) const
    {
        return is_malformed_answer(failure)
                   ? describe_malformed_answer(failure, buffer_.cdata())
                   : failure.message();
    }
    [[nodiscard]] http::response<http::string_body> release()
    {
        return parser_->release();
    }

private:
    void connected(beast::error_code ec)
    {
        failure_ = ec;
        if (ec)
            return;
        step_ = "http.send";
        http::async_write(stream_, request_,
                          [this](beast::error_code code, std::size_t) { sent(code); });
    }
    void sent(beast::error_code ec)
    {
        failure_ = ec;
        // A server may answer and close before it has read the whole request.
        if (ec && ec != asio::error::broken_pipe && ec != asio::error::connection_reset)
            return;
        reset_while_sending_ = ec == asio::error::connection_reset;
        step_ = "http.receive";
        receive();
    }
    void receive()
    {
        parser_.emplace();
        parser_->body_limit(max_answer_bytes_);
        parser_->skip(answers_head_);
        http::async_read(stream_, buffer_, *parser_,
                         [this](beast::error_code code, std::size_t size)
                         { received(code, size); });
    }
    void received(beast::error_code ec, std::size_t size)
    {
        failure_ = ec;
        // The kernel reports a reset once. The end of the connection that follows is not
        // the end of the answer.
        if (!ec && reset_while_sending_ && parser_->need_eof())
            failure_ = asio::error::connection_reset;
        if (failure_ || !is_informational(parser_->get().result_int()))
            return;
        informational_bytes_ += size;
        if (informational_bytes_ > max_informational_bytes)
            failure_ = http::error::header_limit;
        else
            receive();
    }

    asio::ip::tcp::endpoint address_;
    request_type request_;
    asio::io_context context_;
    beast::tcp_stream stream_;
    duration timeout_;
    beast::flat_buffer buffer_;
    std::optional<answer_parser<http::string_body>> parser_;
    std::size_t max_answer_bytes_;
    bool answers_head_;
    std::size_t informational_bytes_ = 0;
    bool reset_while_sending_ = false;
    std::string step_ = "http.connect";
    boost::system::error_code failure_;
};

error_code code_of(boost::system::error_code failure, std::string_view step)
{
    if (failure == beast::error::timeout)
        return error_code::timeout;
    if (step == "http.connect")
        return error_code::unavailable;
    if (failure == http::error::body_limit)
        return error_code::limit_exceeded;
    return error_code::unknown_outcome;
}

http_answer to_answer(http::response<http::string_body> response)
{
    http_answer answer;
    answer.status = response.result_int();
    for (auto const& field : response)
        answer.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    answer.body = std::move(response.body());
    return answer;
}

} // namespace

std::string_view http_answer::header(std::string_view name) const
{
    auto const found = std::find_if(headers.begin(), headers.end(),
                                    [&](http_header const& each)
                                    { return beast::iequals(each.name, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

result<http_answer> call_http(http_call const& call)
{
    std::string const peer = host_of(call.to);
    boost::system::error_code failure;
    auto const address = asio::ip::make_address(call.to.address, failure);
    if (failure)
        return error{error_code::invalid_input, "http.connect", peer,
                     "the address is not an IP address"};
    if (auto invalid = find_invalid_part(call))
        return error{error_code::invalid_input, "http.send", peer, std::move(*invalid)};
    exchange running(call, {address, call.to.port});
    failure = running.run();
    if (failure)
        return error{code_of(failure, running.step()), running.step(), peer,
                     running.describe(failure)};
    return to_answer(running.release());
}

} // namespace carawayturn
