#pragma once

#include "coordination/detail/config_fetcher.hpp"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace carawayturn::detail
{

/// Steps of a submission.
enum class submission_stage
{
    read_head,
    catch_up,
    commit,
    read_back
};
struct submission
{
    operation_id operation;
    config_change change;
    std::optional<config_version> expected;
    time_point deadline{};
};
/// The submission that is being committed.
struct active_submission
{
    submission request;
    submission_stage step = submission_stage::read_head;
    row_version head_row = 0;
    config_version head = 0;
    /// Commits sent; any of them may take effect.
    std::set<operation_id> attempts;
    /// The operation waited for; empty before it is sent.
    operation_id pending;
    time_point next_try{};
    std::string change_text;
    std::string copy_text;
};
/// A committed change that not all instances have confirmed.
struct awaited_change
{
    operation_id operation;
    config_version version = 0;
    time_point deadline{};
};

/// Commits operators' changes, one at a time, and answers them.
///
/// A commit whose outcome is unknown is read back. The row `config/<version>` is written
/// once only, so its operation id tells who made the version even when the head has moved
/// on. If the row is absent, the commit is sent again on the same version of the head
/// row: at most one of the two can take effect.
class config_submissions
{
public:
    config_submissions(instance_identity identity, serving_authority const& authority,
                       config_history& history, config_fetcher& fetcher);

    void submit(time_point now, change_submitted const& submitted, actions& out);
    void on_tick(time_point now, actions& out);
    void on_table_answer(time_point now, table_answered const& answer, actions& out);

    /// Submissions that have no answer yet.
    [[nodiscard]] std::size_t open() const;

private:
    void start_next(time_point now, actions& out);
    void drive(time_point now, actions& out);
    void send_read(actions& out);
    void send_commit(actions& out);
    void on_rows(time_point now, rows_read const& answer, actions& out);
    void on_commit_answer(time_point now, table_outcome const& outcome, actions& out);
    void on_head_read(time_point now, actions& out);
    void on_read_back(time_point now, table_row const* written, row_version head_row,
                      actions& out);
    void prepare(time_point now, actions& out);
    void finish_committed(actions& out);
    void fail(error_code code, std::string detail, actions& out);
    void fail(error failure, actions& out);
    void expire(time_point now, actions& out);
    void check_acceptance(time_point now, actions& out);
    [[nodiscard]] operation_id next_operation();
    [[nodiscard]] config_version version() const { return active_->head + 1; }

    instance_identity identity_;
    serving_authority const& authority_;
    config_history& history_;
    config_fetcher& fetcher_;
    std::deque<submission> waiting_;
    std::optional<active_submission> active_;
    std::vector<awaited_change> awaited_;
    std::uint64_t operations_ = 0;
    time_point next_acceptance_check_{};
};

} // namespace carawayturn::detail
