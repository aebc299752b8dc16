#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <optional>

namespace carawayturn::entry
{

/// How an answer of the store relates to the era that is known.
enum class era_verdict : std::uint8_t
{
    current,
    /// The first answer that names an era, or the first one of a new era: the store may
    /// have come back from a copy since the answers before.
    changed,
    /// The answer is of a former era, or tells none although others do. It must not be
    /// believed.
    rejected
};

/// Keeps the era of the store. The store begins a new era when it comes back from a copy
/// that is some seconds old; it then no longer has what was written since, and gives
/// versions out again. This handles the load patterns "the store comes back from a copy"
/// and "an answer of the former era arrives late".
///
/// Eras only rise. If all answers contradict the known era for `contradiction_limit`, it
/// was wrong, and the one that they name is taken over.
class store_era
{
public:
    /// Judges an answer that is believed unless the verdict is `rejected`.
    /// @param named the era that the answer names; nothing if it names none, or none that
    ///     can be read.
    [[nodiscard]] era_verdict judge_answer(std::optional<std::uint64_t> named,
                                           time_point now);

    /// Records the era of which another instance knows. It is not believed in place of
    /// the store's own word, but shows that what this instance has written may be gone.
    void note_told(std::uint64_t era, time_point now);

    /// The era of the newest answer that was believed; 0 if the store names none.
    [[nodiscard]] std::uint64_t current() const { return current_; }
    /// The newest era that the store or another instance has named.
    [[nodiscard]] std::uint64_t newest_known() const;
    /// Number of times at which this instance learned that the store may have come back
    /// from a copy since the store's first answer.
    [[nodiscard]] std::uint64_t restorations() const { return restorations_; }
    /// When the last of them was learned.
    [[nodiscard]] std::optional<time_point> restored_at() const { return restored_at_; }

private:
    [[nodiscard]] era_verdict begin(std::uint64_t era, time_point now);
    void note_restoration(time_point now);

    std::uint64_t current_ = 0;
    bool answered_ = false;
    std::uint64_t told_ = 0;
    time_point told_at_{};
    /// Since when all answers were rejected.
    std::optional<time_point> rejected_since_;
    std::uint64_t restorations_ = 0;
    std::optional<time_point> restored_at_;
};

} // namespace carawayturn::entry
