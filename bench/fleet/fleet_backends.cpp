// Orders and requests from instances to backend servers.

#include "fleet/fleet.hpp"
#include "fleet/fleet_node.hpp"

#include <algorithm>

namespace carawayturn::bench
{

fake_engine* fleet::find_engine(backend_id const& id)
{
    auto const found =
        std::find_if(engines_.begin(), engines_.end(),
                     [&](auto const& engine) { return engine->chosen().id == id; });
    return found == engines_.end() ? nullptr : found->get();
}

bool fleet::decided(engine_order const& order) const
{
    auto const row = table_.row("runners/" + order.backend.str());
    return row.value && row.value->find(order.decision.str()) != std::string::npos;
}

void fleet::send_order_to(std::size_t index, engine_order const& order)
{
    auto& entry = *nodes_[index];
    auto const incarnation = entry.start.incarnation;
    auto* const engine = find_engine(order.backend);
    auto const reply = [=, this](order_result outcome, incarnation_number at)
    {
        queue_.after(settings_.shape.one_way,
                     [=, this] {
                         feed(index, incarnation, order_answered{order, outcome, at});
                     });
    };
    if (engine == nullptr || !engine->up() ||
        !entry.driver->may_send_order(queue_.now(), order))
    {
        reply(order_result::not_delivered, 0);
        return;
    }
    queue_.after(settings_.shape.one_way,
                 [=, this]
                 {
                     if (engine->up())
                         engine->order(order, decided(order), reply);
                     else
                         reply(order_result::not_delivered, 0);
                 });
}

void fleet::dispatch(std::size_t index, dispatch_request const& wanted)
{
    auto& entry = *nodes_[index];
    auto const incarnation = entry.start.incarnation;
    entry.attempts[wanted.request] = wanted.attempt;
    auto* const engine = find_engine(wanted.backend);
    if (engine == nullptr || !engine->up())
    {
        queue_.after(settings_.shape.one_way,
                     [=, this]
                     {
                         dispatch_ended ended;
                         ended.request = wanted.request;
                         ended.attempt = wanted.attempt;
                         ended.outcome = dispatch_outcome::not_sent;
                         feed(index, incarnation, ended);
                     });
        return;
    }
    queue_.after(
        duration{0},
        [=, this] {
            feed(index, incarnation, dispatch_started{wanted.request, wanted.attempt});
        });
    queue_.after(settings_.shape.one_way,
                 [=, this] { run_at_engine(index, incarnation, wanted, *engine); });
}

void fleet::run_at_engine(std::size_t index, incarnation_number incarnation,
                          dispatch_request const& wanted, fake_engine& engine)
{
    auto const& entry = *nodes_[index];
    auto const current = entry.attempts.find(wanted.request);
    // A dead instance's bytes may have arrived all the same: the connection was open.
    if (entry.runs(incarnation) &&
        (current == entry.attempts.end() || current->second != wanted.attempt))
        return;
    auto const& request = callers_.at(wanted.request).request;
    auto const reply = [=, this](work_result outcome, token_count used)
    { end_dispatch(index, incarnation, wanted, outcome, used); };
    if (!engine.up())
    {
        reply(work_result::broken, 0);
        return;
    }
    engine_work work;
    work.request = wanted.request;
    work.attempt = wanted.attempt;
    work.model = model_id(request.model);
    if (auto const found = config_.adapters.find(adapter_id(request.model));
        found != config_.adapters.end())
    {
        work.adapter = found->first;
        work.model = found->second.model;
    }
    work.priority = wanted.priority;
    work.prompt_tokens = request.prompt_tokens;
    work.output_tokens = request.output_tokens;
    work.offset = wanted.resume_offset;
    work.reference = request.once_key;
    work.crashes_server = request.crashes_server;
    note_start(wanted.request, engine);
    engine.run(std::move(work), reply);
}

void fleet::note_start(request_id const& request, fake_engine const&)
{
    auto& record = callers_.at(request);
    ++record.executions;
    if (!record.started)
        record.started = queue_.now();
}

void fleet::end_dispatch(std::size_t index, incarnation_number incarnation,
                         dispatch_request const& wanted, work_result outcome,
                         token_count used)
{
    auto& record = callers_.at(wanted.request);
    if (outcome == work_result::not_loaded)
    {
        --record.executions;
        if (record.executions == 0)
            record.started.reset();
    }
    if (outcome == work_result::completed)
        record.tokens_used += used;
    queue_.after(settings_.shape.one_way,
                 [=, this]
                 {
                     auto& entry = *nodes_[index];
                     auto const current = entry.attempts.find(wanted.request);
                     if (!entry.runs(incarnation) || current == entry.attempts.end() ||
                         current->second != wanted.attempt)
                         return;
                     entry.attempts.erase(current);
                     dispatch_ended ended;
                     ended.request = wanted.request;
                     ended.attempt = wanted.attempt;
                     ended.tokens_used = used;
                     ended.outcome =
                         outcome == work_result::completed ? dispatch_outcome::completed
                         : outcome == work_result::broken  ? dispatch_outcome::broken
                                                           : dispatch_outcome::rejected;
                     if (wanted.keep_answer)
                         ended.answer = stored_answer{200, "application/json", "{}"};
                     else if (outcome == work_result::completed)
                         answer(index, wanted.request, answer_kind::served, std::nullopt);
                     feed(index, incarnation, ended);
                 });
}

void fleet::cancel(std::size_t index, cancel_dispatch const& wanted)
{
    auto& entry = *nodes_[index];
    entry.attempts.erase(wanted.request);
    for (auto const& engine : engines_)
        engine->cancel(wanted.request);
    dispatch_ended ended;
    ended.request = wanted.request;
    ended.attempt = wanted.attempt;
    ended.outcome = dispatch_outcome::cancelled;
    queue_.after(duration{0}, [=, this, incarnation = entry.start.incarnation]
                 { feed(index, incarnation, ended); });
}

} // namespace carawayturn::bench
