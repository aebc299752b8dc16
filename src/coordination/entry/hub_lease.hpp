#pragma once

#include "state/entry/lease_row.hpp"
#include "state/entry/node_settings.hpp"
#include "state/entry/store_version.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <string>

namespace carawayturn::entry
{

/// The lease that makes one instance the hub. The holder counts the term from when it
/// sent the renewal; all other instances count it from when they saw the renewal.
/// Therefore two holders never overlap.
///
/// A row that was not written in the present era of the store proves nothing: the store
/// has come back from a copy, and the claims of other instances may be lost. The holder
/// of a lease that is still valid writes its row again; all other instances wait for a
/// whole term from when they saw the row. Fences of different eras are in separate
/// ranges, so that none is used again.
class hub_lease
{
public:
    /// @param term validity of a renewal.
    /// @param reclaim_delay an instance that lost the lease to another one may claim it
    ///     again only this long after its own lease ended, so that the two do not
    ///     alternate.
    hub_lease(std::string own_address, std::string own_name, std::uint64_t incarnation,
              duration term, duration reclaim_delay = service_bounds().order_lease);

    /// Processes a row that was read from the store or received from another instance.
    /// `seen_at` is the time of receipt. `remaining` is the validity that the sender
    /// stated, or the maximum if it stated none; at most one term counts. A row without a
    /// holder is valid only as long as a sender states.
    ///
    /// Returns whether the holder's address differs from the one in the previous row. A
    /// connection to the previous holder is then useless.
    bool observe(lease_row const& row, store_version version, time_point seen_at,
                 duration remaining);
    /// Processes a row that was read from the store and cannot be decoded. It may have
    /// replaced the row of a holder, which holds the lease for the rest of its term, so
    /// the lease can be claimed one term later. Returns the same as observe().
    bool observe_unreadable(store_version version, time_point seen_at);
    /// Records that the store contains no lease row. In a store that names its eras, the
    /// row may be lost, so the lease can be claimed one term later.
    void observe_absent(std::uint64_t era, time_point seen_at);
    /// Forgets the row, but not the fences: the store does not know its era.
    void forget_row();

    /// Whether this instance may try to claim the lease: the lease is vacant, released or
    /// not renewed within its term, and earliest_reclaim() has passed.
    [[nodiscard]] bool may_claim(time_point now) const;
    /// Returns the row to write for a claim or a renewal. The write must expect the
    /// number of version() in the store, in the era of version().
    [[nodiscard]] lease_row next_row(time_point now) const;
    [[nodiscard]] lease_row released_row() const;
    /// Records that the store accepted a claim, renewal or release that was sent at
    /// `sent_at`.
    void record_write(lease_row const& row, store_version version, time_point sent_at);

    /// Whether this instance holds the lease and more than `margin` of it is left.
    [[nodiscard]] bool held(time_point now, duration margin = duration::zero()) const;
    [[nodiscard]] bool renewal_due(time_point now) const;
    [[nodiscard]] duration remaining(time_point now) const;
    /// For the holder, the end of its lease; for other instances, the earliest time of a
    /// claim.
    [[nodiscard]] time_point end() const { return end_; }
    /// The earliest time at which this instance may claim the lease after it lost it to
    /// another one.
    [[nodiscard]] time_point earliest_reclaim() const { return earliest_reclaim_; }
    /// Whether the last known row names this process as the holder.
    [[nodiscard]] bool own_row() const;
    /// Whether the last known row names a previous process of this instance as the
    /// holder.
    [[nodiscard]] bool inherited_row() const;

    [[nodiscard]] lease_row const& row() const { return row_; }
    /// Version of the last known row, or of the table's state without one.
    [[nodiscard]] store_version version() const { return version_; }
    /// Whether the last known row was written in the era in which it was read.
    [[nodiscard]] bool row_proven() const { return row_.era == version_.era; }
    [[nodiscard]] std::uint64_t fence() const { return row_.fence; }

private:
    void set_row(lease_row const& row, store_version version);
    /// Processes a row that was not written in the era in which it was read.
    bool observe_unproven(lease_row row, store_version version, time_point seen_at);
    /// Returns the highest fence that the row may have had before it got this version:
    /// each write raises the fence by at most one, or to the version of the row.
    [[nodiscard]] std::uint64_t highest_possible_fence(store_version version) const;
    /// Returns a fence above all that may have been used.
    [[nodiscard]] std::uint64_t next_fence() const;

    std::string address_;
    std::string name_;
    std::uint64_t incarnation_;
    duration term_;
    duration reclaim_delay_;
    lease_row row_;
    store_version version_;
    /// Whether the store has another row than this instance's, whose lease is valid.
    bool rewrite_due_ = false;
    /// Upper bound of the fences that were used; another writer may have lowered the
    /// fence of the row.
    std::uint64_t highest_fence_ = 0;
    bool row_known_ = false;
    time_point end_{};
    time_point earliest_reclaim_{};
};

/// Returns what to assume of a row of this version that cannot be decoded: no holder, and
/// a fence that no earlier holder can have had. Each fence was first written in a
/// transaction of its own, so it is at most the version of the row, unless the store was
/// restored to an earlier state; then `known_fence`, the highest known one, may be
/// higher.
[[nodiscard]] lease_row substitute_for_unreadable(store_version version,
                                                  std::uint64_t known_fence);

} // namespace carawayturn::entry
