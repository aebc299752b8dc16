#pragma once

#include "state/time.hpp"

namespace carawayturn::entry
{

/// How many requests were sent to servers a second of late, and the returns that were
/// promised to refused callers. Answers the load pattern "a crowd is refused at once and
/// returns at once": each caller is told a time of its own.
class dispatch_rate
{
public:
    void note_dispatch(time_point now);
    /// Returns requests a second.
    [[nodiscard]] double per_second(time_point now) const;

    /// Returns in which time a refused caller should return.
    /// @param room when room for one more request is expected, without the callers that
    /// were told to return.
    /// @param honoured longest time that the caller waits; it returns then if the promise
    /// is longer, and takes no turn.
    [[nodiscard]] duration promise_return(duration room, duration honoured,
                                          double room_per_second, time_point now);
    [[nodiscard]] time_point last_use() const { return counted_at_; }

private:
    double count_ = 0;
    time_point counted_at_{};
    time_point next_return_{};
};

} // namespace carawayturn::entry
