#include "coordination/entry/client_limits.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn::entry
{

namespace
{

constexpr double body_share = 0.25;
constexpr double answer_share = 0.25;
constexpr double runner_call_share = 0.0625;
constexpr double head_share = 0.0625;
constexpr double connection_share = 0.25;
/// Cost of one caller's connection: the free bytes of its request, the read buffer, and
/// the frames of its coroutines.
constexpr double connection_bytes = 20.0 * 1024;
constexpr double caller_descriptor_share = 0.5;
/// A prober opens one connection at a time, so a few are enough for each port.
constexpr double probe_descriptor_share = 1.0 / 64;
constexpr std::size_t min_probe_connections = 4;
constexpr std::size_t max_probe_connections = 32;

/// Memory of a parsed header field beside its bytes, with the copy of the head that is
/// sent to a server.
constexpr std::uint64_t field_bytes = 192;
/// The bytes of a field are held in the read buffer or the parsed head, and in the copy.
constexpr std::uint64_t copies_of_head = 2;

/// A chunk of one byte needs six bytes with its framing. Short extensions may come to it.
constexpr std::uint64_t framing_per_body_byte = 16;
constexpr std::uint64_t free_framing_bytes = std::uint64_t{64} * 1024;

/// A request that is being read is not replaced before this age: ordinary ones are read
/// sooner, and a crowd as large as the share is replaced twice a second.
constexpr duration min_replaceable_age = std::chrono::milliseconds(500);
/// The same if received bytes wait, because the instance may be what is slow.
constexpr duration min_age_with_input = std::chrono::seconds(3);

constexpr duration log_interval = std::chrono::seconds(10);

constexpr std::array<std::string_view, client_share_count> share_names{
    "connections", "heads", "bodies", "framing", "probes"};
constexpr std::array<std::string_view, limit_action_count> action_names{
    "waited", "refused", "closed_idle", "closed_answered", "closed_unfinished"};

double pace(request_progress const& progress, time_point now)
{
    return static_cast<double>(progress.received_bytes) /
           std::max(to_seconds(now - progress.began), 1e-3);
}

} // namespace

resource_shares divide_resources(node_settings const& settings)
{
    constexpr double megabyte = 1024.0 * 1024.0;
    auto const memory = [&settings](double share)
    { return static_cast<std::uint64_t>(settings.memory_mb * megabyte * share); };
    resource_shares shares;
    shares.body_bytes = memory(body_share);
    shares.answer_bytes = memory(answer_share);
    shares.runner_call_bytes = memory(runner_call_share);
    shares.head_bytes = memory(head_share);
    auto const by_memory = static_cast<std::size_t>(settings.memory_mb * megabyte *
                                                    connection_share / connection_bytes);
    auto callers = by_memory;
    shares.probe_connections = max_probe_connections;
    if (settings.max_descriptors > 0)
    {
        callers = std::min(by_memory, static_cast<std::size_t>(settings.max_descriptors *
                                                               caller_descriptor_share));
        shares.probe_connections = std::clamp(
            static_cast<std::size_t>(settings.max_descriptors * probe_descriptor_share),
            min_probe_connections, max_probe_connections);
    }
    shares.caller_connections = std::max<std::size_t>(callers, 1);
    return shares;
}

void head_memory::count(std::string_view input)
{
    for (char const byte : input)
    {
        if (complete_)
            return;
        ++bytes_;
        if (byte == '\n')
        {
            complete_ = line_length_ == 0 && lines_ > 0;
            line_length_ = 0;
            ++lines_;
        }
        else if (byte != '\r')
        {
            ++line_length_;
        }
    }
}

std::uint64_t head_memory::bytes() const
{
    return copies_of_head * bytes_ + field_bytes * lines_;
}

std::uint64_t parsed_size(std::string_view input)
{
    auto const lines = std::count(input.begin(), input.end(), '\n');
    return copies_of_head * input.size() +
           field_bytes * static_cast<std::uint64_t>(lines);
}

bool framing_too_long(std::uint64_t input_bytes, std::uint64_t body_bytes)
{
    return input_bytes > free_framing_bytes + (framing_per_body_byte + 1) * body_bytes;
}

bool slow_request_policy::replaceable(request_progress const& progress, time_point now)
{
    return now - progress.began >=
           (progress.input_waits ? min_age_with_input : min_replaceable_age);
}

std::optional<std::size_t>
slow_request_policy::slowest(std::vector<request_progress> const& candidates,
                             time_point now)
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        if (replaceable(candidates[i], now) &&
            (!found || pace(candidates[i], now) < pace(candidates[*found], now)))
            found = i;
    return found;
}

bool slow_request_policy::stalled(request_progress const& progress, duration limit,
                                  time_point now)
{
    return !progress.input_waits && now - progress.last_input >= limit;
}

std::string_view name_of(client_share share)
{
    return share_names.at(static_cast<std::size_t>(share));
}

std::string_view name_of(limit_action action)
{
    return action_names.at(static_cast<std::size_t>(action));
}

std::optional<std::uint64_t> limit_report::record(client_share share, limit_action action,
                                                  time_point now)
{
    auto& counts =
        entries_.at(static_cast<std::size_t>(share)).at(static_cast<std::size_t>(action));
    ++counts.unlogged;
    if (counts.logged_at && now - *counts.logged_at < log_interval)
        return std::nullopt;
    counts.logged_at = now;
    return std::exchange(counts.unlogged, 0);
}

} // namespace carawayturn::entry
