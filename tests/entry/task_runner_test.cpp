#include "transport/entry/task_runner.hpp"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>

#include <stdexcept>

namespace carawayturn::entry
{
namespace
{

// Guards against an unexpected error in the work for one peer that ends the whole
// process.
class task_runner_test : public testing::Test
{
protected:
    static task<void> fail()
    {
        throw std::runtime_error("unexpected");
        co_return;
    }

    static task<void> fail_strangely()
    {
        throw 7;
        co_return;
    }

    task<void> work()
    {
        ++worked_;
        co_return;
    }

    /// Fails the first two times.
    task<void> duty()
    {
        if (++begun_ <= 2)
            throw std::runtime_error("unexpected");
        ++worked_;
        co_return;
    }

    asio::io_context io_{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
    decision_log log_{"n1"};
    entry_metrics metrics_;
    task_runner runner_{io_, log_, metrics_};
    int begun_ = 0;
    int worked_ = 0;
};

TEST_F(task_runner_test, work_that_throws_ends_alone)
{
    runner_.run("answer probe", "10.0.0.1:5", fail());
    runner_.run("answer probe", "10.0.0.1:6", fail_strangely());
    runner_.run("answer probe", "10.0.0.1:7", work());
    runner_.run_context();
    EXPECT_EQ(worked_, 1);
    EXPECT_EQ(runner_.failures(), 2U);
    EXPECT_NE(metrics_.print().find("task_failures_total{step=\"answer probe\"} 2"),
              std::string::npos)
        << metrics_.print();
}

TEST_F(task_runner_test, duty_that_throws_begins_anew)
{
    runner_.keep("keep lease", [this] { return duty(); });
    runner_.run_context();
    EXPECT_EQ(begun_, 3);
    EXPECT_EQ(worked_, 1);
    EXPECT_EQ(runner_.failures(), 2U);
}

TEST_F(task_runner_test, handler_that_throws_does_not_end_the_context)
{
    asio::post(io_, [] { throw std::runtime_error("unexpected"); });
    asio::post(io_, [this] { ++worked_; });
    runner_.run_context();
    EXPECT_EQ(worked_, 1);
    EXPECT_EQ(runner_.failures(), 1U);
}

} // namespace
} // namespace carawayturn::entry
