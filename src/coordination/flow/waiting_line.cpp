#include "coordination/flow/waiting_line.hpp"

#include <algorithm>
#include <deque>

namespace carawayturn::flow
{

namespace
{

using organisation_queues = std::map<organisation_id, std::deque<waiting_entry>>;

/// Appends the queues' entries to the order: always the next of the organisation with the
/// least work, counting what it gets on the way.
void interleave(organisation_queues& queues, std::map<organisation_id, double>& work,
                std::vector<waiting_entry>& order)
{
    for (auto& [organisation, queue] : queues)
        std::stable_sort(queue.begin(), queue.end(),
                         [](auto const& left, auto const& right)
                         { return left.deadline < right.deadline; });
    while (!queues.empty())
    {
        auto const next =
            std::min_element(queues.begin(), queues.end(),
                             [&](auto const& left, auto const& right)
                             { return work[left.first] < work[right.first]; });
        auto& queue = next->second;
        work[next->first] +=
            static_cast<double>(queue.front().tokens) / queue.front().weight;
        order.push_back(std::move(queue.front()));
        queue.pop_front();
        if (queue.empty())
            queues.erase(next);
    }
}

} // namespace

bool waiting_line::add(target const& goal, waiting_entry entry, std::uint32_t limit,
                       std::uint32_t organisation_limit)
{
    auto const waiting = waiting_by_organisation_.find(entry.organisation);
    bool const idle = waiting == waiting_by_organisation_.end();
    if (size_ >= limit || (!idle && waiting->second >= organisation_limit))
        return false;
    if (idle)
        start_level(entry.organisation);
    ++waiting_by_organisation_[entry.organisation];
    ++size_;
    lines_[goal].push_back(std::move(entry));
    return true;
}

void waiting_line::remove(target const& goal, request_id const& request)
{
    auto const line = lines_.find(goal);
    if (line == lines_.end())
        return;
    auto& entries = line->second;
    auto const found =
        std::find_if(entries.begin(), entries.end(),
                     [&](auto const& entry) { return entry.request == request; });
    if (found == entries.end())
        return;
    auto const waiting = waiting_by_organisation_.find(found->organisation);
    if (--waiting->second == 0)
        waiting_by_organisation_.erase(waiting);
    --size_;
    entries.erase(found);
    if (entries.empty())
        lines_.erase(line);
}

std::vector<waiting_entry> waiting_line::ordered(target const& goal) const
{
    auto const line = lines_.find(goal);
    if (line == lines_.end())
        return {};
    std::map<std::int32_t, organisation_queues> by_priority;
    for (auto const& entry : line->second)
        by_priority[entry.priority][entry.organisation].push_back(entry);
    std::vector<waiting_entry> order;
    order.reserve(line->second.size());
    auto work = work_;
    for (auto& [priority, queues] : by_priority)
        interleave(queues, work, order);
    return order;
}

std::vector<target> waiting_line::targets() const
{
    std::vector<target> found;
    found.reserve(lines_.size());
    for (auto const& [goal, entries] : lines_)
        found.push_back(goal);
    return found;
}

std::size_t waiting_line::waiting_for(target const& goal) const
{
    auto const line = lines_.find(goal);
    return line == lines_.end() ? 0 : line->second.size();
}

void waiting_line::charge(organisation_id const& organisation, token_count tokens,
                          double weight)
{
    work_[organisation] += static_cast<double>(tokens) / weight;
}

double waiting_line::work_of(organisation_id const& organisation) const
{
    auto const found = work_.find(organisation);
    return found == work_.end() ? 0.0 : found->second;
}

void waiting_line::start_level(organisation_id const& organisation)
{
    if (waiting_by_organisation_.empty())
        return;
    double least = work_of(waiting_by_organisation_.begin()->first);
    for (auto const& [active, count] : waiting_by_organisation_)
        least = std::min(least, work_of(active));
    double& work = work_[organisation];
    work = std::max(work, least);
}

} // namespace carawayturn::flow
