#pragma once

#include "coordination/entry/hub_lease.hpp"
#include "coordination/entry/store_read_policy.hpp"
#include "transport/entry/store_client.hpp"

namespace carawayturn::entry
{

/// Maintains the lease row in the store: reads who the hub is, claims a vacant lease and
/// renews a lease that this instance holds.
class lease_keeper
{
public:
    lease_keeper(entry_services& services, store_client& store, hub_lease& lease);

    /// Runs one step with at most one call to the store (two if the store no longer has
    /// the changes that were asked for). Returns the time until the next step.
    /// @param hub_answers whether the current hub answers this instance.
    [[nodiscard]] task<duration> step(bool hub_answers);
    /// Releases the lease, so that another instance need not wait until it expires.
    [[nodiscard]] task<void> release();
    /// Whether there was no lease row before the last write, and so no former holder.
    [[nodiscard]] bool first_holder() const { return first_holder_; }

private:
    [[nodiscard]] task<bool> read();
    /// Long-polls the store until the row changes, for at most `timeout`.
    [[nodiscard]] task<bool> watch(duration timeout);
    [[nodiscard]] task<bool> write(lease_row row);
    void observe_rows(store_reply const& reply);
    /// Adopts the row of a write conflict if its version is lower than the expected one,
    /// or if the row is gone. Versions only decrease if the store was restored to an
    /// earlier state. Without this, every later write would expect a version that the
    /// store does not reach.
    /// @param written_row the row that this instance tried to write.
    void adopt_lower_version(lease_row const& written_row,
                             platform::store_answer const& conflict);

    entry_services& services_;
    store_client& store_;
    hub_lease& lease_;
    duration claim_delay_;
    /// Since when this instance could have claimed the lease; zero if it cannot.
    time_point claimable_since_{};
    /// Decides when this instance asks the store for a new holder of the lease.
    hub_search search_;
    /// Version of the table up to which changes of the row are known.
    store_version seen_version_;
    bool row_known_ = false;
    bool row_absent_ = false;
    bool first_holder_ = false;
};

} // namespace carawayturn::entry
