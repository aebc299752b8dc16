#pragma once

#include "state/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Rate and burst of one organisation over all instances.
struct quota_terms
{
    double rate = 0;
    double burst = 0;
};

/// The hub's answer to an instance that asked for units of a quota.
struct quota_grant
{
    double units = 0;
    /// When nothing was granted: time until as much will have accrued.
    duration retry_after{};
};

/// The hub's token buckets, one for each organisation. Answers the load pattern "one
/// organisation sends several times its rate through every instance": the sum of what all
/// instances are granted stays inside the rate.
class hub_quota
{
public:
    /// Share of all known instances that draw on this ledger; the others accrue their own
    /// part of the rate.
    void set_connected_share(double share);

    /// Starts all buckets anew at `initial_fill` of their burst, for a new hub that does
    /// not know what the former one granted.
    void reset(double initial_fill);

    /// Grants the units in full, plus up to `reserve` where the bucket allows, or
    /// nothing.
    [[nodiscard]] quota_grant ask(std::string const& organisation,
                                  quota_terms const& terms, double units, double reserve,
                                  time_point now);

    /// Organisations that have less than half of their burst left, by name. Only those
    /// that were asked for since the last reset.
    [[nodiscard]] std::vector<std::string> drained(time_point now) const;

private:
    struct bucket
    {
        double level = 0;
        quota_terms terms;
        time_point last{};
        bool fresh = true;
    };
    [[nodiscard]] double level_at(bucket const& entry, time_point now) const;
    bucket& refresh(std::string const& organisation, quota_terms const& terms,
                    time_point now);

    double share_ = 1;
    double initial_fill_ = 0;
    std::map<std::string, bucket> buckets_;
};

/// What an instance may spend by itself: what the hub granted beyond single requests, and
/// its own part of the rate while no hub answers. Answers the load pattern "the hub is
/// gone for seconds, and one request is larger than what an instance's part of the rate
/// brings in a second": a request passes while anything is left and leaves a debt.
class instance_quota
{
public:
    /// Spends from the balance if it suffices.
    [[nodiscard]] bool spend(std::string const& organisation, double units);
    void deposit(std::string const& organisation, double units);

    /// Takes the hub's word of who has little left: they start from nothing when the hub
    /// is lost, the others from half of their burst.
    void set_drained(std::vector<std::string> const& organisations, time_point now);

    /// Spends from the part of the rate that accrues to one of `instances` since the
    /// hub's last word.
    [[nodiscard]] bool spend_without_hub(std::string const& organisation,
                                         quota_terms const& terms, double units,
                                         std::size_t instances, time_point now);

    /// Until then the hub has nothing for a request of this size or more.
    void block(std::string const& organisation, double units, time_point until);
    [[nodiscard]] duration blocked_for(std::string const& organisation, double units,
                                       time_point now) const;

private:
    struct account
    {
        double balance = 0;
        /// Left of the own part of the rate; below zero after a request that was larger.
        double without_hub_balance = 0;
        time_point without_hub_updated_at{};
        double blocked_units = 0;
        time_point blocked_until{};

        void accrue_without_hub(double instance_rate, double cap, time_point until);
    };
    std::map<std::string, account> accounts_;
    std::set<std::string> drained_;
    std::optional<time_point> last_hub_update_;
};

} // namespace carawayturn::entry
