#pragma once

#include "coordination/entry/hub_lease.hpp"
#include "coordination/entry/store_read_policy.hpp"
#include "transport/entry/store_client.hpp"

namespace carawayturn::entry
{

/// Keeps the lease row at the store: finds the hub, claims a vacant lease and renews the
/// own one.
class lease_keeper
{
public:
    lease_keeper(entry_services& services, store_client& store, hub_lease& lease);

    /// Runs one step, at most one call to the store; returns when the next is due.
    /// @param hub_answers whether the present hub answers this instance.
    [[nodiscard]] task<duration> step(bool hub_answers);
    /// Gives the lease back, so that another instance need not wait for its end.
    [[nodiscard]] task<void> release();
    /// Whether the last claim found no former holder.
    [[nodiscard]] bool first_holder() const { return first_holder_; }

private:
    [[nodiscard]] task<bool> read();
    /// Waits at the store, for this long at most, until the row changes.
    [[nodiscard]] task<bool> watch(duration timeout);
    [[nodiscard]] task<bool> write(lease_row row);
    void observe_rows(platform::store_answer const& answer);
    /// Takes the row of a write's conflict if its version is below the expected one, or
    /// the row is gone: versions only rise in a store that was not set back, and without
    /// this each later write would expect a version that the store does not reach.
    void adopt_lower_version(lease_row const& written_row,
                             platform::store_answer const& conflict);

    entry_services& services_;
    store_client& store_;
    hub_lease& lease_;
    duration claim_delay_;
    /// Since when the lease could be claimed.
    time_point claimable_since_{};
    hub_search search_;
    /// Version up to which the row's changes are known.
    std::uint64_t seen_version_ = 0;
    bool row_known_ = false;
    bool row_absent_ = false;
    bool first_holder_ = false;
};

} // namespace carawayturn::entry
