#include "coordination/entry/answered_parts.hpp"

namespace carawayturn::entry
{

namespace
{

/// Crashes within this time of each other have a common cause other than a prompt.
constexpr duration common_cause_window = std::chrono::milliseconds(500);

} // namespace

answered_parts::answered_parts(std::size_t capacity, std::uint32_t tolerated_crashes)
    : capacity_(capacity), tolerated_crashes_(tolerated_crashes)
{
}

void answered_parts::note_answered(std::uint64_t part, time_point now)
{
    auto const found = index_.find(part);
    if (found != index_.end())
    {
        *found->second = {part, now, 0, {}};
        parts_.splice(parts_.begin(), parts_, found->second);
        return;
    }
    if (parts_.size() >= capacity_)
    {
        index_.erase(parts_.back().part);
        parts_.pop_back();
    }
    parts_.push_front({part, now, 0, {}});
    index_.emplace(part, parts_.begin());
}

bool answered_parts::tolerates_crash(std::uint64_t part, time_point now)
{
    auto const found = index_.find(part);
    if (found == index_.end())
        return false;
    auto& entry = *found->second;
    if (entry.crashes > 0 && now - entry.crashed_at < common_cause_window)
        return true;
    entry.crashed_at = now;
    if (++entry.crashes <= tolerated_crashes_)
        return true;
    parts_.erase(found->second);
    index_.erase(found);
    return false;
}

bool answered_parts::is_sound(std::uint64_t part, duration max_age, time_point now) const
{
    auto const found = index_.find(part);
    return found != index_.end() && found->second->crashes == 0 &&
           now - found->second->answered_at <= max_age;
}

} // namespace carawayturn::entry
