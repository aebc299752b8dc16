#include "coordination/flow/flow_engine.hpp"

#include <algorithm>

namespace carawayturn::flow
{

namespace
{

/// When to come back after a refusal that passes with the next lease renewal or leader
/// change.
constexpr duration short_retry = std::chrono::seconds(2);

refusal refused(refusal_code code, std::string message)
{
    refusal reason;
    reason.code = code;
    reason.message = std::move(message);
    return reason;
}

refusal refused(refusal_code code, std::string message, duration retry_after)
{
    auto reason = refused(code, std::move(message));
    reason.retry_after = retry_after;
    return reason;
}

bool permits(std::set<std::string> const& names, std::string const& name)
{
    return names.contains("*") || names.contains(name);
}

bool serves(pool_config const& pool, model_id const& model)
{
    return std::find(pool.models.begin(), pool.models.end(), model) != pool.models.end();
}

} // namespace

void flow_engine::arrive(time_point now, caller_request const& request, actions& out)
{
    if (open_.contains(request.id))
    {
        out.push_back(
            refuse_request{request.id, refused(refusal_code::bad_request,
                                               "the request id is already in use")});
        return;
    }
    auto& entry = open_[request.id];
    entry.request = request;
    entry.arrived = now;
    entry.deadline = now;
    note(entry, now, "arrived");
    auto reason = identify(entry);
    if (!reason)
        reason = check_admission(now, entry);
    if (reason)
        refuse(now, entry, std::move(*reason), out);
    else
        continue_admission(now, entry, out);
}

std::optional<refusal> flow_engine::identify(open_request& entry) const
{
    auto const* const route = find_route(parts_.config.current(), entry.request.path);
    if (route == nullptr)
        return refused(refusal_code::route_unknown, "no route serves this path");
    entry.priority = route->priority;
    entry.at_most_once = route->at_most_once;
    entry.deadline =
        entry.arrived + entry.request.time_limit.value_or(route->default_deadline);
    entry.goal.pool = route->pool;
    if (auto reason = identify_organisation(entry, *route))
        return reason;
    if (auto reason = identify_target(entry, *route))
        return reason;
    entry.signature = poison_ledger::signature(entry.organisation, entry.request);
    return std::nullopt;
}

std::optional<refusal> flow_engine::identify_organisation(open_request& entry,
                                                          route_config const& route) const
{
    if (route.open)
        return std::nullopt;
    if (!entry.request.key)
        return refused(refusal_code::key_missing, "this route needs a key");
    auto const& config = parts_.config.current();
    auto const found = find_organisation(config, *entry.request.key);
    if (!found)
        return refused(refusal_code::key_unknown,
                       "the key is not known or was withdrawn");
    entry.organisation = *found;
    if (!permits(config.organisations.at(*found).pools, route.pool.str()))
        return refused(refusal_code::not_permitted,
                       "the organisation may not call this service");
    return std::nullopt;
}

std::optional<refusal> flow_engine::identify_target(open_request& entry,
                                                    route_config const& route) const
{
    auto const& config = parts_.config.current();
    auto const& pool = config.pools.at(route.pool);
    if (pool.kind == pool_kind::plain)
    {
        entry.tokens = route.request_tokens;
        return std::nullopt;
    }
    entry.tokens = entry.request.prompt_tokens + entry.request.max_tokens;
    entry.goal.model = model_id(entry.request.model);
    if (auto const adapter = config.adapters.find(adapter_id(entry.request.model));
        adapter != config.adapters.end())
    {
        entry.goal.adapter = adapter->first;
        entry.goal.model = adapter->second.model;
    }
    if (!serves(pool, entry.goal.model))
        return refused(refusal_code::model_unknown,
                       "the service has no such model or adapter");
    if (!route.open &&
        !permits(config.organisations.at(entry.organisation).models, entry.request.model))
        return refused(refusal_code::not_permitted,
                       "the organisation may not call this model");
    return std::nullopt;
}

std::optional<refusal> flow_engine::check_admission(time_point now,
                                                    open_request const& entry) const
{
    if (!accepting_)
        return refused(refusal_code::draining, "this instance is shutting down",
                       duration::zero());
    if (!parts_.authority.may_serve(now))
        return refused(refusal_code::no_authority,
                       "this instance is cut off and cannot check keys or limits",
                       short_retry);
    if (entry.at_most_once && !entry.request.idempotency_key)
        return refused(refusal_code::idempotency_key_missing,
                       "this route needs an Idempotency-Key header");
    if (parts_.poison.classify(entry.signature) == suspicion::poisonous)
        return refused(refusal_code::poisonous,
                       "this request crashed backend servers and is not run again");
    return std::nullopt;
}

void flow_engine::continue_admission(time_point now, open_request& entry, actions& out)
{
    if (!entry.goal.is_plain())
        ++arrivals_[entry.goal];
    mark_demand(entry.goal);
    if (!entry.at_most_once)
    {
        reserve_budget(now, entry, out);
        return;
    }
    // The ledger comes before the budget: a repeat of a finished request is answered even
    // when its organisation has no tokens left.
    entry.phase = request_phase::checking_idempotency;
    entry.ledger_asked = true;
    parts_.idempotency.begin(now, entry.request, entry.organisation, entry.deadline, out);
}

void flow_engine::decide_idempotency(time_point now, idempotency_decided const& verdict,
                                     actions& out)
{
    auto* const entry = find(verdict.request);
    if (entry == nullptr || entry->phase != request_phase::checking_idempotency)
        return;
    switch (verdict.verdict)
    {
    case idempotency_verdict::proceed:
        entry->intent_durable = true;
        note(*entry, now, "intent is durable");
        reserve_budget(now, *entry, out);
        return;
    case idempotency_verdict::replay:
        out.push_back(
            deliver_answer{verdict.request, verdict.answer.value_or(stored_answer{})});
        close(now, *entry, 0, "answered from the kept answer of an earlier run");
        return;
    case idempotency_verdict::body_differs:
        refuse(now, *entry,
               refused(refusal_code::idempotency_key_reused,
                       "the Idempotency-Key was used with another body"),
               out);
        return;
    case idempotency_verdict::outcome_unknown:
        refuse(now, *entry,
               refused(refusal_code::idempotency_outcome_unknown,
                       "an earlier request with this Idempotency-Key may have run"),
               out);
        return;
    case idempotency_verdict::store_unavailable:
        refuse(now, *entry,
               refused(refusal_code::store_unavailable,
                       "the request cannot be recorded, so it was not started",
                       short_retry),
               out);
        return;
    }
}

void flow_engine::reserve_budget(time_point now, open_request& entry, actions& out)
{
    if (entry.organisation.empty())
    {
        enter_line(now, entry, out);
        return;
    }
    entry.phase = request_phase::awaiting_budget;
    auto const answer = parts_.budgets.reserve(now, entry.request.id, entry.organisation,
                                               entry.tokens, out);
    if (answer.outcome == reserve_outcome::granted)
        enter_line(now, entry, out);
    else if (answer.outcome == reserve_outcome::refused)
        refuse(now, entry,
               refused(refusal_code::over_rate, "the organisation's tokens are used up",
                       answer.retry_after),
               out);
}

void flow_engine::decide_budget(time_point now, budget_decided const& decision,
                                actions& out)
{
    auto* const entry = find(decision.request);
    if (entry == nullptr || entry->phase != request_phase::awaiting_budget)
        return;
    if (decision.granted)
        enter_line(now, *entry, out);
    else
        refuse(now, *entry,
               refused(refusal_code::over_rate, "the organisation's tokens are used up",
                       decision.retry_after),
               out);
}

void flow_engine::enter_line(time_point now, open_request& entry, actions& out)
{
    waiting_entry place{entry.request.id,
                        entry.organisation,
                        entry.priority,
                        entry.arrived,
                        entry.deadline,
                        entry.tokens,
                        weight_of(entry.organisation)};
    if (!line_.add(entry.goal, std::move(place), limits_.max_waiting,
                   limits_.max_waiting_per_organisation))
    {
        refuse(now, entry,
               refused(refusal_code::queue_full, "too many requests are waiting",
                       short_retry),
               out);
        return;
    }
    entry.phase = request_phase::waiting;
    note(entry, now, "waiting for a backend server");
    mark_demand(entry.goal);
    serve_target(now, entry.goal, out);
}

} // namespace carawayturn::flow
