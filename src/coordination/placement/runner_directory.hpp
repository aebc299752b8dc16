#pragma once

#include "coordination/event.hpp"
#include "state/fleet.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carawayturn::placement
{

/// What placement knows of one runner from the list, reports and gossip.
struct runner_info
{
    pool_id pool;
    bool listed = false;
    bool reachable = true;
    /// Highest incarnation known to be leaving, if any; sticky for that incarnation.
    std::optional<incarnation_number> leaving;
    incarnation_number listed_incarnation = 0;
    std::optional<backend_report> report;
    time_point reported_at{};

    [[nodiscard]] incarnation_number incarnation() const;
    /// Whether it may get new work: listed, reachable, not leaving and reported.
    [[nodiscard]] bool usable() const;
};

/// Placement's own small view of the runners of all pools.
class runner_directory
{
public:
    void note_list(instances_listed const& list);
    /// Returns whether the report was newer than the one kept, or the first after the
    /// runner was unreachable.
    bool note_report(time_point now, backend_report const& report);
    /// Returns whether that was new.
    bool note_unreachable(backend_id const& runner);
    /// Returns whether that was new.
    bool note_leaving(backend_id const& runner, incarnation_number incarnation);

    [[nodiscard]] runner_info const* find(backend_id const& runner) const;
    [[nodiscard]] std::vector<backend_id> listed_in(pool_id const& pool) const;
    /// Whether a list has been received.
    [[nodiscard]] bool has_list() const { return has_list_; }

private:
    std::map<backend_id, runner_info> runners_;
    bool has_list_ = false;
};

} // namespace carawayturn::placement
