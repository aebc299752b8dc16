#pragma once

#include "state/time.hpp"

#include <cstddef>

namespace carawayturn::entry
{

/// When an instance that is not the hub reads the store itself, and how often it tries a
/// store that does not answer. Answers the load patterns "machines are stopped in turn"
/// (at each change of the hub, all instances began to read at once) and "the store is
/// away" (all of them tried it).
class store_read_policy
{
public:
    explicit store_read_policy(time_point started_at) : started_at_(started_at) {}

    /// A hub that reads the store told what it read.
    void hub_report_received(time_point now)
    {
        last_report_at_ = now;
        hub_cannot_read_ = false;
    }
    /// The hub told that it cannot read the store; its word is old already.
    void hub_read_failure_received() { hub_cannot_read_ = true; }
    /// Whether that is the last word of a hub.
    [[nodiscard]] bool hub_cannot_read() const { return hub_cannot_read_; }

    /// Whether to read now.
    /// @param period interval of the hub's updates.
    [[nodiscard]] bool should_read(time_point now, duration period) const;

    /// Whether to read a configuration that is missing here; the hub passes it on, unless
    /// it lacks it too or is slow.
    /// @param behind a newer configuration than the one in force is known to exist.
    [[nodiscard]] bool should_read_config(time_point now, bool config_outdated);

    /// Pause between tries of a store that does not answer, for an instance that reads.
    /// The instances together try it so often that its return is seen soon, however many
    /// they are.
    /// @param hub_tries a hub answers that cannot read either and tries for all.
    [[nodiscard]] static duration retry_interval(std::size_t instances, bool hub_tries);

    /// Pause between questions for changes of backend servers.
    /// @param hub the instance reads for all; otherwise the others ask as well.
    [[nodiscard]] static duration servers_interval(std::size_t instances, bool hub);

private:
    time_point started_at_;
    time_point last_report_at_{};
    bool hub_cannot_read_ = false;
    time_point outdated_since_{};
};

/// When an instance asks the store for the next holder of the lease. Answers the load
/// patterns "machines are stopped in turn" (a row that cannot have changed yet is not
/// asked for) and "the hub has lost the store, but not its instances": its lease runs out
/// while it still answers.
class hub_search
{
public:
    /// Follows whether a hub answers whose lease has not run out; call often.
    void set_hub_answers(bool hub_answers) { hub_answers_ = hub_answers; }

    /// @param lease_end when another instance may claim the lease that was seen last.
    [[nodiscard]] bool due(time_point now, time_point lease_end,
                           std::size_t instances) const;
    void searched(time_point now) { searched_at_ = now; }

private:
    bool hub_answers_ = true;
    time_point searched_at_{};
};

} // namespace carawayturn::entry
