#include "app/cli/entry_commands.hpp"

#include "platform/config_codec.hpp"
#include "platform/settings_file.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace carawayturn::cli
{

namespace
{

namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto call_timeout = std::chrono::seconds(3);

} // namespace

result<std::string> check_entry_settings(std::string_view text)
{
    auto const read = platform::decode_settings(text);
    if (!succeeded(read))
        return std::get<error>(read);
    auto const& settings = std::get<entry::node_settings>(read);
    return "instance " + settings.name + ", callers at " + settings.caller_address +
           ", peers at port " + std::to_string(settings.peer_port) +
           ", metrics at port " + std::to_string(settings.metrics_port) + ", store at " +
           settings.store_address + "\n";
}

result<std::string> check_entry_config(std::string_view text)
{
    auto const read = platform::decode_config(text);
    if (!succeeded(read))
        return std::get<error>(read);
    auto const& config = *std::get<0>(read);
    return "version " + std::to_string(config.version) + ": " +
           std::to_string(config.routes.size()) + " routes, " +
           std::to_string(config.services.size()) + " services, " +
           std::to_string(config.organisations.size()) + " organisations\n";
}

result<std::string> read_entry_page(endpoint const& address, std::string const& target)
{
    auto const peer = address.address + ":" + std::to_string(address.port);
    try
    {
        boost::asio::io_context io;
        beast::tcp_stream stream(io);
        stream.expires_after(call_timeout);
        stream.connect(boost::asio::ip::tcp::endpoint(
            boost::asio::ip::make_address(address.address), address.port));
        http::request<http::empty_body> request(http::verb::get, target, 11);
        request.set(http::field::host, peer);
        http::write(stream, request);
        beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        http::read(stream, buffer, answer);
        if (answer.result() != http::status::ok)
            return error{error_code::protocol_violation, "entry.read", peer,
                         "answered " + std::to_string(answer.result_int())};
        return answer.body();
    }
    catch (boost::system::system_error const& failure)
    {
        return error{error_code::unavailable, "entry.read", peer, failure.what()};
    }
}

} // namespace carawayturn::cli
