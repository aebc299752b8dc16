#include "transport/entry/task_runner.hpp"

#include <boost/asio/co_spawn.hpp>

namespace carawayturn::entry
{

namespace
{

/// Keeps a coroutine that fails immediately each time from using all CPU time.
constexpr duration restart_delay = std::chrono::milliseconds(100);

std::string describe_exception(std::exception_ptr const& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (std::exception const& known)
    {
        return known.what();
    }
    catch (...)
    {
        return "exception of unknown type";
    }
}

} // namespace

task_runner::task_runner(asio::io_context& io, decision_log& log, entry_metrics& metrics)
    : io_(io), log_(log), metrics_(metrics)
{
}

void task_runner::report(std::string_view step, std::string const& peer,
                         std::exception_ptr const& failure)
{
    ++failures_;
    metrics_.count("task_failures_total{step=\"" + std::string(step) + "\"}");
    log_.write(entry_event::task_failed,
               {{"step", step}, {"peer", peer}, {"detail", describe_exception(failure)}});
}

void task_runner::run(std::string_view step, std::string peer, task<void> work)
{
    asio::co_spawn(io_, std::move(work),
                   [this, step, peer = std::move(peer)](std::exception_ptr const& failure)
                   {
                       if (failure)
                           report(step, peer, failure);
                   });
}

task<void> task_runner::run_until_success(std::string_view step,
                                          std::function<task<void>()> make_task)
{
    steady_timer timer(io_);
    for (;;)
    {
        std::exception_ptr failure;
        try
        {
            co_await make_task();
        }
        catch (...)
        {
            failure = std::current_exception();
        }
        if (!failure)
            co_return;
        report(step, "", failure);
        timer.expires_after(restart_delay);
        co_await timer.async_wait(use_task);
    }
}

void task_runner::run_with_restart(std::string_view step,
                                   std::function<task<void>()> make_task)
{
    run(step, "", run_until_success(step, std::move(make_task)));
}

void task_runner::run_context()
{
    for (;;)
    {
        try
        {
            io_.run();
            return;
        }
        catch (...)
        {
            report("handler", "", std::current_exception());
        }
    }
}

} // namespace carawayturn::entry
