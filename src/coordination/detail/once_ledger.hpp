#pragma once

#include "coordination/detail/ledger_rows.hpp"
#include "coordination/idempotency_ledger.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::detail
{

/// What is in progress for one row.
enum class once_stage
{
    /// A commit that claims the row for a request of this instance.
    claiming,
    /// A read that finds out whether such a commit landed, or what the row says.
    reading,
    /// Waiting until `next_at` before the next read.
    paused,
    /// A request of this instance runs under the intent.
    running,
    /// The final row is being written, or waits to be written.
    closing
};

struct once_waiter
{
    request_id request;
    digest body;
    time_point deadline{};
};

/// Work on one row at this instance; all requests with the row's key share it.
struct once_task
{
    once_stage stage = once_stage::claiming;
    std::deque<once_waiter> waiters;
    /// The request that runs under the intent.
    std::optional<request_id> runner;
    /// Body of the intent, once this instance has written or seen one.
    digest body;
    /// Version of the row as last known.
    row_version version = 0;
    /// Commits of this instance that claim the row or close it.
    std::set<operation_id> claims;
    std::set<operation_id> closings;
    /// The operation whose answer is awaited, and since when; empty if none.
    operation_id awaited;
    time_point awaited_since{};
    duration interval{0};
    time_point next_at{};
    /// A row started by another instance was seen: the outcome is open, not the store.
    bool seen_running = false;
    std::optional<once_row> final_row;
    time_point give_up_at = time_point::max();
};

class once_ledger final : public idempotency_ledger
{
public:
    once_ledger(instance_identity identity, serving_authority const& authority);

    void handle(time_point now, event const& input, actions& out) override;
    [[nodiscard]] std::string dump(time_point now) const override;
    void begin(time_point now, caller_request const& request,
               organisation_id const& organisation, time_point deadline,
               actions& out) override;
    void finish(time_point now, request_id const& request, stored_answer const& answer,
                actions& out) override;
    void mark_not_run(time_point now, request_id const& request, actions& out) override;
    void mark_unknown(time_point now, request_id const& request, actions& out) override;
    void abandon(time_point now, request_id const& request, actions& out) override;
    [[nodiscard]] std::size_t writes_in_progress() const override;

private:
    using task_map = std::map<std::string, once_task>;

    // Decisions.
    void decide(request_id const& request, idempotency_verdict verdict, actions& out,
                std::optional<stored_answer> answer = std::nullopt);
    void decide_all(once_task& task, idempotency_verdict verdict, actions& out,
                    std::optional<stored_answer> const& answer = std::nullopt);
    void reject_other_bodies(once_task& task, actions& out);
    void run_next(time_point now, std::string const& key, once_task& task, actions& out);
    [[nodiscard]] once_task* task_of_runner(request_id const& request);

    // Table operations.
    [[nodiscard]] operation_id next_operation();
    [[nodiscard]] once_row new_row(once_phase phase, once_task const& task) const;
    void claim(time_point now, std::string const& key, once_task& task, actions& out);
    void read(time_point now, std::string const& key, once_task& task, actions& out);
    void pause(time_point now, once_task& task);
    void close(time_point now, std::string const& key, once_task& task, once_row row,
               actions& out);
    void write_final(time_point now, std::string const& key, once_task& task,
                     actions& out);

    // Answers; each returns whether the task is finished.
    void answered(time_point now, table_answered const& answer, actions& out);
    void on_claim(time_point now, std::string const& key, once_task& task,
                  table_outcome const& outcome, actions& out);
    void on_read(time_point now, std::string const& key, once_task& task,
                 table_outcome const& outcome, actions& out);
    void on_row(time_point now, std::string const& key, once_task& task,
                table_row const& row, actions& out);
    void on_foreign_row(time_point now, std::string const& key, once_task& task,
                        once_row const& row, actions& out);
    void on_closing(time_point now, std::string const& key, once_task& task,
                    table_outcome const& outcome, actions& out);

    void step(time_point now, actions& out);
    void expire_waiters(time_point now, once_task& task, actions& out);
    [[nodiscard]] bool finished(time_point now, once_task const& task) const;
    [[nodiscard]] bool is_live(time_point now, once_row const& row) const;
    void forget(std::string const& key);

    instance_identity identity_;
    serving_authority const& authority_;
    task_map tasks_;
    std::map<operation_id, std::string> operations_;
    /// Rows of requests that run here.
    std::map<request_id, std::string> runners_;
    std::uint64_t operation_ = 0;
};

} // namespace carawayturn::detail
