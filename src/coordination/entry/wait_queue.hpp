#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace carawayturn::entry
{

class wait_queue_entry;

/// The order in which requests that wait for a server go on: by priority, then by
/// arrival. Answers the load pattern "a pause ends, and more requests wait than the
/// server bears": only the first of those that want the same looks for a server, so that
/// the work for one that goes on does not grow with the number that wait.
class wait_queue
{
public:
    /// Whether a request of this priority (0 is the most urgent) that arrives now has to
    /// wait behind another one that wants the same.
    [[nodiscard]] bool must_wait(std::string const& target, std::uint32_t priority) const
    {
        auto const entries = queues_.find(target);
        return entries != queues_.end() &&
               entries->second.begin()->first.first <= priority;
    }

    /// Lets the first of each line look again: a server may take one more.
    void wake();

private:
    friend class wait_queue_entry;
    /// Priority, and turn among equals.
    using rank = std::pair<std::uint32_t, std::uint64_t>;

    std::map<std::string, std::map<rank, wait_queue_entry*>> queues_;
    std::uint64_t next_sequence_ = 0;
};

/// The place of one request in that order, until it is destroyed.
class wait_queue_entry
{
public:
    /// @param wake called when the request should look for a server.
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
