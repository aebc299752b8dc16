#pragma once

#include "transport/entry/io.hpp"

#include <set>

namespace carawayturn::entry
{

/// Wakes the coroutines that wait for a change, such as requests that wait for a change
/// of the state of the fleet.
class change_signal
{
public:
    explicit change_signal(asio::io_context& io) : io_(io) {}

    /// Returns after the next notify(), or after `max_wait`.
    [[nodiscard]] task<void> wait(duration max_wait)
    {
        steady_timer timer(io_);
        timer.expires_after(max_wait);
        timers_.insert(&timer);
        co_await timer.async_wait(use_task);
        timers_.erase(&timer);
    }

    void notify()
    {
        for (auto* const timer : timers_)
            timer->cancel();
    }

private:
    asio::io_context& io_;
    std::set<steady_timer*> timers_;
};

} // namespace carawayturn::entry
