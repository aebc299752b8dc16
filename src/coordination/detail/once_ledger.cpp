#include "coordination/detail/once_ledger.hpp"

#include <boost/json.hpp>

namespace carawayturn::detail
{

namespace
{

constexpr std::uint16_t log_outcome_unknown = 601;
constexpr std::uint16_t log_answer_too_large = 605;

/// Waiting requests are decided this long before their deadline.
constexpr duration decision_margin = 2 * tick_interval;
/// An operation without an answer for this long has an unknown outcome.
constexpr duration answer_limit = std::chrono::seconds(10);

} // namespace

once_ledger::once_ledger(instance_identity identity, serving_authority const& authority)
    : identity_(std::move(identity)), authority_(authority)
{
}

void once_ledger::handle(time_point now, event const& input, actions& out)
{
    if (auto const* const answer = std::get_if<table_answered>(&input))
    {
        answered(now, *answer, out);
    }
    else if (std::holds_alternative<tick>(input))
    {
        step(now, out);
    }
}

void once_ledger::begin(time_point now, caller_request const& request,
                        organisation_id const& organisation, time_point deadline,
                        actions& out)
{
    std::string const key =
        once_key(organisation, request.idempotency_key.value_or(std::string()));
    auto const [found, created] = tasks_.try_emplace(key);
    once_task& task = found->second;
    bool const resting = task.stage == once_stage::closing && task.waiters.empty();
    task.waiters.push_back({request.id, request.body, deadline});
    if (created)
    {
        claim(now, key, task, out);
        return;
    }
    reject_other_bodies(task, out);
    if (resting && task.final_row && !task.waiters.empty())
    {
        // The outcome is known here, whether or not the row is written yet.
        on_foreign_row(now, key, task, *task.final_row, out);
    }
}

void once_ledger::finish(time_point now, request_id const& request,
                         stored_answer const& answer, actions& out)
{
    once_task* const task = task_of_runner(request);
    if (task == nullptr)
    {
        return;
    }
    std::string const key = runners_.at(request);
    once_row row = new_row(once_phase::done, *task);
    if (answer.body.size() <= largest_kept_answer)
    {
        row.answer = answer;
    }
    else
    {
        out.emplace_back(log_record{log_answer_too_large, key,
                                    std::to_string(answer.body.size()) + " bytes"});
    }
    decide_all(*task, idempotency_verdict::replay, out, answer);
    close(now, key, *task, std::move(row), out);
}

void once_ledger::mark_not_run(time_point now, request_id const& request, actions& out)
{
    once_task* const task = task_of_runner(request);
    if (task == nullptr)
    {
        return;
    }
    std::string const key = runners_.at(request);
    runners_.erase(request);
    run_next(now, key, *task, out);
}

void once_ledger::mark_unknown(time_point now, request_id const& request, actions& out)
{
    once_task* const task = task_of_runner(request);
    if (task == nullptr)
    {
        return;
    }
    std::string const key = runners_.at(request);
    out.emplace_back(log_record{log_outcome_unknown, key, request.str()});
    decide_all(*task, idempotency_verdict::outcome_unknown, out);
    close(now, key, *task, new_row(once_phase::unknown, *task), out);
}

void once_ledger::abandon(time_point now, request_id const& request, actions& out)
{
    if (runners_.contains(request))
    {
        mark_not_run(now, request, out);
        return;
    }
    for (auto& [key, task] : tasks_)
    {
        std::erase_if(task.waiters, [&request](once_waiter const& waiter)
                      { return waiter.request == request; });
    }
}

std::size_t once_ledger::writes_in_progress() const
{
    return static_cast<std::size_t>(
        std::count_if(tasks_.begin(), tasks_.end(),
                      [](auto const& entry)
                      {
                          return entry.second.stage == once_stage::closing ||
                                 entry.second.stage == once_stage::claiming;
                      }));
}

once_task* once_ledger::task_of_runner(request_id const& request)
{
    auto const found = runners_.find(request);
    return found == runners_.end() ? nullptr : &tasks_.at(found->second);
}

void once_ledger::decide(request_id const& request, idempotency_verdict verdict,
                         actions& out, std::optional<stored_answer> answer)
{
    out.emplace_back(
        raise_event{idempotency_decided{request, verdict, std::move(answer)}});
}

void once_ledger::decide_all(once_task& task, idempotency_verdict verdict, actions& out,
                             std::optional<stored_answer> const& answer)
{
    for (auto const& waiter : std::exchange(task.waiters, {}))
    {
        decide(waiter.request, verdict, out, answer);
    }
}

void once_ledger::reject_other_bodies(once_task& task, actions& out)
{
    if (task.body.empty())
    {
        return;
    }
    std::erase_if(task.waiters,
                  [&](once_waiter const& waiter)
                  {
                      bool const differs = waiter.body != task.body;
                      if (differs)
                      {
                          decide(waiter.request, idempotency_verdict::body_differs, out);
                      }
                      return differs;
                  });
}

void once_ledger::run_next(time_point now, std::string const& key, once_task& task,
                           actions& out)
{
    task.runner.reset();
    reject_other_bodies(task, out);
    if (task.waiters.empty())
    {
        close(now, key, task, new_row(once_phase::not_run, task), out);
        return;
    }
    // The durable intent is this instance's, whichever of its requests runs under it.
    task.runner = task.waiters.front().request;
    task.waiters.pop_front();
    task.stage = once_stage::running;
    runners_.emplace(*task.runner, key);
    decide(*task.runner, idempotency_verdict::proceed, out);
}

void once_ledger::expire_waiters(time_point now, once_task& task, actions& out)
{
    auto const verdict = task.seen_running || task.stage == once_stage::running
                             ? idempotency_verdict::outcome_unknown
                             : idempotency_verdict::store_unavailable;
    std::erase_if(task.waiters,
                  [&](once_waiter const& waiter)
                  {
                      bool const late = waiter.deadline <= now + decision_margin;
                      if (late)
                      {
                          decide(waiter.request, verdict, out);
                      }
                      return late;
                  });
}

void once_ledger::step(time_point now, actions& out)
{
    for (auto entry = tasks_.begin(); entry != tasks_.end();)
    {
        std::string const& key = entry->first;
        once_task& task = entry->second;
        expire_waiters(now, task, out);
        if (!task.awaited.empty() && task.awaited_since + answer_limit <= now)
        {
            answered(now, {operation_id(task.awaited), outcome_unknown{"no answer"}},
                     out);
        }
        bool const due = task.awaited.empty() && task.next_at <= now;
        if (due && task.stage == once_stage::paused)
        {
            read(now, key, task, out);
        }
        else if (due && task.stage == once_stage::closing)
        {
            write_final(now, key, task, out);
        }
        auto const current = entry++;
        if (finished(now, current->second))
        {
            forget(std::string(current->first));
        }
    }
}

bool once_ledger::finished(time_point now, once_task const& task) const
{
    if (task.stage == once_stage::running || !task.waiters.empty())
    {
        return false;
    }
    if (now >= task.give_up_at)
    {
        return true;
    }
    // A claim that may have landed is followed up; a mere reader is not needed any more.
    return task.stage == once_stage::paused && task.claims.empty();
}

void once_ledger::forget(std::string const& key)
{
    auto const found = tasks_.find(key);
    operations_.erase(found->second.awaited);
    if (found->second.runner)
    {
        runners_.erase(*found->second.runner);
    }
    tasks_.erase(found);
}

bool once_ledger::is_live(time_point now, once_row const& row) const
{
    auto const members = authority_.live_members(now);
    return std::any_of(members.begin(), members.end(),
                       [&row](member_entry const& member) {
                           return member.id == row.instance &&
                                  member.incarnation == row.incarnation;
                       });
}

std::string once_ledger::dump(time_point now) const
{
    boost::json::object rows;
    for (auto const& [key, task] : tasks_)
    {
        rows[key] = {
            {"stage", static_cast<int>(task.stage)},
            {"waiting", task.waiters.size()},
            {"runner", task.runner ? task.runner->str() : ""},
            {"due_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::max(duration(0), task.next_at - now))
                           .count()},
        };
    }
    return boost::json::serialize(boost::json::object{
        {"rows", std::move(rows)}, {"writes_in_progress", writes_in_progress()}});
}

} // namespace carawayturn::detail
