#include "coordination/detail/once_ledger.hpp"

namespace carawayturn::detail
{

namespace
{

constexpr std::uint16_t log_outcome_unknown = 601;
constexpr std::uint16_t log_write_failed = 604;

constexpr duration shortest_interval = std::chrono::milliseconds(50);
constexpr duration longest_interval = std::chrono::milliseconds(500);
/// A claim with an unknown outcome that nobody waits for is followed up this long.
constexpr duration follow_up_limit = std::chrono::seconds(60);
/// Final rows are retried this long; the table service may be down for an hour.
constexpr duration closing_limit = std::chrono::hours(2);

} // namespace

operation_id once_ledger::next_operation()
{
    return operation_id("once-" + identity_.id.str() + "-" +
                        std::to_string(identity_.incarnation) + "-" +
                        std::to_string(++operation_));
}

once_row once_ledger::new_row(once_phase phase, once_task const& task) const
{
    once_row row;
    row.phase = phase;
    row.body = task.body;
    row.instance = identity_.id;
    row.incarnation = identity_.incarnation;
    row.request = task.runner.value_or(request_id());
    return row;
}

void once_ledger::claim(time_point now, std::string const& key, once_task& task,
                        actions& out)
{
    task.body = task.waiters.front().body;
    reject_other_bodies(task, out);
    once_row row = new_row(once_phase::started, task);
    row.request = task.waiters.front().request;
    task.stage = once_stage::claiming;
    task.awaited = next_operation();
    task.awaited_since = now;
    task.claims.insert(task.awaited);
    operations_.emplace(task.awaited, key);
    out.emplace_back(store_commit{
        table_commit{task.awaited, {{key, task.version}}, {{key, to_json(row)}}}});
}

void once_ledger::read(time_point now, std::string const& key, once_task& task,
                       actions& out)
{
    task.stage = once_stage::reading;
    task.awaited = next_operation();
    task.awaited_since = now;
    operations_.emplace(task.awaited, key);
    table_read query;
    query.operation = task.awaited;
    query.keys = {key};
    out.emplace_back(store_read{std::move(query)});
}

void once_ledger::pause(time_point now, once_task& task)
{
    task.interval =
        std::clamp(task.interval * 3 / 2, shortest_interval, longest_interval);
    task.next_at = now + task.interval;
    if (task.stage != once_stage::closing)
    {
        task.stage = once_stage::paused;
    }
    if (task.waiters.empty() && task.give_up_at == time_point::max())
    {
        task.give_up_at = now + follow_up_limit;
    }
}

void once_ledger::close(time_point now, std::string const& key, once_task& task,
                        once_row row, actions& out)
{
    if (task.runner)
    {
        runners_.erase(*task.runner);
        task.runner.reset();
    }
    task.final_row = std::move(row);
    task.stage = once_stage::closing;
    task.give_up_at = now + closing_limit;
    task.interval = duration(0);
    write_final(now, key, task, out);
}

void once_ledger::write_final(time_point now, std::string const& key, once_task& task,
                              actions& out)
{
    task.awaited = next_operation();
    task.awaited_since = now;
    task.closings.insert(task.awaited);
    operations_.emplace(task.awaited, key);
    out.emplace_back(store_commit{table_commit{
        task.awaited, {{key, task.version}}, {{key, to_json(*task.final_row)}}}});
}

void once_ledger::answered(time_point now, table_answered const& answer, actions& out)
{
    auto const operation = operations_.find(answer.operation);
    if (operation == operations_.end())
    {
        return;
    }
    std::string const key = operation->second;
    operations_.erase(operation);
    once_task& task = tasks_.at(key);
    task.awaited = operation_id();
    if (task.stage == once_stage::claiming)
    {
        on_claim(now, key, task, answer.outcome, out);
    }
    else if (task.stage == once_stage::reading)
    {
        on_read(now, key, task, answer.outcome, out);
    }
    else if (task.stage == once_stage::closing)
    {
        on_closing(now, key, task, answer.outcome, out);
    }
}

void once_ledger::on_claim(time_point now, std::string const& key, once_task& task,
                           table_outcome const& outcome, actions& out)
{
    if (auto const* const written = std::get_if<committed>(&outcome))
    {
        task.version = written->versions.empty() ? 0 : written->versions.front().version;
        run_next(now, key, task, out);
    }
    else if (std::holds_alternative<table_unavailable>(outcome) &&
             task.claims.size() == 1)
    {
        task.claims.clear();
        decide_all(task, idempotency_verdict::store_unavailable, out);
        task.stage = once_stage::paused;
        forget(key);
    }
    else if (std::holds_alternative<commit_conflict>(outcome))
    {
        read(now, key, task, out);
    }
    else
    {
        pause(now, task);
    }
}

void once_ledger::on_read(time_point now, std::string const& key, once_task& task,
                          table_outcome const& outcome, actions& out)
{
    auto const* const found = std::get_if<rows_read>(&outcome);
    if (found == nullptr)
    {
        pause(now, task);
        return;
    }
    on_row(now, key, task,
           found->rows.empty() ? table_row{key, 0, {}, {}} : found->rows.front(), out);
}

void once_ledger::on_row(time_point now, std::string const& key, once_task& task,
                         table_row const& row, actions& out)
{
    task.version = row.value ? row.version : 0;
    if (task.claims.contains(row.operation) && row.value)
    {
        // The claim landed although its answer was lost.
        run_next(now, key, task, out);
        return;
    }
    if (!row.value)
    {
        // An earlier commit may still land; the check of version 0 lets one win.
        task.waiters.empty() ? pause(now, task) : claim(now, key, task, out);
        return;
    }
    auto const parsed = once_row_from_json(*row.value);
    if (!parsed)
    {
        out.emplace_back(log_record{log_outcome_unknown, key, "row cannot be read"});
        decide_all(task, idempotency_verdict::outcome_unknown, out);
        forget(key);
        return;
    }
    task.claims.clear();
    on_foreign_row(now, key, task, *parsed, out);
}

void once_ledger::on_foreign_row(time_point now, std::string const& key, once_task& task,
                                 once_row const& row, actions& out)
{
    task.body = row.body;
    reject_other_bodies(task, out);
    bool const closing = task.stage == once_stage::closing;
    if (row.phase == once_phase::not_run && !closing && !task.waiters.empty())
    {
        claim(now, key, task, out);
        return;
    }
    if (row.phase == once_phase::not_run && closing)
    {
        // Requests that arrive while the row is being closed claim it afterwards.
        return;
    }
    if (row.phase == once_phase::started && is_live(now, row) &&
        row.instance != identity_.id)
    {
        task.seen_running = true;
        pause(now, task);
        return;
    }
    if (row.phase == once_phase::done && row.answer)
    {
        decide_all(task, idempotency_verdict::replay, out, row.answer);
    }
    else if (!task.waiters.empty())
    {
        out.emplace_back(log_record{log_outcome_unknown, key, row.request.str()});
        decide_all(task, idempotency_verdict::outcome_unknown, out);
    }
    if (!closing)
    {
        forget(key);
    }
}

void once_ledger::on_closing(time_point now, std::string const& key, once_task& task,
                             table_outcome const& outcome, actions& out)
{
    bool done = std::holds_alternative<committed>(outcome);
    if (auto const* const written = std::get_if<committed>(&outcome))
    {
        task.version = written->versions.empty() ? 0 : written->versions.front().version;
    }
    if (std::holds_alternative<commit_conflict>(outcome))
    {
        // Only this instance writes the row while its intent stands, so one of its own
        // writes with an unknown outcome has landed.
        done = true;
        if (task.closings.size() == 1)
        {
            out.emplace_back(log_record{log_write_failed, key, "row changed"});
        }
    }
    if (!done)
    {
        pause(now, task);
        return;
    }
    if (task.waiters.empty())
    {
        forget(key);
        return;
    }
    // Requests arrived while the row was being closed: look at it as it is now.
    task.claims.clear();
    task.closings.clear();
    task.final_row.reset();
    task.give_up_at = time_point::max();
    read(now, key, task, out);
}

} // namespace carawayturn::detail
