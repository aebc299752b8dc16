#pragma once

#include "state/entry/node_settings.hpp"
#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// The parts of an instance's memory and descriptors that each kind of use may take.
/// Answers the load pattern "clients of one kind use up the whole machine".
struct resource_shares
{
    std::uint64_t body_bytes = 0;
    std::uint64_t answer_bytes = 0;
    std::uint64_t runner_call_bytes = 0;
    /// Bytes of requests that are not parsed yet, and parsed header fields.
    std::uint64_t head_bytes = 0;
    /// Connections of callers.
    std::size_t caller_connections = 0;
    /// Connections at the readiness port, and as many at the metrics port.
    std::size_t probe_connections = 0;
};

/// Returns the shares of the settings' limits. docs/design/client-limits.md has the
/// reason for each.
[[nodiscard]] resource_shares divide_resources(node_settings const& settings);

/// The first bytes of each request's body and head take nothing of their shares. They
/// are part of the cost of a connection, so a short request never waits for memory.
inline constexpr std::uint64_t free_body_bytes = 4096;
inline constexpr std::uint64_t free_head_bytes = 8192;

/// Estimate of the memory that a request's head takes once it is parsed, while its bytes
/// arrive. Answers the load pattern "heads of legal size are made of very many short
/// fields", which take many times their size.
class head_memory
{
public:
    /// Counts the next bytes of the input. Bytes after the end of the head are not
    /// counted.
    void count(std::string_view input);
    [[nodiscard]] std::uint64_t bytes() const;

private:
    std::uint64_t bytes_ = 0;
    std::size_t line_length_ = 0;
    std::uint64_t lines_ = 0;
    bool complete_ = false;
};

/// Returns an estimate of the memory that unparsed input takes once it is parsed.
[[nodiscard]] std::uint64_t parsed_size(std::string_view input);

/// Limits the framing of a chunked body relative to its content. Answers the load pattern
/// "chunks with long extensions around little content".
[[nodiscard]] bool framing_too_long(std::uint64_t input_bytes, std::uint64_t body_bytes);

/// What a connection has received of its current request.
struct request_progress
{
    time_point began{};
    time_point last_input{};
    std::uint64_t received_bytes = 0;
    /// Received bytes wait to be read, so that the instance and not the client is late.
    bool input_waits = false;
};

/// Decides which unfinished connection is closed when the share of connections is used
/// up. Answers the load pattern "crowds send or read very slowly, or stop half-way".
namespace slow_request_policy
{

/// Number of connections that are compared for each decision, the oldest of their stage.
inline constexpr std::size_t max_candidates = 16;

/// Whether the connection may be closed in favour of a new one.
[[nodiscard]] bool replaceable(request_progress const& progress, time_point now);

/// Returns the index of the candidate that receives most slowly; the first one of equals.
/// Returns nothing if none is replaceable.
[[nodiscard]] std::optional<std::size_t>
slowest(std::vector<request_progress> const& candidates, time_point now);

/// Whether the client has sent nothing for the limit, and none of its bytes wait.
[[nodiscard]] bool stalled(request_progress const& progress, duration limit,
                           time_point now);

} // namespace slow_request_policy

/// Shares that clients use up, for metrics and the log.
enum class client_share : std::uint8_t
{
    connections,
    heads,
    bodies,
    framing,
    probes
};
inline constexpr std::size_t client_share_count = 5;

/// What was done for lack of a share.
enum class limit_action : std::uint8_t
{
    /// New connections wait in the port's backlog.
    waited,
    refused,
    closed_idle,
    closed_answered,
    closed_unfinished
};
inline constexpr std::size_t limit_action_count = 5;

[[nodiscard]] std::string_view name_of(client_share share);
[[nodiscard]] std::string_view name_of(limit_action action);

/// Decides which actions for lack of a share are logged: the first one of each share and
/// kind of action, and after that one in each interval. Answers the load pattern "a crowd
/// causes thousands of refusals a second".
class limit_report
{
public:
    /// Records an action. If a log line is due, returns the number of actions since the
    /// last one.
    [[nodiscard]] std::optional<std::uint64_t>
    record(client_share share, limit_action action, time_point now);

private:
    struct record_entry
    {
        std::uint64_t unlogged = 0;
        std::optional<time_point> logged_at;
    };
    std::array<std::array<record_entry, limit_action_count>, client_share_count>
        entries_{};
};

} // namespace carawayturn::entry
