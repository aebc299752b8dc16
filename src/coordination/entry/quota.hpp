#pragma once

#include "coordination/entry/organisation_queue.hpp"
#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Rate, in units per second, and burst of one organisation over all instances.
struct quota_terms
{
    double rate = 0;
    double burst = 0;
};

/// The hub's answer to an instance that requests units of a quota.
struct quota_grant
{
    double units = 0;
    /// If nothing was granted: the time until the requested units will have accrued.
    duration retry_after{};
};

/// Keeps the hub's token buckets, one for each organisation, so that the sum of the
/// grants to all instances stays within the rate. Handles the load pattern "one
/// organisation sends several times its rate through every instance".
class hub_quota
{
public:
    /// Sets the share of all known instances that are connected to this hub. The buckets
    /// accrue this share of the rate; each disconnected instance accrues its own.
    void set_connected_share(double share);

    /// Resets all buckets to `initial_fill` of their burst, for a new hub that does not
    /// know what the former one granted.
    void reset(double initial_fill);

    /// Grants all of `units`, plus up to `reserve` if the bucket holds enough, or
    /// nothing.
    [[nodiscard]] quota_grant grant(std::string const& organisation,
                                    quota_terms const& terms, double units,
                                    double reserve, time_point now);

    /// Returns the state of the organisation's bucket, for requests that wait for units.
    [[nodiscard]] bucket_state state(std::string const& organisation,
                                     quota_terms const& terms, time_point now);
    /// Takes units that state() has shown to suffice for a request. Unlike grant(), it
    /// does not count them as requested.
    void take(std::string const& organisation, double units);
    /// Counts units as requested, whether they are granted or not.
    void note_demand(std::string const& organisation, quota_terms const& terms,
                     double units, time_point now);

    /// Returns the names of the organisations whose buckets hold less than half of the
    /// burst. Only organisations that requested units since the last reset are listed.
    [[nodiscard]] std::vector<std::string> drained(time_point now) const;

    /// Returns the names of the organisations that request more than their rate and
    /// burst, whether the units are granted or not. Unlike a refusal, this does not
    /// depend on how much a new hub has available at the start.
    [[nodiscard]] std::vector<std::string> above_rate(time_point now) const;

    /// Returns the list for node_update::exhausted_organisations: drained organisations
    /// once, organisations above their rate twice.
    [[nodiscard]] std::vector<std::string> exhausted(time_point now) const;

private:
    struct bucket
    {
        double level = 0;
        quota_terms terms;
        time_point last{};
        bool fresh = true;
        /// Level of a second bucket, which starts full and from which requested units are
        /// subtracted even if they are not granted. Bounded below, so that an
        /// organisation that returns to its rate is soon no longer listed.
        double demand_level = 0;
    };
    /// Returns `level`, as of the last change of the bucket, plus what has accrued since.
    [[nodiscard]] double accrued(bucket const& entry, double level, time_point now) const;
    bucket& refresh(std::string const& organisation, quota_terms const& terms,
                    time_point now);

    double share_ = 1;
    double initial_fill_ = 0;
    std::map<std::string, bucket> buckets_;
};

/// How urgent a request for units is: its priority (0 is the most urgent), the longest
/// time that it can wait for them, and whether its caller takes a stream up again.
struct quota_rank
{
    std::uint32_t priority = 0;
    duration max_wait{};
    bool resumes_stream = false;
};

/// Keeps what an instance may spend by itself: what the hub granted beyond single
/// requests and, while no hub answers, the instance's own share of the rate. A request
/// passes while the balance is positive and may leave it negative. Handles the load
/// pattern "the hub is gone for seconds, and one request is larger than what an
/// instance's share of the rate brings in a second".
///
/// The negative balances of all instances together can exceed what the rate brings in
/// several seconds. The balance of an organisation that requested more than its rate from
/// the hub therefore does not become negative: a request that is larger than the balance
/// uses all of it and passes with the probability balance / units. On average, the
/// instances then spend no more than what accrues.
class instance_quota
{
public:
    /// @param seed differs between instances, so that they do not all pass their requests
    ///     at the same balance.
    explicit instance_quota(std::uint64_t seed = 0);

    /// Spends units that the hub granted in advance. Returns false, spending nothing, if
    /// they do not suffice.
    [[nodiscard]] bool spend(std::string const& organisation, double units);
    void deposit(std::string const& organisation, double units);

    /// Stores the hub's list of drained organisations. If the hub is lost, these start
    /// from zero, and the others from half of the instance's burst.
    void set_drained(std::vector<std::string> const& organisations, time_point now);
    /// Stores the hub's list of exhausted organisations, see hub_quota::exhausted().
    void set_exhausted(std::vector<std::string> const& organisations, time_point now);

    /// Spends from the share of the rate that accrues to one of `instances` since the
    /// hub's last update. While resumed streams wait for units, new requests get only a
    /// part of what accrues in the meantime.
    [[nodiscard]] bool spend_without_hub(std::string const& organisation,
                                         quota_terms const& terms, double units,
                                         std::size_t instances, time_point now,
                                         bool resumes_stream = false);
    /// Counts the resumed streams of the organisation that wait for units.
    void begin_resumed_wait(std::string const& organisation, time_point now);
    void end_resumed_wait(std::string const& organisation);

    /// Records that the hub refused a request of `units` with this rank, and when it
    /// expects to have units for it. For a short time, requests that are as large, of the
    /// same or a lower priority and no more patient need not ask the hub. The refusal of
    /// a new request does not apply to resumed streams, nor the reverse.
    void block(std::string const& organisation, double units, time_point expected,
               time_point now, quota_rank rank = {});
    /// Returns the time until units are expected for such a request, or zero if the hub
    /// has to be asked.
    [[nodiscard]] duration blocked_for(std::string const& organisation, double units,
                                       time_point now, quota_rank rank = {}) const;

private:
    struct refused_request
    {
        double units = 0;
        quota_rank rank;
        time_point applies_until{};
        time_point units_expected_at{};
    };
    struct account
    {
        double balance = 0;
        /// Balance of the instance's own share of the rate; negative after a request that
        /// was larger than the balance.
        double without_hub_balance = 0;
        time_point without_hub_updated_at{};
        std::size_t resumed_waiting = 0;
        /// What new requests may spend of the own share while resumed streams wait;
        /// negative after a request that was larger.
        double new_allowance = 0;
        time_point new_allowance_updated_at{};
        /// The last refusal of a new request and of a resumed stream.
        std::array<refused_request, 2> refused;

        void accrue_without_hub(double instance_rate, double cap, time_point until);
        /// Returns whether a new request has to leave the units to resumed streams.
        [[nodiscard]] bool kept_for_resumed(double instance_rate, time_point now);
    };
    /// Spends the whole balance, which is smaller than `units`. Returns true with the
    /// probability balance / units.
    [[nodiscard]] bool spend_at_random(account& entry, double units);

    std::map<std::string, account> accounts_;
    std::mt19937_64 random_;
    std::set<std::string> drained_;
    std::set<std::string> above_rate_;
    std::optional<time_point> last_hub_update_;
};

/// Counts a request, if it resumes a stream, among those that wait for units, until it is
/// destroyed.
class resumed_quota_wait
{
public:
    resumed_quota_wait(instance_quota& quota, std::string organisation,
                       bool resumes_stream, time_point now);
    resumed_quota_wait(resumed_quota_wait const&) = delete;
    resumed_quota_wait& operator=(resumed_quota_wait const&) = delete;
    ~resumed_quota_wait();

private:
    instance_quota& quota_;
    std::string organisation_;
    bool resumes_stream_;
};

} // namespace carawayturn::entry
