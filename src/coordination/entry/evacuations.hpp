#pragma once

#include "state/entry/evacuated_domains.hpp"
#include "state/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// A reading of the evacuated failure domains and when it was taken: between the call to
/// the store and its answer, in the time of this instance.
struct evacuation_reading
{
    evacuated_domains set;
    /// time_point{} if the earliest possible time is unknown.
    time_point asked_at{};
    time_point answered_at{};
    /// Era of the store in which the set was read; 0 if the store names none.
    std::uint64_t era = 0;

    /// Returns the reading that another instance passed on with a message.
    /// @param echo when this instance sent the status that the message answers;
    ///     time_point{} for a message that answers none.
    [[nodiscard]] static evacuation_reading received(evacuated_domains set,
                                                     time_point echo, time_point now,
                                                     std::uint64_t era = 0);
};

/// The beginning or end of an evacuation at this instance.
struct evacuation_change
{
    std::string domain;
    std::uint64_t row_version = 0;
    bool began = false;
    friend bool operator==(evacuation_change const&, evacuation_change const&) = default;
};

/// Holds the newest reading of the evacuated failure domains, and decides whether it is
/// recent enough to send requests. This handles the load patterns "an instance is frozen
/// while the operators evacuate a failure domain", in which an instance that wakes must
/// not send on what it knew before, and "the store is restored to an earlier state", in
/// which the newest reading has a lower version than earlier ones.
class evacuations
{
public:
    /// @param bound time after the store accepts a row from which it is binding.
    explicit evacuations(duration bound) { set_bound(bound); }
    void set_bound(duration bound);

    /// Takes over a reading if it is the newest one. Returns the evacuations that began
    /// or ended by it.
    std::vector<evacuation_change> learn(evacuation_reading reading);

    /// Records a periodic check, which shows when the process did not run.
    void note_check(time_point now);

    /// Whether the set has been read. Until then nothing may be sent.
    [[nodiscard]] bool known() const { return known_; }
    [[nodiscard]] bool contains(std::string const& domain) const
    {
        return domains_.count(domain) != 0;
    }
    /// Names of the evacuated failure domains, with their rows' versions.
    [[nodiscard]] std::map<std::string, std::uint64_t> const& domains() const
    {
        return domains_;
    }
    /// Number of changes of the set so far.
    [[nodiscard]] std::uint64_t changes() const { return changes_; }
    [[nodiscard]] duration age(time_point now) const { return now - asked_at_; }
    /// Whether the reading is so recent that no row can be binding that it lacks.
    [[nodiscard]] bool recent(time_point now) const
    {
        return known_ && age(now) <= max_age_;
    }
    /// Whether the reading is too old and may soon be refreshed, because the process has
    /// just resumed after a pause. Requests wait for it.
    [[nodiscard]] bool must_refresh(time_point now) const;
    /// Returns the reading for a message to another instance.
    [[nodiscard]] evacuated_domains message(time_point now) const;

private:
    [[nodiscard]] bool is_newer(evacuation_reading const& reading) const;

    duration max_age_{};
    bool known_ = false;
    std::uint64_t era_ = 0;
    std::uint64_t version_ = 0;
    std::map<std::string, std::uint64_t> domains_;
    time_point asked_at_{};
    time_point answered_at_{};
    std::uint64_t changes_ = 0;
    time_point last_check_{};
    time_point resumed_at_{};
};

} // namespace carawayturn::entry
