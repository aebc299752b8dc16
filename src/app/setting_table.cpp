#include "app/setting_table.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <iterator>

namespace carawayturn
{

namespace
{

constexpr std::size_t min_secret_length = 16;
constexpr std::size_t max_name_length = 64;

/// Reads a whole number within a range.
bool read_number(std::string_view text, std::int64_t least, std::int64_t most,
                 std::int64_t& out)
{
    std::int64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const [stopped, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || stopped != end || value < least || value > most)
        return false;
    out = value;
    return true;
}

template <std::int64_t Least, std::int64_t Most, class Target>
bool store_number(std::string_view text, Target& out)
{
    std::int64_t value = 0;
    if (!read_number(text, Least, Most, value))
        return false;
    out = static_cast<Target>(value);
    return true;
}

template <std::int64_t Least, std::int64_t Most>
bool store_ms(std::string_view text, duration& out)
{
    std::int64_t value = 0;
    if (!read_number(text, Least, Most, value))
        return false;
    out = std::chrono::milliseconds(value);
    return true;
}

bool is_name(std::string_view text)
{
    auto const usable = [](char letter)
    {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
               letter == '.';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), usable);
}

bool is_ip_address(std::string_view text)
{
    auto const usable = [](char letter)
    {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f') ||
               (letter >= 'A' && letter <= 'F') || letter == '.' || letter == ':';
    };
    bool const separated = text.find('.') != std::string_view::npos ||
                           text.find(':') != std::string_view::npos;
    return separated && std::all_of(text.begin(), text.end(), usable);
}

template <std::uint16_t LeastPort>
bool store_endpoint(std::string_view text, endpoint& out)
{
    constexpr std::int64_t highest_port = 65535;
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    std::int64_t port = 0;
    if (!is_ip_address(host) ||
        !read_number(text.substr(colon + 1), LeastPort, highest_port, port))
        return false;
    out = {std::string(host), static_cast<std::uint16_t>(port)};
    return true;
}

bool store_listen(std::string_view text, endpoint& out)
{
    return store_endpoint<0>(text, out);
}

/// An address to connect to; empty for none.
bool store_peer_service(std::string_view text, endpoint& out)
{
    return text.empty() || store_endpoint<1>(text, out);
}

bool store_secret(std::string_view text, std::string& out)
{
    if (text.size() < min_secret_length)
        return false;
    out = text;
    return true;
}

/// Reads a secret from a file, without the line end. An empty name leaves it as it is.
bool store_secret_file(std::string_view name, std::string& out)
{
    if (name.empty())
        return true;
    std::ifstream file{std::string(name), std::ios::binary};
    std::string text{std::istreambuf_iterator<char>(file), {}};
    while (text.ends_with('\n') || text.ends_with('\r'))
        text.pop_back();
    return store_secret(text, out);
}

bool store_level(std::string_view text, log_level& out)
{
    constexpr std::string_view names[] = {"debug", "info", "warning", "error"};
    auto const* const found = std::find(std::begin(names), std::end(names), text);
    if (found == std::end(names))
        return false;
    out = static_cast<log_level>(found - std::begin(names));
    return true;
}

constexpr std::string_view address_text = "IP address and port from 0 to 65535";
constexpr std::string_view service_text =
    "IP address and port from 1 to 65535, or empty for none";
constexpr std::string_view secret_text = "at least 16 characters, or empty";
constexpr std::string_view file_text =
    "a readable file with at least 16 characters, or empty";

using text = std::string_view;
using settings = daemon_settings;

// The default of a listen address is loopback: another one has to be chosen on purpose.
constexpr setting_entry entries[] = {
    {"instance", "", "1 to 64 letters, digits or any of '-_.'",
     "Name of this instance, unique in the fleet",
     [](text value, settings& out)
     {
         out.server.instance = value;
         return is_name(value);
     }},
    {"failure_domain", "default", "1 to 64 letters, digits or any of '-_.'",
     "Failure domain (zone) of this instance",
     [](text value, settings& out)
     {
         out.server.failure_domain = failure_domain_id(std::string(value));
         return is_name(value);
     }},
    {"listen", "127.0.0.1:8080", address_text, "Address for callers",
     [](text value, settings& out)
     { return store_listen(value, out.server.caller_listen); }},
    {"admin_listen", "127.0.0.1:8081", address_text, "Address for operators",
     [](text value, settings& out)
     { return store_listen(value, out.server.admin.listen); }},
    {"peer_listen", "127.0.0.1:8082", address_text,
     "Address for other instances, UDP and TCP; they are told this address",
     [](text value, settings& out)
     { return store_listen(value, out.server.peers.listen); }},
    {"table", "", service_text, "Address of the platform's table service",
     [](text value, settings& out)
     { return store_peer_service(value, out.server.table.address); }},
    {"instance_list", "", service_text, "Address of the platform's instance list",
     [](text value, settings& out)
     { return store_peer_service(value, out.server.list.address); }},
    {"object_store", "", service_text, "Address of the platform's object store",
     [](text value, settings& out)
     { return store_peer_service(value, out.object_store); }},
    {"cluster_secret", "", secret_text,
     "Authenticates messages between instances; cluster_secret_file is preferred",
     [](text value, settings& out)
     { return value.empty() || store_secret(value, out.server.peers.cluster_secret); },
     true},
    {"cluster_secret_file", "", file_text, "File with the cluster secret",
     [](text value, settings& out)
     { return store_secret_file(value, out.server.peers.cluster_secret); }},
    {"operator_token", "", secret_text,
     "Authenticates operators; operator_token_file is preferred",
     [](text value, settings& out)
     { return value.empty() || store_secret(value, out.server.admin.operator_token); },
     true},
    {"operator_token_file", "", file_text, "File with the operator token",
     [](text value, settings& out)
     { return store_secret_file(value, out.server.admin.operator_token); }},
    {"lease_ms", "6000", "1000 to 60000", "Time to live of the slot lease",
     [](text value, settings& out)
     { return store_ms<1000, 60000>(value, out.core.lease.time_to_live); }},
    {"lease_renew_ms", "2000", "100 to 20000, at most half of lease_ms",
     "Period of the lease's renewal",
     [](text value, settings& out)
     {
         return store_ms<100, 20000>(value, out.core.lease.renew_every) &&
                2 * out.core.lease.renew_every <= out.core.lease.time_to_live;
     }},
    {"drain_notice_ms", "5000", "0 to 60000",
     "How long a draining instance accepts new requests",
     [](text value, settings& out)
     { return store_ms<0, 60000>(value, out.core.drain.notice); }},
    {"drain_limit_ms", "60000", "1000 to 3600000, at least drain_notice_ms",
     "Longest time until a draining instance exits",
     [](text value, settings& out)
     {
         return store_ms<1000, 3600000>(value, out.core.drain.limit) &&
                out.core.drain.limit >= out.core.drain.notice;
     }},
    {"max_body_bytes", "8388608", "1024 to 1073741824", "Largest body of a request",
     [](text value, settings& out)
     {
         return store_number<1024, 1073741824>(value,
                                               out.server.caller_limits.max_body_bytes);
     }},
    {"max_header_bytes", "16384", "1024 to 1048576", "Largest header of a request",
     [](text value, settings& out)
     {
         return store_number<1024, 1048576>(value,
                                            out.server.caller_limits.max_header_bytes);
     }},
    {"max_connections", "4096", "1 to 1000000", "Callers' connections at once",
     [](text value, settings& out) {
         return store_number<1, 1000000>(value, out.server.caller_limits.max_connections);
     }},
    {"max_waiting", "2000", "1 to 1000000", "Requests in the waiting line",
     [](text value, settings& out)
     { return store_number<1, 1000000>(value, out.core.flow.max_waiting); }},
    {"max_waiting_per_organisation", "500", "1 to 1000000",
     "Requests of one organisation in the waiting line",
     [](text value, settings& out) {
         return store_number<1, 1000000>(value,
                                         out.core.flow.max_waiting_per_organisation);
     }},
    {"max_attempts", "3", "1 to 10", "Attempts for one repeatable request",
     [](text value, settings& out)
     { return store_number<1, 10>(value, out.core.flow.max_attempts); }},
    {"core_ring", "8192", "64 to 1048576", "Events that may wait for the core thread",
     [](text value, settings& out)
     { return store_number<64, 1048576>(value, out.server.ring_capacity); }},
    {"backend_connect_ms", "1000", "10 to 60000", "Timeout of a connection to a backend",
     [](text value, settings& out)
     { return store_ms<10, 60000>(value, out.server.backends.connect_timeout); }},
    {"backend_answer_ms", "120000", "100 to 3600000",
     "Timeout of the head of a backend server's answer",
     [](text value, settings& out)
     { return store_ms<100, 3600000>(value, out.server.backends.answer_timeout); }},
    {"backend_idle_ms", "30000", "100 to 3600000",
     "Timeout between two parts of a backend server's answer",
     [](text value, settings& out)
     { return store_ms<100, 3600000>(value, out.server.backends.idle_timeout); }},
    {"max_answer_bytes", "33554432", "1024 to 1073741824",
     "Largest answer of a backend server that is not a stream",
     [](text value, settings& out) {
         return store_number<1024, 1073741824>(value,
                                               out.server.backends.max_answer_bytes);
     }},
    {"table_timeout_ms", "1000", "10 to 60000", "Timeout of an operation of the table",
     [](text value, settings& out)
     { return store_ms<10, 60000>(value, out.server.table.timeout); }},
    {"list_interval_ms", "1000", "50 to 60000", "Period of reading the instance list",
     [](text value, settings& out)
     { return store_ms<50, 60000>(value, out.server.list.interval); }},
    {"report_interval_ms", "250", "50 to 60000",
     "Period of reading each backend server's report",
     [](text value, settings& out)
     { return store_ms<50, 60000>(value, out.server.reports.interval); }},
    {"order_timeout_ms", "120000", "100 to 3600000", "Timeout of an order to an engine",
     [](text value, settings& out)
     { return store_ms<100, 3600000>(value, out.server.orders.timeout); }},
    {"seed", "0", "0 to 9223372036854775807", "Seed of random choices; 0 takes a new one",
     [](text value, settings& out)
     { return store_number<0, INT64_MAX>(value, out.core.identity.seed); }},
    {"log_level", "info", "debug, info, warning or error", "Least level that is logged",
     [](text value, settings& out) { return store_level(value, out.least_level); }},
};

} // namespace

std::span<setting_entry const> setting_entries()
{
    return entries;
}

} // namespace carawayturn
