#include "coordination/flow/backend_chooser.hpp"

#include <algorithm>

namespace carawayturn::flow
{

namespace
{

/// Prefixes whose last backend server is remembered.
constexpr std::size_t max_prefixes = 4096;
/// Extra load accepted to reach a server that probably caches the prompt's prefix.
constexpr std::size_t prefix_load_allowance = 4;

} // namespace

backend_chooser::backend_chooser(std::uint64_t seed, limits maxima)
    : limits_(maxima), random_(static_cast<std::minstd_rand::result_type>(seed | 1U))
{
}

std::optional<backend_id>
backend_chooser::choose(std::vector<backend_status> const& candidates,
                        std::set<backend_id> const& tried, std::uint64_t prefix_hash,
                        bool alone)
{
    std::vector<backend_status const*> free;
    for (auto const& candidate : candidates)
    {
        if (can_take(candidate, alone))
            free.push_back(&candidate);
    }
    std::vector<backend_status const*> untried;
    std::copy_if(free.begin(), free.end(), std::back_inserter(untried),
                 [&](auto const* status) { return !tried.contains(status->id); });
    if (!untried.empty())
        free = std::move(untried);
    if (free.empty())
        return std::nullopt;

    auto const pick = [&] { return free[random_() % free.size()]; };
    auto const* first = pick();
    auto const* const second = pick();
    if (load_of(*second) < load_of(*first))
        first = second;
    if (auto const* const cached = with_prefix(free, prefix_hash);
        cached != nullptr && load_of(*cached) <= load_of(*first) + prefix_load_allowance)
        first = cached;
    return first->id;
}

void backend_chooser::note_dispatch(time_point now, backend_id const& backend,
                                    std::uint64_t prefix_hash, bool alone)
{
    auto& work = work_[backend];
    ++work.in_flight;
    work.since_report.push_back(now);
    if (alone)
        work.runs_alone = true;
    if (prefix_hash != 0)
        remember_prefix(prefix_hash, backend);
}

void backend_chooser::note_end(backend_id const& backend, bool alone)
{
    auto const found = work_.find(backend);
    if (found == work_.end() || found->second.in_flight == 0)
        return;
    --found->second.in_flight;
    if (alone)
        found->second.runs_alone = false;
}

void backend_chooser::note_report(backend_id const& backend, time_point taken)
{
    auto const found = work_.find(backend);
    if (found == work_.end())
        return;
    auto& since = found->second.since_report;
    while (!since.empty() && since.front() <= taken)
        since.pop_front();
}

std::uint32_t backend_chooser::in_flight(backend_id const& backend) const
{
    auto const found = work_.find(backend);
    return found == work_.end() ? 0 : found->second.in_flight;
}

bool backend_chooser::can_take(backend_status const& status, bool alone) const
{
    auto const found = work_.find(status.id);
    if (found == work_.end())
        return true;
    auto const& work = found->second;
    if (work.runs_alone)
        return false;
    return alone ? work.in_flight == 0 : work.in_flight < limits_.max_in_flight;
}

std::size_t backend_chooser::load_of(backend_status const& status) const
{
    std::size_t load = 0;
    if (status.report)
        load += status.report->running + status.report->waiting;
    if (auto const found = work_.find(status.id); found != work_.end())
        load +=
            status.report ? found->second.since_report.size() : found->second.in_flight;
    return load;
}

backend_status const*
backend_chooser::with_prefix(std::vector<backend_status const*> const& free,
                             std::uint64_t prefix_hash) const
{
    auto const known = prefix_backend_.find(prefix_hash);
    if (prefix_hash == 0 || known == prefix_backend_.end())
        return nullptr;
    auto const found =
        std::find_if(free.begin(), free.end(),
                     [&](auto const* status) { return status->id == known->second; });
    return found == free.end() ? nullptr : *found;
}

void backend_chooser::remember_prefix(std::uint64_t prefix_hash,
                                      backend_id const& backend)
{
    auto const [entry, added] = prefix_backend_.insert_or_assign(prefix_hash, backend);
    if (!added)
        return;
    prefix_order_.push_back(prefix_hash);
    if (prefix_order_.size() > max_prefixes)
    {
        prefix_backend_.erase(prefix_order_.front());
        prefix_order_.pop_front();
    }
}

} // namespace carawayturn::flow
