#pragma once

#include "state/time.hpp"

namespace carawayturn::entry
{

/// Infers from the times of a periodic check when the process did not run, because it was
/// stopped or the machine was busy.
class pause_detector
{
public:
    explicit pause_detector(time_point now) : last_check_(now), previous_check_(now) {}

    /// Records a periodic check.
    void note_check(time_point now);

    /// Returns whether the last check is the first one after a pause, so that input that
    /// arrived in time may not have been read yet. Never true for two checks in a row, so
    /// that deadlines are enforced on a machine that is always busy.
    [[nodiscard]] bool just_resumed() const { return just_resumed_; }

    /// Returns the earliest time at which a signal may have arrived that is handled now.
    [[nodiscard]] time_point earliest_arrival(time_point now) const;

private:
    time_point last_check_;
    time_point previous_check_;
    bool just_resumed_ = false;
};

} // namespace carawayturn::entry
