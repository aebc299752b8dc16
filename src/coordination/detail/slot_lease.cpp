#include "coordination/detail/slot_lease.hpp"

#include <algorithm>

namespace carawayturn::detail
{

namespace
{

// Writes are sent one at a time, at most every second, and are settled or timed out
// within a time to live; older ones cannot become the newest row any more.
constexpr std::size_t attempts_kept = 16;

} // namespace

void slot_lease::note_attempt(slot_attempt attempt)
{
    attempts_.push_back(std::move(attempt));
    if (attempts_.size() > attempts_kept)
        attempts_.pop_front();
}

slot_attempt const* slot_lease::find_attempt(operation_id const& operation) const
{
    auto const found = std::find_if(attempts_.begin(), attempts_.end(),
                                    [&operation](slot_attempt const& attempt)
                                    { return attempt.operation == operation; });
    return found == attempts_.end() ? nullptr : &*found;
}

void slot_lease::hold(time_point now, slot_number slot, slot_row const& row,
                      row_version version, std::optional<time_point> sent)
{
    bool const was_valid = held_ && held_->slot == slot && valid(now);
    if (!held_ || held_->slot != slot)
        renewed_.reset();
    held_ = held_slot{slot, row.fence, {slot_key(slot), version}};
    row_ = row;
    if (sent && (!renewed_ || *sent > *renewed_))
        renewed_ = sent;
    if (!was_valid)
        valid_since_ = now;
}

void slot_lease::drop()
{
    held_.reset();
    renewed_.reset();
}

duration slot_lease::left(time_point now) const
{
    if (!held_ || !renewed_)
        return duration{0};
    return std::max(duration{0}, *renewed_ + periods_.cautious - now);
}

bool slot_watches::observe(time_point now, time_point asked, slot_number slot,
                           table_row const& seen)
{
    auto const [found, is_new] = watches_.try_emplace(slot);
    slot_watch& watch = found->second;
    if (!is_new && asked < watch.updated)
        return false;
    if (is_new || watch.version != seen.version || watch.operation != seen.operation)
    {
        watch.version = seen.version;
        watch.operation = seen.operation;
        watch.row = seen.value ? parse_slot_row(*seen.value) : std::nullopt;
        watch.unreadable = seen.value.has_value() && !watch.row;
        watch.first_seen = now;
    }
    watch.asked = asked;
    watch.updated = now;
    return true;
}

slot_number slot_watches::end_slot() const
{
    auto const found = std::find_if(watches_.rbegin(), watches_.rend(),
                                    [](auto const& item) { return !item.second.free(); });
    return found == watches_.rend() ? 0 : found->first + 1;
}

slot_watch const* slot_watches::find(slot_number slot) const
{
    auto const found = watches_.find(slot);
    return found == watches_.end() ? nullptr : &found->second;
}

} // namespace carawayturn::detail
