#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>
#include <utility>

namespace carawayturn
{

/// The thread of one duty and its event loop.
class duty_thread
{
public:
    duty_thread() : guard_(context_.get_executor()) {}
    duty_thread(duty_thread const&) = delete;
    duty_thread& operator=(duty_thread const&) = delete;
    ~duty_thread() { stop(); }

    void start()
    {
        thread_ = std::thread([this] { context_.run(); });
    }

    /// Stops the loop and joins the thread; unfinished work is dropped.
    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    /// Runs a function on the thread, in the order of the calls.
    template <class Work>
    void post(Work&& work)
    {
        boost::asio::post(context_, std::forward<Work>(work));
    }

    [[nodiscard]] boost::asio::io_context& context() { return context_; }
    [[nodiscard]] boost::asio::any_io_executor executor()
    {
        return context_.get_executor();
    }

private:
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::thread thread_;
};

} // namespace carawayturn
