#pragma once

#include "transport/entry/decision_log.hpp"
#include "transport/entry/entry_metrics.hpp"
#include "transport/entry/io.hpp"

#include <exception>
#include <functional>
#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Runs the coroutines of an instance. An exception that leaves a coroutine ends only
/// that coroutine. It is logged with the step and the peer, and counted in a metric.
class task_runner
{
public:
    task_runner(asio::io_context& io, decision_log& log, entry_metrics& metrics);

    /// Runs a coroutine once. `step` and `peer` identify it in the log, and `step` also
    /// in the metric.
    void run(std::string_view step, std::string peer, task<void> work);

    /// Runs a coroutine that is not expected to end. If it throws, it is restarted after
    /// a pause.
    void run_with_restart(std::string_view step, std::function<task<void>()> make_task);

    /// Runs the I/O context until it is stopped. Exceptions that handlers throw are
    /// reported and do not end the loop.
    void run_context();

    [[nodiscard]] std::uint64_t failures() const { return failures_; }

private:
    void report(std::string_view step, std::string const& peer,
                std::exception_ptr const& failure);
    [[nodiscard]] task<void> run_until_success(std::string_view step,
                                               std::function<task<void>()> make_task);

    asio::io_context& io_;
    decision_log& log_;
    entry_metrics& metrics_;
    std::uint64_t failures_ = 0;
};

} // namespace carawayturn::entry
