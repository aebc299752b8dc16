#pragma once

#include "coordination/component.hpp"
#include "coordination/config_log.hpp"
#include "coordination/serving_authority.hpp"

#include <memory>

namespace carawayturn
{

enum class reserve_outcome
{
    granted,
    /// A budget_decided event follows.
    pending,
    refused
};

struct reserve_answer
{
    reserve_outcome outcome = reserve_outcome::refused;
    /// For refused: time until the tokens will have accrued.
    duration retry_after{0};
};

/// Keeps every organisation within its rate and burst over all instances (docs/design.md,
/// "Budgets"). Base shares are lent to the organisation's owner for short periods; grants
/// and spending are absolute single-writer counters.
class budget_manager : public component
{
public:
    [[nodiscard]] static std::unique_ptr<budget_manager>
    create(instance_identity identity, config_log const& config,
           serving_authority const& authority);

    /// Reserves an upper bound of tokens for a request. At most one reservation per
    /// request.
    virtual reserve_answer reserve(time_point now, request_id const& request,
                                   organisation_id const& organisation,
                                   token_count tokens, actions& out) = 0;

    /// Ends a reservation with the tokens used (0 if it did not run). A pending
    /// reservation is withdrawn. Unknown requests are ignored.
    virtual void settle(time_point now, request_id const& request, token_count used) = 0;

    /// Hands tokens and lent shares back before the instance leaves.
    virtual void release_all(time_point now, actions& out) = 0;
};

} // namespace carawayturn
