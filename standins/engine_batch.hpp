#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace carawayturn::standins
{

/// A chat request's place in the batch or in the line before it.
struct batch_place
{
    std::string request_id;
    /// Lower values go first; equal ones in order of arrival.
    std::int64_t priority = 0;
    std::uint64_t arrival = 0;
    bool running = false;
    bool cancelled = false;
    bool crashed = false;
};

/// Continuous batch of limited size with a waiting line. Thread-safe.
class engine_batch
{
public:
    enum class ending
    {
        /// The request runs, or may go on running.
        running,
        cancelled,
        crashed,
        /// The caller closed its connection.
        abandoned
    };

    explicit engine_batch(std::size_t size) : size_(size) {}

    /// Waits until the request may run. The place must stay valid until leave().
    [[nodiscard]] ending enter(batch_place& place,
                               std::function<bool()> const& abandoned);
    void leave(batch_place& place);

    /// Waits for a time and tells whether the running request may go on.
    [[nodiscard]] ending pause(batch_place const& place, std::chrono::microseconds time);

    /// Cancels all requests with this id; returns whether there were any.
    [[nodiscard]] bool cancel(std::string const& request_id);

    /// Ends all requests.
    void crash();

    struct load
    {
        std::size_t running = 0;
        std::size_t waiting = 0;
    };
    [[nodiscard]] load current_load() const;
    [[nodiscard]] std::uint64_t cancels() const;

private:
    struct goes_before
    {
        bool operator()(batch_place const* left, batch_place const* right) const
        {
            return std::pair(left->priority, left->arrival) <
                   std::pair(right->priority, right->arrival);
        }
    };

    [[nodiscard]] static ending state_of(batch_place const& place);

    std::size_t const size_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t arrivals_ = 0;
    std::uint64_t cancels_ = 0;
    std::set<batch_place*, goes_before> waiting_;
    std::set<batch_place*> running_;
};

} // namespace carawayturn::standins
