#pragma once

#include "state/fleet_config.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <chrono>
#include <compare>
#include <cstdint>

namespace carawayturn::detail
{

/// Time for which a member lends its base share, counted from receipt of the query.
inline constexpr duration lend_period = std::chrono::seconds(2);
/// The same at the owner, from the moment the query was sent: 5% less, for clock drift.
inline constexpr duration owner_lend_period = std::chrono::milliseconds(1900);
/// Drift allowed for when the owner converts its own time into a member's.
inline constexpr double clock_drift = 1.05;
/// A new holder of a slot waits this long before it uses the base share: a lending by the
/// former holder, who may have lent until it lost its authority, has then expired.
inline constexpr duration takeover_delay = std::chrono::milliseconds(2200);
inline constexpr duration query_period = std::chrono::milliseconds(250);
/// An organisation without use for this long is no longer queried for.
inline constexpr duration activity_period = std::chrono::seconds(10);
inline constexpr duration ask_limit = std::chrono::milliseconds(20);
/// Longest wait for tokens to accrue.
inline constexpr duration wait_limit = std::chrono::seconds(2);
/// A member returns granted tokens that it has not used for this long.
inline constexpr duration idle_grant_period = std::chrono::seconds(1);
/// An owner that has sent nothing for this long, while asked, is passed over.
inline constexpr duration silence_limit = std::chrono::seconds(1);
/// Answer to requests that can never be served.
inline constexpr duration longest_retry = std::chrono::hours(1);

[[nodiscard]] inline double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

[[nodiscard]] inline duration from_seconds(double value)
{
    if (value >= seconds(longest_retry))
    {
        return longest_retry;
    }
    return std::chrono::ceil<duration>(std::chrono::duration<double>(value));
}

/// One organisation's limits by the configuration in force.
struct budget_terms
{
    double rate = 0;
    double burst = 0;
    double slots = 1;

    [[nodiscard]] double share_rate() const { return rate / slots; }
    [[nodiscard]] double share_burst() const { return burst / slots; }
};

/// One process under an instance's name; counters are kept per pair of these.
struct process_key
{
    instance_id id;
    incarnation_number incarnation = 0;
    friend auto operator<=>(process_key const&, process_key const&) = default;
};

} // namespace carawayturn::detail
