#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace carawayturn::entry
{

/// The order in which requests that wait for a server go on: by priority, then by
/// arrival. Answers the load pattern "a pause ends, and more requests wait than the
/// server bears".
class waiting_order
{
public:
    /// Whether a request of this priority (0 is the most urgent) that arrives now has to
    /// wait behind another one that wants the same.
    [[nodiscard]] bool behind(std::string const& wanted, std::uint32_t priority) const
    {
        auto const line = lines_.find(wanted);
        return line != lines_.end() && line->second.begin()->first <= priority;
    }

private:
    friend class waiting_place;
    /// Priority, and turn among equals.
    using rank = std::pair<std::uint32_t, std::uint64_t>;

    std::map<std::string, std::set<rank>> lines_;
    std::uint64_t next_turn_ = 0;
};

/// The place of one request in that order, until it is destroyed.
class waiting_place
{
public:
    waiting_place(waiting_order& order, std::string wanted, std::uint32_t priority)
        : order_(order), wanted_(std::move(wanted)), rank_(priority, order.next_turn_++)
    {
        order_.lines_[wanted_].insert(rank_);
    }
    waiting_place(waiting_place const&) = delete;
    waiting_place& operator=(waiting_place const&) = delete;
    ~waiting_place()
    {
        auto const line = order_.lines_.find(wanted_);
        line->second.erase(rank_);
        if (line->second.empty())
            order_.lines_.erase(line);
    }

    [[nodiscard]] bool first() const
    {
        return *order_.lines_.find(wanted_)->second.begin() == rank_;
    }

private:
    waiting_order& order_;
    std::string wanted_;
    waiting_order::rank rank_;
};

} // namespace carawayturn::entry
