#pragma once

#include "coordination/backend_directory.hpp"
#include "coordination/budget_manager.hpp"
#include "coordination/component.hpp"
#include "coordination/config_log.hpp"
#include "coordination/idempotency_ledger.hpp"
#include "coordination/placement_manager.hpp"
#include "coordination/poison_ledger.hpp"
#include "coordination/serving_authority.hpp"

#include <memory>
#include <string>

namespace carawayturn
{

/// Limits of the waiting line and of attempts.
struct flow_limits
{
    std::uint32_t max_waiting = 2000;
    std::uint32_t max_waiting_per_organisation = 500;
    std::uint32_t max_attempts = 3;
    /// Requests in flight at one runner from this instance before it counts as busy.
    std::uint32_t max_in_flight_per_backend = 64;
    /// Runners of a pool on which suspects may run.
    std::uint32_t quarantine_backends = 2;
};

/// Takes each caller's request from arrival to its final answer: organisation and route,
/// authority, poison check, budget, idempotency, waiting line, choice of a backend
/// server, attempts, settlement. Every request gets exactly one final answer in time.
class request_flow : public component
{
public:
    struct parts
    {
        config_log const& config;
        serving_authority const& authority;
        backend_directory const& backends;
        budget_manager& budgets;
        placement_manager& placement;
        idempotency_ledger& idempotency;
        poison_ledger& poison;
    };

    [[nodiscard]] static std::unique_ptr<request_flow>
    create(instance_identity identity, parts collaborators, flow_limits limits);

    /// Refuses new requests with `draining` from now on; open ones go on.
    virtual void stop_accepting() = 0;

    /// Gives every open request a final answer now, because the process has to exit.
    virtual void refuse_all(time_point now, actions& out) = 0;

    /// Requests without a final answer, and attempts that outlive their callers.
    [[nodiscard]] virtual std::size_t open_requests() const = 0;

    /// What happened to a recent request, as JSON; empty if it is not known.
    [[nodiscard]] virtual std::string explain(request_id const& request) const = 0;
};

} // namespace carawayturn
