#include "coordination/placement/runner_directory.hpp"

#include <algorithm>
#include <tuple>

namespace carawayturn::placement
{

incarnation_number runner_info::incarnation() const
{
    return std::max(listed_incarnation, report ? report->incarnation : 0);
}

bool runner_info::usable() const
{
    bool const is_leaving = leaving && *leaving >= incarnation();
    // A list that is ahead of the reports shows a restart: what was reported is gone.
    return listed && reachable && !is_leaving && report &&
           report->incarnation == incarnation();
}

void runner_directory::note_list(instances_listed const& list)
{
    // A runner that the previous list did not show either, and that is unreachable, is
    // forgotten, so that the view does not grow with each replacement.
    std::erase_if(runners_, [](auto const& entry)
                  { return !entry.second.listed && !entry.second.reachable; });
    has_list_ = true;
    for (auto& [id, info] : runners_)
        info.listed = false;
    for (auto const& entry : list.instances)
    {
        if (entry.kind != "runner")
            continue;
        auto& info = runners_[backend_id(entry.id)];
        info.pool = pool_id(entry.service);
        info.listed = true;
        info.listed_incarnation = std::max(info.listed_incarnation, entry.incarnation);
        if (entry.leaving)
            note_leaving(backend_id(entry.id), entry.incarnation);
    }
}

bool runner_directory::note_report(time_point now, backend_report const& report)
{
    auto const found = runners_.find(report.backend);
    if (found == runners_.end())
        return false;
    auto& info = found->second;
    bool const returned = !info.reachable && report.incarnation >= info.incarnation();
    info.reachable = info.reachable || returned;
    if (info.report && std::tie(report.incarnation, report.sequence) <=
                           std::tie(info.report->incarnation, info.report->sequence))
        return returned;
    info.report = report;
    info.reported_at = now;
    return true;
}

bool runner_directory::note_unreachable(backend_id const& runner)
{
    auto const found = runners_.find(runner);
    bool const changes = found != runners_.end() && found->second.reachable;
    if (changes)
        found->second.reachable = false;
    return changes;
}

bool runner_directory::note_leaving(backend_id const& runner,
                                    incarnation_number incarnation)
{
    auto const found = runners_.find(runner);
    if (found == runners_.end())
        return false;
    auto& leaving = found->second.leaving;
    bool const changes = !leaving || *leaving < incarnation;
    if (changes)
        leaving = incarnation;
    return changes;
}

runner_info const* runner_directory::find(backend_id const& runner) const
{
    auto const found = runners_.find(runner);
    return found == runners_.end() ? nullptr : &found->second;
}

std::vector<backend_id> runner_directory::listed_in(pool_id const& pool) const
{
    std::vector<backend_id> found;
    for (auto const& [id, info] : runners_)
    {
        if (info.listed && info.pool == pool)
            found.push_back(id);
    }
    return found;
}

} // namespace carawayturn::placement
