#include "app/cli/admin_client.hpp"

#include "state/config_text.hpp"
#include "transport/http_call.hpp"

#include <boost/json.hpp>

#include <utility>

namespace carawayturn::cli
{

namespace
{

/// A submission is answered when the change is in force everywhere, or after 10 s.
constexpr duration call_timeout = std::chrono::seconds(20);

error_code code_of(unsigned status)
{
    switch (status)
    {
    case 400:
    case 422:
        return error_code::invalid_input;
    case 401:
    case 403:
        return error_code::permission_denied;
    case 404:
        return error_code::not_found;
    case 409:
        return error_code::conflict;
    default:
        return error_code::unavailable;
    }
}

std::string to_text(endpoint const& address)
{
    return address.address + ":" + std::to_string(address.port);
}

} // namespace

admin_client::admin_client(endpoint instance, std::string operator_token)
    : instance_(std::move(instance)), operator_token_(std::move(operator_token))
{
}

result<fleet_config> admin_client::config() const
{
    auto const body = call("GET", "/admin/config", "");
    if (!succeeded(body))
        return std::get<error>(body);
    return parse_config(std::get<std::string>(body));
}

result<std::string> admin_client::submit(operation_id const& operation,
                                         config_change const& change,
                                         std::optional<config_version> expected) const
{
    boost::json::object body{{"operation", operation.str()},
                             {"change", boost::json::parse(print_change(change))}};
    if (expected)
        body["expected"] = *expected;
    return call("POST", "/admin/changes", boost::json::serialize(body));
}

result<std::string> admin_client::state() const
{
    return call("GET", "/admin/state", "");
}

result<std::string> admin_client::explain(request_id const& request) const
{
    return call("GET", "/admin/explain/" + request.str(), "");
}

result<std::string> admin_client::drain() const
{
    return call("POST", "/admin/drain", "");
}

result<std::string> admin_client::call(std::string method, std::string target,
                                       std::string body) const
{
    http_call request;
    request.to = instance_;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers = {{"Authorization", "Bearer " + operator_token_},
                       {"Content-Type", "application/json"}};
    request.body = std::move(body);
    request.timeout = call_timeout;
    auto const answer = call_http(request);
    if (!succeeded(answer))
        return std::get<error>(answer);
    auto const& received = std::get<http_answer>(answer);
    if (received.status / 100 == 2)
        return received.body;
    return error{code_of(received.status),
                 "admin " + request.method + " " + request.target, to_text(instance_),
                 received.body};
}

} // namespace carawayturn::cli
