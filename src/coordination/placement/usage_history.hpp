#pragma once

#include "coordination/placement_manager.hpp"
#include "state/time.hpp"

#include <optional>
#include <vector>

namespace carawayturn::placement
{

/// When one model or adapter was used: its idle gaps and the times at which it woke.
class usage_history
{
public:
    void note_use(time_point now);

    [[nodiscard]] std::optional<time_point> last_use() const { return last_use_; }

    /// How long a replica stays loaded after its last use.
    [[nodiscard]] duration keep_alive(placement_manager::policy const& limits) const;

    /// Share of the past idle gaps longer than the present one that ended within the
    /// horizon from now, with one success and one failure added.
    [[nodiscard]] double use_probability(time_point now, duration horizon) const;

    /// If a wake is expected shortly, by those of the previous days: the time until which
    /// a replica loaded ahead is kept.
    [[nodiscard]] std::optional<time_point>
    expected_wake(time_point now, placement_manager::policy const& limits) const;

private:
    std::optional<time_point> last_use_;
    // Bounded; vectors, because an empty deque takes half a kilobyte and there are tens
    // of thousands of adapters.
    std::vector<duration> gaps_;
    std::vector<duration> long_gaps_;
    std::vector<time_point> wakes_;
};

} // namespace carawayturn::placement
