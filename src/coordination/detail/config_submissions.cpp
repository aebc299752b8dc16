#include "coordination/detail/config_submissions.hpp"

#include "coordination/detail/authority_state.hpp"
#include "coordination/detail/table_rows.hpp"
#include "state/config_text.hpp"

#include <algorithm>

namespace carawayturn::detail
{

namespace
{

constexpr std::size_t max_waiting = 64;
constexpr duration try_again_after = std::chrono::milliseconds(250);
constexpr duration acceptance_check_every = std::chrono::milliseconds(100);
constexpr char const* submission_step = "config.submission";

} // namespace

config_submissions::config_submissions(instance_identity identity,
                                       serving_authority const& authority,
                                       config_history& history, config_fetcher& fetcher)
    : identity_(std::move(identity)), authority_(authority), history_(history),
      fetcher_(fetcher)
{
}

void config_submissions::submit(time_point now, change_submitted const& submitted,
                                actions& out)
{
    if (waiting_.size() >= max_waiting)
    {
        answer_submission answer;
        answer.operation = submitted.operation;
        answer.failure = error{error_code::limit_exceeded, submission_step, "",
                               "too many submissions are waiting"};
        out.emplace_back(std::move(answer));
        return;
    }
    waiting_.push_back({submitted.operation, submitted.change, submitted.expected,
                        now + submission_limit});
    start_next(now, out);
}

std::size_t config_submissions::open() const
{
    return waiting_.size() + (active_ ? 1 : 0) + awaited_.size();
}

void config_submissions::start_next(time_point now, actions& out)
{
    if (active_ || waiting_.empty())
        return;
    active_.emplace();
    active_->request = std::move(waiting_.front());
    waiting_.pop_front();
    drive(now, out);
}

void config_submissions::on_tick(time_point now, actions& out)
{
    expire(now, out);
    drive(now, out);
    start_next(now, out);
    if (now >= next_acceptance_check_)
        check_acceptance(now, out);
}

/// Sends what the present step needs, unless an answer is waited for.
void config_submissions::drive(time_point now, actions& out)
{
    if (!active_ || !active_->pending.empty() || now < active_->next_try)
        return;
    switch (active_->step)
    {
    case submission_stage::read_head:
    case submission_stage::read_back:
        send_read(out);
        break;
    case submission_stage::catch_up:
        on_head_read(now, out);
        break;
    case submission_stage::commit:
        send_commit(out);
        break;
    }
}

void config_submissions::send_read(actions& out)
{
    table_read read;
    read.operation = active_->pending = next_operation();
    read.keys.emplace_back(config_head_key);
    if (active_->step == submission_stage::read_back)
        read.keys.push_back(config_change_key(version()));
    out.emplace_back(store_read{std::move(read)});
}

void config_submissions::send_commit(actions& out)
{
    table_commit commit;
    commit.operation = active_->pending = next_operation();
    active_->attempts.insert(commit.operation);
    commit.checks.push_back({std::string(config_head_key), active_->head_row});
    commit.writes.push_back({std::string(config_head_key), print_config_head(version())});
    commit.writes.push_back({config_change_key(version()), active_->change_text});
    if (!active_->copy_text.empty())
        commit.writes.push_back({config_copy_key(version()), active_->copy_text});
    out.emplace_back(store_commit{std::move(commit)});
}

void config_submissions::on_table_answer(time_point now, table_answered const& answer,
                                         actions& out)
{
    if (!active_ || active_->pending != answer.operation)
        return;
    active_->pending = operation_id();
    if (active_->step == submission_stage::commit)
        on_commit_answer(now, answer.outcome, out);
    else if (auto const* const rows = std::get_if<rows_read>(&answer.outcome))
        on_rows(now, *rows, out);
    else if (active_->attempts.empty())
        fail(error_code::unavailable, "the configuration head could not be read", out);
    else
        active_->next_try = now + try_again_after;
    start_next(now, out);
}

void config_submissions::on_rows(time_point now, rows_read const& answer, actions& out)
{
    table_row const* head = nullptr;
    table_row const* written = nullptr;
    auto const written_key = config_change_key(version());
    for (auto const& row : answer.rows)
    {
        if (row.key == config_head_key && row.value)
            head = &row;
        if (row.key == written_key && row.value)
            written = &row;
    }
    auto const parsed =
        head == nullptr ? config_version{0} : parse_config_head(*head->value);
    if (!parsed)
    {
        fail(error_code::protocol_violation, "the configuration head is unreadable", out);
        return;
    }
    fetcher_.note_version(*parsed);
    row_version const head_row = head == nullptr ? 0 : head->version;
    if (active_->step == submission_stage::read_back)
    {
        on_read_back(now, written, head_row, out);
        return;
    }
    active_->head_row = head_row;
    active_->head = *parsed;
    on_head_read(now, out);
}

void config_submissions::on_head_read(time_point now, actions& out)
{
    auto const current = history_.current().version;
    if (active_->head > current)
    {
        active_->step = submission_stage::catch_up;
    }
    else if (active_->head < current)
    {
        // A newer version came into force since the head was read.
        active_->step = submission_stage::read_head;
        active_->next_try = now + try_again_after;
    }
    else
    {
        prepare(now, out);
    }
}

void config_submissions::prepare(time_point now, actions& out)
{
    auto const& request = active_->request;
    if (request.expected && *request.expected != active_->head)
    {
        fail(error_code::conflict,
             "the current version is " + std::to_string(active_->head), out);
        return;
    }
    auto const applied = carawayturn::apply(history_.current(), request.change);
    if (!succeeded(applied))
    {
        fail(std::get<error>(applied), out);
        return;
    }
    active_->change_text = print_change(request.change);
    if (version() % copy_every == 0)
        active_->copy_text = print_config(std::get<fleet_config>(applied));
    active_->step = submission_stage::commit;
    drive(now, out);
}

void config_submissions::on_commit_answer(time_point now, table_outcome const& outcome,
                                          actions& out)
{
    if (std::holds_alternative<committed>(outcome))
    {
        finish_committed(out);
        return;
    }
    bool const first = active_->attempts.size() == 1;
    if (std::holds_alternative<table_unavailable>(outcome) && first)
    {
        fail(error_code::unavailable, "the table service refused the commit", out);
        return;
    }
    if (std::holds_alternative<outcome_unknown>(outcome))
        out.emplace_back(
            log_record{204, active_->request.operation.str(), "reading it back"});
    // After a conflict, the read tells the current version, or that an earlier attempt of
    // this submission caused it.
    active_->step = submission_stage::read_back;
    if (!std::holds_alternative<commit_conflict>(outcome))
        active_->next_try = now + try_again_after;
    drive(now, out);
}

void config_submissions::on_read_back(time_point now, table_row const* written,
                                      row_version head_row, actions& out)
{
    if (written != nullptr && active_->attempts.contains(written->operation))
    {
        finish_committed(out);
    }
    else if (written != nullptr || head_row != active_->head_row)
    {
        fail(error_code::conflict,
             "the current version is " + std::to_string(fetcher_.newest_known()), out);
    }
    else
    {
        active_->step = submission_stage::commit;
        active_->next_try = now + try_again_after;
    }
}

void config_submissions::finish_committed(actions& out)
{
    auto const committed_version = version();
    auto const& request = active_->request;
    out.emplace_back(log_record{202, "version " + std::to_string(committed_version), ""});
    fetcher_.note_version(committed_version);
    history_.take_change(committed_version, request.change, out);
    awaited_.push_back({request.operation, committed_version, request.deadline});
    active_.reset();
}

void config_submissions::fail(error_code code, std::string detail, actions& out)
{
    fail(error{code, submission_step, "", std::move(detail)}, out);
}

void config_submissions::fail(error failure, actions& out)
{
    answer_submission answer;
    answer.operation = active_->request.operation;
    out.emplace_back(log_record{205, answer.operation.str(), to_string(failure)});
    answer.failure = std::move(failure);
    out.emplace_back(std::move(answer));
    active_.reset();
}

void config_submissions::expire(time_point now, actions& out)
{
    if (!active_ || now < active_->request.deadline)
        return;
    if (active_->attempts.empty())
        fail(error_code::timeout, "the change was not sent to the table in time", out);
    else
        fail(error_code::unknown_outcome,
             "the change may have become version " + std::to_string(version()), out);
}

void config_submissions::check_acceptance(time_point now, actions& out)
{
    next_acceptance_check_ = now + acceptance_check_every;
    auto const settle = [this, now, &out](awaited_change const& entry)
    {
        answer_submission answer;
        answer.operation = entry.operation;
        answer.version = entry.version;
        answer.missing = authority_.unconfirmed(now, entry.version);
        answer.accepted = answer.missing.empty();
        if (!answer.accepted && now < entry.deadline)
            return false;
        out.emplace_back(std::move(answer));
        return true;
    };
    std::erase_if(awaited_, settle);
}

operation_id config_submissions::next_operation()
{
    ++operations_;
    return operation_id("config/" + identity_.id.str() + "/" +
                        std::to_string(identity_.incarnation) + "/" +
                        std::to_string(operations_));
}

} // namespace carawayturn::detail
