#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace carawayturn::entry
{

class wait_queue_entry;

/// Orders the requests that wait for a server by priority, then by arrival, in one queue
/// for each target (service and model). Only the first request of a queue looks for a
/// server, so that the work per dispatched request does not grow with the number of
/// waiting ones. Handles the load pattern "a pause ends, and more requests wait than the
/// server can handle".
class wait_queue
{
public:
    /// Returns whether a new request of this priority (0 is the most urgent) has to wait
    /// behind another one for the same target.
    [[nodiscard]] bool must_wait(std::string const& target, std::uint32_t priority) const
    {
        auto const entries = queues_.find(target);
        return entries != queues_.end() &&
               entries->second.begin()->first.first <= priority;
    }

    /// Wakes the first request of each queue, because a server may accept one more.
    void wake();

private:
    friend class wait_queue_entry;
    /// Priority, then sequence number among requests of the same priority.
    using rank = std::pair<std::uint32_t, std::uint64_t>;

    std::map<std::string, std::map<rank, wait_queue_entry*>> queues_;
    std::uint64_t next_sequence_ = 0;
};

/// The entry of one request in a wait_queue; its destructor removes it.
class wait_queue_entry
{
public:
    /// @param wake called when the request should look for a server again.
    wait_queue_entry(wait_queue& queue, std::string target, std::uint32_t priority,
                     std::function<void()> wake)
        : queue_(queue), target_(std::move(target)),
          rank_(priority, queue.next_sequence_++), wake_(std::move(wake))
    {
        queue_.queues_[target_].emplace(rank_, this);
    }
    wait_queue_entry(wait_queue_entry const&) = delete;
    wait_queue_entry& operator=(wait_queue_entry const&) = delete;
    ~wait_queue_entry()
    {
        bool const was_first = is_first();
        auto const entries = queue_.queues_.find(target_);
        entries->second.erase(rank_);
        if (entries->second.empty())
            queue_.queues_.erase(entries);
        else if (was_first)
            entries->second.begin()->second->wake_();
    }

    [[nodiscard]] bool is_first() const
    {
        return queue_.queues_.find(target_)->second.begin()->first == rank_;
    }

private:
    friend class wait_queue;
    wait_queue& queue_;
    std::string target_;
    wait_queue::rank rank_;
    std::function<void()> wake_;
};

inline void wait_queue::wake()
{
    for (auto const& [target, entries] : queues_)
        entries.begin()->second->wake_();
}

} // namespace carawayturn::entry
