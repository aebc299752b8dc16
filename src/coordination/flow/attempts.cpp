#include "coordination/flow/flow_engine.hpp"

#include <algorithm>

namespace carawayturn::flow
{

namespace
{

/// Without a sign of life for this long after a break, the backend server counts as
/// crashed.
constexpr duration verification_limit = std::chrono::seconds(3);
/// The first report after a break may have been on its way before it; the second was not.
constexpr std::uint32_t reports_that_prove_life = 2;

} // namespace

void flow_engine::attempt_started(dispatch_started const& input)
{
    auto* const entry = find_attempt(input.request, input.attempt);
    if (entry == nullptr || entry->phase != request_phase::dispatched)
        return;
    entry->first_byte_left = true;
}

void flow_engine::attempt_progressed(dispatch_progress const& input)
{
    auto* const entry = find_attempt(input.request, input.attempt);
    if (entry != nullptr && input.offset > entry->offset)
        entry->offset = input.offset;
}

void flow_engine::attempt_ended(time_point now, dispatch_ended const& input, actions& out)
{
    auto* const entry = find_attempt(input.request, input.attempt);
    if (entry == nullptr || entry->phase != request_phase::dispatched)
        return;
    chooser_.note_end(entry->backend, entry->runs_alone);
    entry->offset = std::max(entry->offset, input.offset);
    switch (input.outcome)
    {
    case dispatch_outcome::completed:
        finish(now, *entry, input, out);
        return;
    case dispatch_outcome::not_sent:
    case dispatch_outcome::rejected:
        note(*entry, now, "attempt was not run");
        retry_not_run(now, *entry, out);
        return;
    case dispatch_outcome::broken:
    case dispatch_outcome::cancelled:
        note(*entry, now, "attempt broke");
        handle_break(now, *entry, out);
        return;
    }
}

void flow_engine::finish(time_point now, open_request& entry, dispatch_ended const& input,
                         actions& out)
{
    if (parts_.poison.classify(entry.signature) == suspicion::suspect)
        parts_.poison.note_success(now, entry.signature, out);
    if (entry.at_most_once)
    {
        auto const answer = input.answer.value_or(stored_answer{});
        parts_.idempotency.finish(now, entry.request.id, answer, out);
        if (!entry.detached)
            out.push_back(deliver_answer{entry.request.id, answer});
    }
    close(now, entry, input.tokens_used.value_or(entry.tokens), "completed");
}

void flow_engine::retry_not_run(time_point now, open_request& entry, actions& out)
{
    entry.first_byte_left = false;
    entry.attempt_may_have_run = false;
    if (entry.attempt < limits_.max_attempts && now < entry.deadline && !entry.detached)
    {
        enter_line(now, entry, out);
        return;
    }
    refusal reason;
    reason.code = refusal_code::backend_unavailable;
    reason.message = "backend servers refused the request";
    reason.retry_after = std::chrono::seconds(1);
    refuse(now, entry, std::move(reason), out);
}

void flow_engine::handle_break(time_point now, open_request& entry, actions& out)
{
    entry.phase = request_phase::verifying_break;
    entry.earlier_may_have_run = true;
    entry.broke_at = now;
    entry.reports_since_break = 0;
    if (entry.at_most_once)
    {
        // The caller learns the truth at once; the entry stays until it is known whether
        // the backend server crashed.
        refusal reason;
        reason.code = refusal_code::backend_failed;
        reason.message = "the connection to the backend server broke";
        give_up_attempt(now, entry, std::move(reason), out);
        return;
    }
    if (entry.crash_counted)
        resume_after_break(now, entry, out);
}

void flow_engine::backend_alive(time_point now, backend_id const& backend, actions& out)
{
    for (auto const& id : ids())
    {
        auto* const entry = find(id);
        if (entry == nullptr || entry->phase != request_phase::verifying_break ||
            entry->backend != backend)
            continue;
        if (++entry->reports_since_break >= reports_that_prove_life)
            resume_after_break(now, *entry, out);
    }
}

void flow_engine::backend_crash(time_point now, backend_id const& backend, actions& out)
{
    for (auto const& id : ids())
    {
        auto* const entry = find(id);
        if (entry == nullptr || entry->backend != backend)
            continue;
        if (entry->phase == request_phase::verifying_break)
        {
            count_crash(now, *entry, out);
            resume_after_break(now, *entry, out);
        }
        else if (entry->phase == request_phase::dispatched)
        {
            // The transport ends the attempt; the next one starts only after that, so
            // that two attempts never write to the same caller.
            count_crash(now, *entry, out);
            out.push_back(cancel_dispatch{id, entry->attempt});
        }
    }
}

void flow_engine::count_crash(time_point now, open_request& entry, actions& out)
{
    if (entry.crash_counted || !entry.first_byte_left)
        return;
    entry.crash_counted = true;
    note(entry, now, "backend server " + entry.backend.str() + " crashed");
    parts_.poison.note_crash(now, entry.signature, entry.runs_alone, out);
}

void flow_engine::resume_after_break(time_point now, open_request& entry, actions& out)
{
    if (entry.detached)
    {
        close(now, entry, entry.tokens, "attempt broke after the caller had its answer");
        return;
    }
    refusal reason;
    if (parts_.poison.classify(entry.signature) == suspicion::poisonous)
    {
        reason.code = refusal_code::poisonous;
        reason.message = "this request crashed backend servers and is not run again";
        refuse(now, entry, std::move(reason), out);
        return;
    }
    if (entry.attempt < limits_.max_attempts && now < entry.deadline)
    {
        enter_line(now, entry, out);
        return;
    }
    reason.code = refusal_code::backend_failed;
    reason.message = "the connection to the backend server broke";
    reason.retry_after = std::chrono::seconds(1);
    refuse(now, entry, std::move(reason), out);
}

void flow_engine::expire_verification(time_point now, actions& out)
{
    for (auto const& id : ids())
    {
        auto* const entry = find(id);
        if (entry == nullptr || entry->phase != request_phase::verifying_break ||
            now - entry->broke_at < verification_limit)
            continue;
        count_crash(now, *entry, out);
        resume_after_break(now, *entry, out);
    }
}

} // namespace carawayturn::flow
