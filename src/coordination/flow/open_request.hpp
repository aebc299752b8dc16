#pragma once

#include "state/fleet_config.hpp"
#include "state/identifiers.hpp"
#include "state/request.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

namespace carawayturn::flow
{

/// What a request needs at a backend server. Model and adapter are empty for a plain
/// service.
struct target
{
    pool_id pool;
    model_id model;
    adapter_id adapter;
    friend auto operator<=>(target const&, target const&) = default;

    [[nodiscard]] bool is_plain() const { return model.empty(); }
};

enum class request_phase
{
    checking_idempotency,
    awaiting_budget,
    waiting,
    dispatched,
    /// The attempt broke; whether the backend server crashed is not known yet.
    verifying_break
};

/// Returns the phase's name for dumps and explanations.
[[nodiscard]] std::string_view name_of(request_phase phase);

/// One line of a request's history, for operators.
struct history_step
{
    time_point at{};
    std::string text;
};

/// A request that has no final answer yet, or whose attempt outlives its caller.
struct open_request
{
    caller_request request;
    organisation_id organisation;
    target goal;
    bool at_most_once = false;
    std::int32_t priority = 0;
    time_point arrived{};
    time_point deadline{};
    token_count tokens = 0;
    digest signature;

    request_phase phase = request_phase::checking_idempotency;
    /// The idempotency ledger has been asked; its verdict was `proceed` once
    /// intent_durable.
    bool ledger_asked = false;
    bool intent_durable = false;
    /// The caller has its final answer; the attempt goes on for the ledger's sake.
    bool detached = false;

    std::uint32_t attempt = 0;
    backend_id backend;
    /// The transport said that the first byte of the current attempt was leaving.
    bool first_byte_left = false;
    /// The current attempt was handed to the transport and is not proven not to have run.
    /// The event that the first byte left may still be on its way, so this is set at
    /// hand-over.
    bool attempt_may_have_run = false;
    /// An earlier attempt may have run.
    bool earlier_may_have_run = false;
    std::uint64_t offset = 0;
    bool runs_alone = false;
    bool crash_counted = false;
    time_point broke_at{};
    std::uint32_t reports_since_break = 0;
    std::set<backend_id> tried;

    std::vector<history_step> history;
};

} // namespace carawayturn::flow
