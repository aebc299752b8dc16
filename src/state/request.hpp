#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayturn
{

/// A caller's request as the core sees it. The caller's key is present as its digest
/// only; the body stays in the transport layer.
struct caller_request
{
    request_id id;
    std::string method;
    std::string path;
    std::optional<digest> key;
    /// SHA-256 of the body.
    digest body;
    /// Base model or adapter named in the body; empty for a plain service.
    std::string model;
    bool stream = false;
    token_count prompt_tokens = 0;
    token_count max_tokens = 0;
    std::optional<std::string> idempotency_key;
    /// Time by which the caller wants the answer; the route's default when absent.
    std::optional<duration> time_limit;
    /// Hash of the prompt's first block, for prefix-cache affinity; 0 if unknown.
    std::uint64_t prefix_hash = 0;
};

/// Whether a refused or failed request ran at a backend server.
enum class execution
{
    not_run,
    unknown,
    ran
};

/// Returns "not-run", "unknown" or "ran".
[[nodiscard]] std::string_view name_of(execution value);

/// Why a request was refused. The table of names and HTTP statuses is in refusal.cpp.
enum class refusal_code
{
    key_missing,
    key_unknown,
    key_withdrawn,
    not_permitted,
    route_unknown,
    model_unknown,
    no_authority,
    over_rate,
    queue_full,
    deadline_unreachable,
    deadline_passed,
    idempotency_key_missing,
    idempotency_key_reused,
    idempotency_outcome_unknown,
    store_unavailable,
    poisonous,
    backend_failed,
    backend_unavailable,
    draining,
    bad_request
};

/// Returns the stable code that callers see, for example "over_rate".
[[nodiscard]] std::string_view name_of(refusal_code code);

/// Returns the HTTP status sent with the code.
[[nodiscard]] std::uint16_t http_status(refusal_code code);

/// The final answer to a request that is not served.
struct refusal
{
    refusal_code code = refusal_code::bad_request;
    execution ran = execution::not_run;
    std::string message;
    /// When the caller may try again; sent as Retry-After, rounded up to whole seconds.
    std::optional<duration> retry_after;
    /// Position in the waiting line and the wait that was expected there.
    std::optional<std::uint32_t> place;
    std::optional<duration> expected_wait;
};

/// A finished answer kept for repeats of a at-most-once request.
struct stored_answer
{
    std::uint16_t status = 200;
    std::string content_type;
    std::string body;
    friend bool operator==(stored_answer const&, stored_answer const&) = default;
};

} // namespace carawayturn
