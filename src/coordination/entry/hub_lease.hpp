#pragma once

#include "state/entry/lease_row.hpp"
#include "state/entry/node_settings.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <string>

namespace carawayturn::entry
{

/// The lease that makes one instance the hub. The holder counts its time from when it
/// sent the renewal, everybody else from when they saw it, so two holders never overlap.
class hub_lease
{
public:
    /// @param term validity of a renewal.
    /// @param reclaim_delay an instance whose lease another one took claims it again only
    ///     this long after its own right ended, so that the two do not take turns.
    hub_lease(std::string own_address, std::string own_name, std::uint64_t incarnation,
              duration term, duration reclaim_delay = service_bounds().order_lease);

    /// The row as read from the store or told by its holder. `seen_at` is when it was
    /// received; `remaining` is the holder's own word on its validity, or the whole term.
    /// Returns whether the row has another holder than the one before; the connection to
    /// the former holder is of no use then.
    bool observe(lease_row const& row, std::uint64_t row_version, time_point seen_at,
                 duration remaining);
    /// The store holds no row.
    void observe_absent();

    /// Whether this instance may try to take the lease: it is vacant, released, or its
    /// term has passed without a sign of renewal; and not_before() has passed.
    [[nodiscard]] bool may_claim(time_point now) const;
    /// The row to write for a claim or a renewal; expects row_version() at the store.
    [[nodiscard]] lease_row next_row(time_point now) const;
    [[nodiscard]] lease_row released_row() const;
    /// A claim, renewal or release sent at `sent_at` was accepted.
    void record_write(lease_row const& row, std::uint64_t row_version,
                      time_point sent_at);

    /// Whether this instance holds the lease with `margin` of its term left.
    [[nodiscard]] bool held(time_point now, duration margin = duration::zero()) const;
    [[nodiscard]] bool renewal_due(time_point now) const;
    [[nodiscard]] duration remaining(time_point now) const;
    /// For the holder the end of its right, for others the earliest time of a claim.
    [[nodiscard]] time_point end() const { return end_; }
    /// The earliest time of a claim by an instance whose lease another one took.
    [[nodiscard]] time_point earliest_reclaim() const { return earliest_reclaim_; }
    /// Whether this process holds the row, or held it when it was last seen.
    [[nodiscard]] bool own_row() const;
    /// Whether the row is one of a former process of this instance.
    [[nodiscard]] bool inherited_row() const;

    [[nodiscard]] lease_row const& row() const { return row_; }
    [[nodiscard]] std::uint64_t row_version() const { return row_version_; }
    [[nodiscard]] std::uint64_t fence() const { return row_.fence; }

private:
    std::string address_;
    std::string name_;
    std::uint64_t incarnation_;
    duration term_;
    duration reclaim_delay_;
    lease_row row_;
    std::uint64_t row_version_ = 0;
    bool row_known_ = false;
    time_point end_{};
    time_point earliest_reclaim_{};
};

} // namespace carawayturn::entry
