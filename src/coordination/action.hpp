#pragma once

#include "coordination/event.hpp"
#include "state/fleet.hpp"
#include "state/peer_message.hpp"
#include "state/request.hpp"
#include "state/table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carawayturn
{

/// Sends a message to one peer; it may be lost, doubled or reordered.
struct send_peer
{
    instance_id to;
    endpoint address;
    peer_message message;
};

struct store_commit
{
    table_commit commit;
};

struct store_read
{
    table_read read;
};

/// Sends an order to a runner. The transport calls instance_core::may_send_order() right
/// before the first byte and drops the order (not_delivered) if that says no.
struct send_order
{
    engine_order order;
};

/// Sends a caller's request to a backend server as the given attempt.
struct dispatch_request
{
    request_id request;
    std::uint32_t attempt = 0;
    backend_id backend;
    /// Tokens or events to skip when a broken stream is resumed.
    std::uint64_t resume_offset = 0;
    std::int32_t priority = 10;
    /// Keep the whole answer and pass it to dispatch_ended before the caller gets it; the
    /// caller's answer then waits for deliver_answer.
    bool keep_answer = false;
};

/// Cancels the current attempt at the backend server.
struct cancel_dispatch
{
    request_id request;
    std::uint32_t attempt = 0;
};

/// The request's final answer is a refusal. On a stream in progress it is an error event.
struct refuse_request
{
    request_id request;
    refusal reason;
};

/// The request's final answer is one kept earlier or just now.
struct deliver_answer
{
    request_id request;
    stored_answer answer;
};

/// Answers an operator's submission.
struct answer_submission
{
    operation_id operation;
    /// The version that the change became; 0 if it was not committed.
    config_version version = 0;
    /// In force at every instance that may serve.
    bool accepted = false;
    /// Committed, but these instances have not confirmed it yet.
    std::vector<instance_id> missing;
    std::optional<error> failure;
};

/// Whether new callers' connections are welcome; drives /readyz.
struct set_ready
{
    bool ready = false;
};

/// The instance has finished draining and may exit.
struct drain_finished
{
};

/// A numbered log event; see log_event.hpp and the catalogue in docs/OPERATIONS.md.
struct log_record
{
    std::uint16_t number = 0;
    std::string subject;
    std::string detail;
};

/// Feeds an event back into the core after the current one.
struct raise_event
{
    event raised;
};

using action =
    std::variant<send_peer, store_commit, store_read, send_order, dispatch_request,
                 cancel_dispatch, refuse_request, deliver_answer, answer_submission,
                 set_ready, drain_finished, log_record, raise_event>;
using actions = std::vector<action>;

} // namespace carawayturn
