#pragma once

#include "state/fleet.hpp"
#include "state/fleet_config.hpp"
#include "state/peer_message.hpp"
#include "state/request.hpp"
#include "state/table.hpp"
#include "state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carawayturn
{

/// Periodic call, at least every tick_interval.
struct tick
{
};

/// A caller's request whose head and body have been read whole.
struct request_arrived
{
    caller_request request;
};

/// The caller closed its connection.
struct caller_gone
{
    request_id request;
};

/// The backend server accepted the request's first byte. From here on it may have run.
struct dispatch_started
{
    request_id request;
    std::uint32_t attempt = 0;
};

/// Streamed output reached the caller; `offset` counts tokens or events so far.
struct dispatch_progress
{
    request_id request;
    std::uint32_t attempt = 0;
    std::uint64_t offset = 0;
};

enum class dispatch_outcome
{
    /// The whole answer arrived.
    completed,
    /// The connection was refused, or failed before the first byte of the request left.
    not_sent,
    /// The backend server answered that it did not run the request.
    rejected,
    /// The connection broke or timed out after the first byte of the request left.
    broken,
    cancelled
};

/// An attempt ended. Nothing more arrives for it.
struct dispatch_ended
{
    request_id request;
    std::uint32_t attempt = 0;
    dispatch_outcome outcome = dispatch_outcome::completed;
    /// Tokens the engine counted; absent when it did not say.
    std::optional<token_count> tokens_used;
    /// Tokens or events that reached the caller before a break.
    std::uint64_t offset = 0;
    /// The answer, for routes whose answers are kept.
    std::optional<stored_answer> answer;
};

/// Answer to a store_commit or store_read.
struct table_answered
{
    operation_id operation;
    table_outcome outcome;
};

/// Answer to a send_order.
struct order_answered
{
    engine_order order;
    order_result outcome = order_result::unknown;
    /// The runner's incarnation in its answer; 0 if there was none.
    incarnation_number incarnation = 0;
};

struct report_received
{
    backend_report report;
};

/// The last few polls of a backend server failed to connect.
struct backend_unreachable
{
    backend_id backend;
};

struct instances_listed
{
    std::vector<listed_instance> instances;
};

/// A peer's message whose authentication code was right.
struct peer_received
{
    instance_id from;
    peer_message message;
};

/// An operator submits a change. `expected` guards against racing operators.
struct change_submitted
{
    operation_id operation;
    config_change change;
    std::optional<config_version> expected;
};

struct drain_requested
{
};

/// Number of callers' connections with a request that has begun to arrive and whose
/// answer is not completely written. Delivered before drain_requested and after each
/// later change. A connection is counted until its request_arrived has been delivered,
/// and longer.
struct callers_busy
{
    std::size_t connections = 0;
};

// The following events come from components of the core itself.

/// Budget answer to a request that waited for tokens.
struct budget_decided
{
    request_id request;
    bool granted = false;
    duration retry_after{0};
};

enum class idempotency_verdict
{
    /// The intent is durable: the request may be sent.
    proceed,
    /// An earlier run finished: give its answer.
    replay,
    /// The key came with another body.
    body_differs,
    /// An earlier run's outcome is not known.
    outcome_unknown,
    /// The intent could not be made durable.
    store_unavailable
};

struct idempotency_decided
{
    request_id request;
    idempotency_verdict verdict = idempotency_verdict::proceed;
    std::optional<stored_answer> answer;
};

/// A new configuration is in force at this instance.
struct config_changed
{
    config_version version = 0;
};

/// The replicas that this instance knows changed.
struct replicas_changed
{
    pool_id pool;
};

/// A backend server crashed or was replaced: its requests are broken.
struct backend_crashed
{
    backend_id backend;
};

using event =
    std::variant<tick, request_arrived, caller_gone, dispatch_started, dispatch_progress,
                 dispatch_ended, table_answered, order_answered, report_received,
                 backend_unreachable, instances_listed, peer_received, change_submitted,
                 drain_requested, callers_busy, budget_decided, idempotency_decided,
                 config_changed, replicas_changed, backend_crashed>;

/// Longest time between two ticks.
inline constexpr duration tick_interval = std::chrono::milliseconds(25);

} // namespace carawayturn
