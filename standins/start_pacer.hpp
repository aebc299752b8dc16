#pragma once

#include <chrono>
#include <mutex>

namespace carawayturn::standins
{

/// Spaces starts evenly at a rate.
class start_pacer
{
public:
    /// A rate of 0 sets no limit.
    explicit start_pacer(double starts_per_second);

    /// Waits for the caller's turn.
    void wait();

private:
    using clock = std::chrono::steady_clock;

    clock::duration spacing_{0};
    std::mutex mutex_;
    clock::time_point next_;
};

} // namespace carawayturn::standins
