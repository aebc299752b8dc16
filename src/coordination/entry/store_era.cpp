#include "coordination/entry/store_era.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Longer than a call to the store may take, so that late answers of a former era cannot
/// bring it back.
constexpr duration contradiction_limit = std::chrono::seconds(5);

} // namespace

era_verdict store_era::judge_answer(std::optional<std::uint64_t> named, time_point now)
{
    auto const era = named.value_or(0);
    bool const first = !answered_;
    answered_ = true;
    if (era == current_)
    {
        rejected_since_.reset();
        // The store itself knows of no such era.
        if (told_ > current_ && now - told_at_ >= contradiction_limit)
            told_ = 0;
        return era_verdict::current;
    }
    if (first)
    {
        current_ = era;
        return era_verdict::changed;
    }
    if (era > current_)
        return begin(era, now);
    if (!rejected_since_)
        rejected_since_ = now;
    if (now - *rejected_since_ < contradiction_limit)
        return era_verdict::rejected;
    return begin(era, now);
}

era_verdict store_era::begin(std::uint64_t era, time_point now)
{
    // Another instance may have told of this era before the store did.
    if (era != told_ || era < current_)
        note_restoration(now);
    current_ = era;
    rejected_since_.reset();
    return era_verdict::changed;
}

void store_era::note_told(std::uint64_t era, time_point now)
{
    // Without an answer of the store, this instance has not written anything.
    if (!answered_ || era <= newest_known())
        return;
    told_ = era;
    told_at_ = now;
    note_restoration(now);
}

std::uint64_t store_era::newest_known() const
{
    return std::max(current_, told_);
}

void store_era::note_restoration(time_point now)
{
    ++restorations_;
    restored_at_ = now;
}

} // namespace carawayturn::entry
