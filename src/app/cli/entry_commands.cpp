#include "app/cli/entry_commands.hpp"

#include "platform/config_codec.hpp"
#include "platform/settings_file.hpp"
#include "transport/http_call.hpp"

#include <chrono>
#include <utility>

namespace carawayturn::cli
{

namespace
{

constexpr auto call_timeout = std::chrono::seconds(3);
constexpr unsigned ok_status = 200;

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
    http_call request;
    request.to = address;
    request.target = target;
    request.timeout = call_timeout;
    auto answer = call_http(request);
    if (!succeeded(answer))
        return std::get<error>(answer);
    auto& received = std::get<http_answer>(answer);
    if (received.status != ok_status)
        return error{error_code::protocol_violation, "entry.read",
                     address.address + ":" + std::to_string(address.port),
                     "answered " + std::to_string(received.status)};
    return std::move(received.body);
}

} // namespace carawayturn::cli
