#pragma once

#include "state/time.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// A request that waits at the hub for units of its organisation's quota.
struct quota_claim
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Unique among the requests of this incarnation of the instance.
    std::uint64_t id = 0;
    double units = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The latest time at which the units are of use.
    time_point latest{};
    /// The caller takes a stream up again that broke off.
    bool resumes_stream = false;
};

/// What an organisation's bucket holds, what it accrues per second and its burst.
struct bucket_state
{
    double level = 0;
    double rate = 0;
    double burst = 0;
};

/// The requests of one organisation that wait for units, in the order in which they are
/// paid: by priority, then resumed streams before new requests, then by latest start,
/// then by what their instances were granted. Handles the load patterns "one organisation
/// sends several times its rate, with valuable and cheap, patient and hurried requests"
/// and "all streams broke off at once, and their callers return together with new ones".
/// Keeps a share for lower priorities, for new requests beside resumed streams and for
/// requests that cannot wait, and admits only requests that can be paid in time.
class organisation_queue
{
public:
    using drop_rule = std::function<bool(quota_claim const&)>;

    [[nodiscard]] bool empty() const { return size_ == 0; }
    [[nodiscard]] std::size_t size() const { return size_; }

    /// Returns the time until a request of this size and priority is expected to be paid
    /// if it is placed behind all waiting requests with an earlier latest start.
    [[nodiscard]] duration expected_wait(quota_claim const& claim,
                                         bucket_state const& bucket, time_point now);
    /// Returns whether the request can be paid in time, without a delay of another
    /// request of its priority beyond that one's latest start. A resumed stream may delay
    /// new requests.
    [[nodiscard]] bool admits(quota_claim const& claim, bucket_state const& bucket,
                              time_point now);
    void add(quota_claim claim, time_point now);

    /// Removes and returns the next request if the bucket can pay for it. The caller
    /// takes the units from the bucket before the next call.
    [[nodiscard]] std::optional<quota_claim> pay_next(bucket_state const& bucket,
                                                      time_point now);
    /// Removes and returns the requests whose time has passed or that can no longer be
    /// paid in time.
    [[nodiscard]] std::vector<quota_claim> take_hopeless(bucket_state const& bucket,
                                                         time_point now);
    /// Removes and returns the last request of the lowest priority if that is below the
    /// priority of `claim`, or if it is a new request of the same priority and `claim`
    /// resumes a stream.
    [[nodiscard]] std::optional<quota_claim> take_last_below(quota_claim const& claim);
    /// Removes the requests to which the rule applies. Returns their number.
    std::size_t drop(drop_rule const& rule);

    /// Whether a request that cannot wait is paid at once: from the units that are kept
    /// for such requests, or from all if only lower priorities wait. If so, the caller
    /// takes the units from the bucket.
    [[nodiscard]] bool pay_without_wait(quota_claim const& claim,
                                        bucket_state const& bucket, time_point now);
    /// Returns the time until a request that cannot wait is expected to be paid.
    [[nodiscard]] duration expected_without_wait(quota_claim const& claim,
                                                 bucket_state const& bucket,
                                                 time_point now);
    /// Units of the bucket's level that waiting requests leave for those that cannot.
    [[nodiscard]] double kept(bucket_state const& bucket, time_point now);
    /// Records that a request which cannot wait has asked for units.
    void note_unable_to_wait(quota_claim const& claim, time_point now);

private:
    /// An average of units per second that decays exponentially.
    struct decaying_rate
    {
        double value = 0;
        time_point updated_at{};

        void add(double units, time_point now);
        [[nodiscard]] double at(time_point now) const;
    };
    struct entry
    {
        quota_claim claim;
        std::uint64_t sequence = 0;
    };
    /// Order of the waiting requests of one priority: resumed streams first, then by
    /// latest start in steps.
    struct entry_order
    {
        bool is_new = true;
        std::int64_t step = 0;

        auto operator<=>(entry_order const&) const = default;
    };
    using entry_map = std::multimap<entry_order, entry>;
    /// The waiting requests of one priority.
    struct priority_class
    {
        entry_map entries;
        double units = 0;
        /// The part of `units` that resumed streams ask for.
        double resumed_units = 0;
        /// Units that new requests may be paid before resumed streams.
        double new_credit = 0;
        /// Units that the class may be paid before higher priorities.
        double credit = 0;
        decaying_rate inflow;
        /// Units granted to each instance since the class was last empty, and the least
        /// of these that a newly waiting instance starts from.
        std::map<std::string, double> granted;
        double granted_floor = 0;
    };
    using class_entry = entry_map::iterator;

    [[nodiscard]] static entry_order order_of(quota_claim const& claim);
    /// Returns the entry that is paid first among those in the step of `position`.
    [[nodiscard]] static class_entry first_in_step(priority_class& members,
                                                   class_entry position);
    /// Returns the first new request, or the end.
    [[nodiscard]] static class_entry first_new(priority_class& members);
    [[nodiscard]] static class_entry first_of(priority_class& members);
    /// Updates the credit of the new requests after a payment, while resumed streams and
    /// new requests wait.
    static void settle_new_credit(priority_class& members, quota_claim const& paid);
    /// Returns `units` of resumed streams, or of new requests, plus what is paid of the
    /// other kind in the meantime.
    [[nodiscard]] static double with_other_kind(priority_class const& members,
                                                bool resumed, double units);
    void erase(priority_class& members, class_entry position);
    /// Returns the class whose first request is paid next, or the end.
    [[nodiscard]] std::map<std::uint32_t, priority_class>::iterator next_class();
    [[nodiscard]] std::map<std::uint32_t, priority_class>::iterator top_class();
    void credit_lower_classes(std::uint32_t above, double units,
                              bucket_state const& bucket);
    /// Number of classes with waiting requests, without this one.
    [[nodiscard]] std::size_t other_classes(std::uint32_t priority) const;
    /// Returns the time until a class has been paid `units` from now on.
    [[nodiscard]] duration time_for(std::uint32_t priority, double units,
                                    bucket_state const& bucket, time_point now);
    /// Units in the class of requests of the same kind, resumed streams or new requests,
    /// that are due in the same step as the claim or before.
    [[nodiscard]] static double units_before(priority_class const& members,
                                             quota_claim const& claim);
    [[nodiscard]] bool delays_beyond_limit(quota_claim const& claim,
                                           bucket_state const& bucket, time_point now);
    /// Units that are kept for requests that cannot wait, and what those ask for.
    struct kept_pool
    {
        decaying_rate asked;
        /// Bounds of the part of the rate that accrues, if such requests come.
        double min_share = 0;
        double max_share = 0;
        double units = 0;

        [[nodiscard]] double share(double rate, time_point now) const;
    };
    /// Returns the pool for the request: requests of a lower priority than those that
    /// wait have their own.
    [[nodiscard]] kept_pool& pool_of(quota_claim const& claim);
    /// Whether only lower priorities wait.
    [[nodiscard]] bool before_all(quota_claim const& claim);
    void accrue_kept(bucket_state const& bucket, time_point now);
    /// Part of the rate that is kept for requests that cannot wait.
    [[nodiscard]] double kept_share(bucket_state const& bucket, time_point now) const;

    std::map<std::uint32_t, priority_class> classes_;
    std::size_t size_ = 0;
    std::uint64_t next_sequence_ = 0;
    /// For requests of at least the priority that waits, and for those below it. The
    /// first ones get up to half of the rate, as they may be as valuable as those that
    /// wait; the others get the share of lower priorities.
    kept_pool kept_for_equals_{{}, 0.1, 0.5, 0};
    kept_pool kept_for_lower_{{}, 0.02, 0.1, 0};
    time_point kept_updated_at_{};
};

} // namespace carawayturn::entry
