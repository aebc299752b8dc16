#include "transport/entry/task_runner.hpp"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>

#include <stdexcept>

namespace carawayturn::entry
{
namespace
{

// Guards against an unexpected exception in the work for one peer ending the whole
// process.
class task_runner_test : public testing::Test
{
protected:
    static task<void> throw_runtime_error()
    {
        throw std::runtime_error("unexpected");
        co_return;
    }

    static task<void> throw_integer()
    {
        throw 7;
        co_return;
    }

    task<void> work()
    {
        ++completed_;
        co_return;
    }

    /// Throws in the first two calls.
    task<void> fail_twice_then_work()
    {
        if (++attempts_ <= 2)
            throw std::runtime_error("unexpected");
        ++completed_;
        co_return;
    }

    asio::io_context io_{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
    decision_log log_{"n1"};
    entry_metrics metrics_;
    task_runner task_runner_{io_, log_, metrics_};
    int attempts_ = 0;
    int completed_ = 0;
};

TEST_F(task_runner_test, exception_ends_only_its_own_task)
{
    task_runner_.run("answer probe", "10.0.0.1:5", throw_runtime_error());
    task_runner_.run("answer probe", "10.0.0.1:6", throw_integer());
    task_runner_.run("answer probe", "10.0.0.1:7", work());
    task_runner_.run_context();
    EXPECT_EQ(completed_, 1);
    EXPECT_EQ(task_runner_.failures(), 2U);
    EXPECT_NE(metrics_.print().find("task_failures_total{step=\"answer probe\"} 2"),
              std::string::npos)
        << metrics_.print();
}

TEST_F(task_runner_test, task_that_throws_is_restarted)
{
    task_runner_.run_with_restart("keep lease",
                                  [this] { return fail_twice_then_work(); });
    task_runner_.run_context();
    EXPECT_EQ(attempts_, 3);
    EXPECT_EQ(completed_, 1);
    EXPECT_EQ(task_runner_.failures(), 2U);
}

TEST_F(task_runner_test, exception_in_handler_does_not_stop_the_context)
{
    asio::post(io_, [] { throw std::runtime_error("unexpected"); });
    asio::post(io_, [this] { ++completed_; });
    task_runner_.run_context();
    EXPECT_EQ(completed_, 1);
    EXPECT_EQ(task_runner_.failures(), 1U);
}

} // namespace
} // namespace carawayturn::entry
