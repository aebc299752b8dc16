#pragma once

#include "state/time.hpp"

#include <cstddef>

namespace carawayturn::entry
{

/// Decides when an instance that is not the hub reads the store itself, and how often it
/// retries a store that does not answer. This handles the load patterns "machines are
/// stopped in turn", where all instances started to read at once at each change of the
/// hub, and "the store is away", where all of them tried to reach it.
class store_read_policy
{
public:
    explicit store_read_policy(time_point started_at) : started_at_(started_at) {}

    /// Records an update from a hub that reads the store.
    void hub_report_received(time_point now)
    {
        last_report_at_ = now;
        hub_cannot_read_ = false;
    }
    /// Records an update from a hub that cannot read the store. The hub's last report is
    /// old by then.
    void hub_read_failure_received() { hub_cannot_read_ = true; }
    /// Whether the last update came from a hub that cannot read the store.
    [[nodiscard]] bool hub_cannot_read() const { return hub_cannot_read_; }

    /// Whether to read the store now.
    /// @param period interval of the hub's updates.
    [[nodiscard]] bool should_read(time_point now, duration period) const;

    /// Whether to read the configuration from the store because a newer one is missing
    /// here. The hub forwards a new configuration, unless it lacks the configuration too
    /// or is slow.
    /// @param config_outdated whether a newer configuration than the one in force is
    ///     known to exist.
    [[nodiscard]] bool should_read_config(time_point now, bool config_outdated);

    /// Returns the pause between retries by an instance that reads a store that does not
    /// answer. For any number of instances, the retries of all of them together are
    /// frequent enough to notice the store's return soon.
    /// @param hub_tries a hub answers that cannot read the store either and retries for
    ///     all instances.
    [[nodiscard]] static duration retry_interval(std::size_t instances, bool hub_tries);

    /// Returns the pause between queries for changes of backend servers.
    /// @param hub whether this instance is the hub and reads for all instances; if not,
    ///     the other instances query the store as well.
    [[nodiscard]] static duration servers_interval(std::size_t instances, bool hub);

private:
    time_point started_at_;
    time_point last_report_at_{};
    bool hub_cannot_read_ = false;
    time_point outdated_since_{};
};

/// Decides when an instance asks the store for the next holder of the lease. This handles
/// the load patterns "machines are stopped in turn", where a row that cannot have changed
/// yet is not read, and "the hub has lost the store, but not its instances", where the
/// hub's lease expires while it still answers.
class hub_search
{
public:
    /// Records whether a hub answers whose lease has not expired. Must be called
    /// regularly.
    void set_hub_answers(bool hub_answers) { hub_answers_ = hub_answers; }

    /// Whether to ask the store now.
    /// @param lease_end when another instance may claim the lease, according to the last
    ///     row seen.
    [[nodiscard]] bool due(time_point now, time_point lease_end,
                           std::size_t instances) const;
    void searched(time_point now) { searched_at_ = now; }

private:
    bool hub_answers_ = true;
    time_point searched_at_{};
};

} // namespace carawayturn::entry
