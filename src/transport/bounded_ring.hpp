#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace carawayturn
{

/// A bounded queue between two threads of different duties. A full ring refuses, so that
/// a slow consumer shows as a refusal at the producer and never as unbounded memory.
template <class Value>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : capacity_(capacity) {}

    /// Appends unless the ring is full or closed; returns whether it did.
    bool try_push(Value value)
    {
        {
            std::lock_guard const lock(mutex_);
            if (closed_ || values_.size() >= capacity_)
                return false;
            values_.push_back(std::move(value));
        }
        filled_.notify_one();
        return true;
    }

    /// Waits for a value until the clock's deadline; empty on timeout or when closed and
    /// drained.
    template <class Clock, class Duration>
    std::optional<Value> pop_until(std::chrono::time_point<Clock, Duration> deadline)
    {
        std::unique_lock lock(mutex_);
        filled_.wait_until(lock, deadline,
                           [this] { return closed_ || !values_.empty(); });
        if (values_.empty())
            return std::nullopt;
        Value value = std::move(values_.front());
        values_.pop_front();
        return value;
    }

    /// Refuses further values and wakes the consumer.
    void close()
    {
        {
            std::lock_guard const lock(mutex_);
            closed_ = true;
        }
        filled_.notify_all();
    }

    [[nodiscard]] std::size_t size() const
    {
        std::lock_guard const lock(mutex_);
        return values_.size();
    }

private:
    std::size_t const capacity_;
    mutable std::mutex mutex_;
    std::condition_variable filled_;
    std::deque<Value> values_;
    bool closed_ = false;
};

} // namespace carawayturn
