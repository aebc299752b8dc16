#include "coordination/flow/flow_engine.hpp"

#include <algorithm>

namespace carawayturn::flow
{

namespace
{

constexpr std::uint16_t event_request_refused = 501;
constexpr std::uint16_t event_caller_gone = 503;

/// A waiting request is refused this long before its deadline, so that the answer still
/// arrives in time over the millisecond to the client.
constexpr duration answer_margin = std::chrono::milliseconds(20);

token_count tokens_so_far(open_request const& entry)
{
    return std::min(entry.tokens,
                    entry.request.prompt_tokens + static_cast<token_count>(entry.offset));
}

} // namespace

execution flow_engine::execution_of(open_request const& entry) const
{
    if (entry.attempt_may_have_run || entry.earlier_may_have_run)
        return execution::unknown;
    // Before the ledger has answered, an earlier request with the same key may have run
    // here or at another instance.
    if (entry.at_most_once && entry.request.idempotency_key && !entry.intent_durable)
        return execution::unknown;
    return execution::not_run;
}

void flow_engine::refuse(time_point now, open_request& entry, refusal reason,
                         actions& out)
{
    leave_line(entry);
    reason.ran = execution_of(entry);
    bool const may_have_run = entry.attempt_may_have_run || entry.earlier_may_have_run;
    if (entry.ledger_asked)
    {
        if (!entry.intent_durable)
            parts_.idempotency.abandon(now, entry.request.id, out);
        else if (may_have_run)
            parts_.idempotency.mark_unknown(now, entry.request.id, out);
        else
            parts_.idempotency.mark_not_run(now, entry.request.id, out);
    }
    std::string const code(name_of(reason.code));
    if (!entry.detached)
    {
        out.push_back(log_record{event_request_refused, entry.request.id.str(),
                                 code + ", ran: " + std::string(name_of(reason.ran)) +
                                     ", organisation: " + entry.organisation.str()});
        out.push_back(refuse_request{entry.request.id, std::move(reason)});
    }
    token_count const used = may_have_run ? tokens_so_far(entry) : 0;
    close(now, entry, used, "refused: " + code);
}

void flow_engine::give_up_attempt(time_point now, open_request& entry, refusal reason,
                                  actions& out)
{
    if (entry.ledger_asked)
        parts_.idempotency.mark_unknown(now, entry.request.id, out);
    entry.ledger_asked = false;
    if (!entry.detached)
        refuse_and_detach(now, entry, std::move(reason), out);
}

void flow_engine::close(time_point now, open_request& entry, token_count used,
                        std::string const& outcome)
{
    leave_line(entry);
    parts_.budgets.settle(now, entry.request.id, used);
    remember(entry, outcome, now);
    // The key is copied: erasing by a reference into the erased element is undefined.
    request_id const id = entry.request.id;
    open_.erase(id);
}

void flow_engine::caller_left(time_point now, request_id const& id, actions& out)
{
    auto* const entry = find(id);
    if (entry == nullptr || entry->detached)
        return;
    out.push_back(
        log_record{event_caller_gone, id.str(), std::string(name_of(entry->phase))});
    note(*entry, now, "caller closed the connection");
    entry->detached = true;
    if (entry->phase == request_phase::dispatched)
    {
        // A request that may not be repeated runs to its end, so that a repeat gets its
        // answer.
        if (!entry->at_most_once)
        {
            out.push_back(cancel_dispatch{id, entry->attempt});
            chooser_.note_end(entry->backend, entry->runs_alone);
            close(now, *entry, tokens_so_far(*entry), "cancelled by the caller");
        }
        return;
    }
    if (entry->phase == request_phase::verifying_break)
        return;
    refuse(now, *entry, refusal{}, out);
}

/// The entry outlives its caller: the answer is kept for a repeat, and a crash of the
/// backend server is still counted.
void flow_engine::refuse_and_detach(time_point now, open_request& entry, refusal reason,
                                    actions& out)
{
    entry.detached = true;
    reason.ran = execution_of(entry);
    note(entry, now, "caller was told: " + std::string(name_of(reason.code)));
    out.push_back(refuse_request{entry.request.id, std::move(reason)});
}

void flow_engine::end_request(time_point now, open_request& entry, refusal reason,
                              actions& out)
{
    bool const at_backend = entry.phase == request_phase::dispatched;
    if ((at_backend && entry.at_most_once) ||
        entry.phase == request_phase::verifying_break)
    {
        refuse_and_detach(now, entry, std::move(reason), out);
        return;
    }
    if (at_backend)
    {
        out.push_back(cancel_dispatch{entry.request.id, entry.attempt});
        chooser_.note_end(entry.backend, entry.runs_alone);
    }
    refuse(now, entry, std::move(reason), out);
}

void flow_engine::expire_deadlines(time_point now, actions& out)
{
    for (auto const& id : ids())
    {
        auto* const entry = find(id);
        if (entry == nullptr || entry->detached || now + answer_margin < entry->deadline)
            continue;
        bool const streaming = entry->request.stream && entry->offset > 0;
        if (streaming && entry->phase == request_phase::dispatched)
            continue;
        refusal reason;
        reason.code = refusal_code::deadline_passed;
        reason.message = "the deadline passed";
        reason.retry_after = std::chrono::seconds(1);
        end_request(now, *entry, std::move(reason), out);
    }
}

void flow_engine::recheck_permissions(time_point now, actions& out)
{
    auto const& config = parts_.config.current();
    for (auto const& id : ids())
    {
        auto* const entry = find(id);
        if (entry == nullptr || entry->detached || entry->organisation.empty())
            continue;
        auto const owner = entry->request.key
                               ? find_organisation(config, *entry->request.key)
                               : std::nullopt;
        if (owner == entry->organisation)
            continue;
        refusal reason;
        reason.code = refusal_code::key_withdrawn;
        reason.message = "the key was withdrawn";
        end_request(now, *entry, std::move(reason), out);
    }
}

void flow_engine::refuse_all(time_point now, actions& out)
{
    for (auto const& id : ids())
    {
        auto* const entry = find(id);
        if (entry == nullptr)
            continue;
        refusal reason;
        reason.code = refusal_code::draining;
        reason.message = "this instance has to stop";
        reason.retry_after = duration::zero();
        refuse(now, *entry, std::move(reason), out);
    }
}

} // namespace carawayturn::flow
