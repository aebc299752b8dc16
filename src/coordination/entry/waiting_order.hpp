#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace carawayturn::entry
{

class waiting_place;

/// The order in which requests that wait for a server go on: by priority, then by
/// arrival. Answers the load pattern "a pause ends, and more requests wait than the
/// server bears": only the first of those that want the same looks for a server, so that
/// the work for one that goes on does not grow with the number that wait.
class waiting_order
{
public:
    /// Whether a request of this priority (0 is the most urgent) that arrives now has to
    /// wait behind another one that wants the same.
    [[nodiscard]] bool behind(std::string const& wanted, std::uint32_t priority) const
    {
        auto const line = lines_.find(wanted);
        return line != lines_.end() && line->second.begin()->first.first <= priority;
    }

    /// Lets the first of each line look again: a server may take one more.
    void wake();

private:
    friend class waiting_place;
    /// Priority, and turn among equals.
    using rank = std::pair<std::uint32_t, std::uint64_t>;

    std::map<std::string, std::map<rank, waiting_place*>> lines_;
    std::uint64_t next_turn_ = 0;
};

/// The place of one request in that order, until it is destroyed.
class waiting_place
{
public:
    /// @param wake called when the request should look for a server.
    waiting_place(waiting_order& order, std::string wanted, std::uint32_t priority,
                  std::function<void()> wake)
        : order_(order), wanted_(std::move(wanted)), rank_(priority, order.next_turn_++),
          wake_(std::move(wake))
    {
        order_.lines_[wanted_].emplace(rank_, this);
    }
    waiting_place(waiting_place const&) = delete;
    waiting_place& operator=(waiting_place const&) = delete;
    ~waiting_place()
    {
        bool const was_first = first();
        auto const line = order_.lines_.find(wanted_);
        line->second.erase(rank_);
        if (line->second.empty())
            order_.lines_.erase(line);
        else if (was_first)
            line->second.begin()->second->wake_();
    }

    [[nodiscard]] bool first() const
    {
        return order_.lines_.find(wanted_)->second.begin()->first == rank_;
    }

private:
    friend class waiting_order;
    waiting_order& order_;
    std::string wanted_;
    waiting_order::rank rank_;
    std::function<void()> wake_;
};

inline void waiting_order::wake()
{
    for (auto const& [wanted, line] : lines_)
        line.begin()->second->wake_();
}

} // namespace carawayturn::entry
