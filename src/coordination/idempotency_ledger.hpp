#pragma once

#include "coordination/component.hpp"
#include "coordination/serving_authority.hpp"
#include "state/request.hpp"

#include <memory>

namespace carawayturn
{

/// Makes requests that may not be repeated run at most once. The intent is durable in the
/// table service before the first byte leaves; the answer is kept for repeats.
class idempotency_ledger : public component
{
public:
    [[nodiscard]] static std::unique_ptr<idempotency_ledger>
    create(instance_identity identity, serving_authority const& authority);

    /// Starts the check of a request with an idempotency key. An idempotency_decided
    /// event follows before `deadline`.
    virtual void begin(time_point now, caller_request const& request,
                       organisation_id const& organisation, time_point deadline,
                       actions& out) = 0;

    /// The request finished with this answer; it is kept for repeats.
    virtual void finish(time_point now, request_id const& request,
                        stored_answer const& answer, actions& out) = 0;

    /// The request is proven not to have run; a repeat may run.
    virtual void mark_not_run(time_point now, request_id const& request,
                              actions& out) = 0;

    /// The outcome is not known and never will be; repeats are told so.
    virtual void mark_unknown(time_point now, request_id const& request,
                              actions& out) = 0;

    /// The request left the waiting state before it was decided or sent.
    virtual void abandon(time_point now, request_id const& request, actions& out) = 0;

    /// Number of writes in progress; a draining instance waits for zero.
    [[nodiscard]] virtual std::size_t writes_in_progress() const = 0;
};

} // namespace carawayturn
