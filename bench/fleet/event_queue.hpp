#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace carawayturn::bench
{

/// Runs calls in the order of an injected clock; calls at the same time run in the order
/// in which they were scheduled, so that every run with the same seed is the same.
class event_queue
{
public:
    [[nodiscard]] time_point now() const { return now_; }

    void at(time_point when, std::function<void()> call)
    {
        calls_.push({std::max(when, now_), next_++, std::move(call)});
    }
    void after(duration delay, std::function<void()> call)
    {
        at(now_ + delay, std::move(call));
    }

    /// Runs all calls up to the time, which becomes the current time.
    void run_until(time_point end)
    {
        while (!calls_.empty() && calls_.top().when <= end)
        {
            auto call = std::move(const_cast<scheduled&>(calls_.top()).call);
            now_ = calls_.top().when;
            calls_.pop();
            call();
        }
        now_ = end;
    }

private:
    struct scheduled
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> call;
        bool operator<(scheduled const& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    time_point now_{std::chrono::hours(1)};
    std::uint64_t next_ = 0;
    std::priority_queue<scheduled> calls_;
};

} // namespace carawayturn::bench
