#pragma once

#include "state/time.hpp"

#include <cstddef>
#include <cstdint>

namespace carawayturn::entry
{

/// What a reading has shown to a request that needs one of a certain time or later.
enum class reading_result : std::uint8_t
{
    /// No such reading has ended.
    pending,
    done,
    failed
};

/// Decides when an instance reads what many requests wait for. A request is served by a
/// reading that began after the request arrived; all that wait share it.
///
/// Handles the load pattern "the whole fleet is killed at once, and the callers of all
/// streams return in the same second": the readings of all instances together stay within
/// a part of what the store serves, however many requests wait.
class shared_reading
{
public:
    /// Adapts the interval to the number of instances that read.
    void set_instances(std::size_t instances);

    /// Returns what the readings that began at `since` or later have shown. A failure
    /// counts for all that waited for it, so that they are refused at once.
    [[nodiscard]] reading_result result_since(time_point since) const;
    /// Returns when the next reading may begin; time_point::max() while one is running.
    [[nodiscard]] time_point next_begin() const;

    void begin(time_point now);
    void end(bool read);
    /// Returns when the running or last reading began.
    [[nodiscard]] time_point began_at() const { return began_at_; }

private:
    duration interval_{};
    bool running_ = false;
    time_point began_at_{};
    time_point read_at_{};
    time_point failed_at_{};
};

} // namespace carawayturn::entry
