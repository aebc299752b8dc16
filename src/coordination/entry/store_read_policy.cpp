#include "coordination/entry/store_read_policy.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// An instance that has just started gives a hub this long to tell what it reads.
constexpr duration start_patience = std::chrono::milliseconds(300);
/// What a hub told may be this old: above its period, so that one late update does not
/// matter, and low enough that a leaving server is seen in time.
constexpr duration least_patience = std::chrono::milliseconds(1000);
constexpr duration greatest_patience = std::chrono::milliseconds(2000);

/// The hub passes a new configuration on within this time, or each instance reads it.
constexpr duration config_patience = std::chrono::milliseconds(400);

/// Pauses between questions for changes of backend servers. Their entries change at each
/// heartbeat, so that a waiting question would return for each.
constexpr duration hub_servers_interval = std::chrono::milliseconds(400);
constexpr duration servers_interval_per_instance = std::chrono::milliseconds(7);
/// A hub's word on the servers may be as old.
constexpr duration greatest_servers_interval = std::chrono::milliseconds(1000);

/// Pauses of an instance that tries for itself, and of one whose hub tries as well: a
/// fixed one for small fleets, and a part for each instance.
constexpr duration eager_retry = std::chrono::milliseconds(250);
constexpr duration eager_retry_per_instance = std::chrono::milliseconds(7);
constexpr duration greatest_eager_retry = std::chrono::milliseconds(2000);
constexpr duration patient_retry = std::chrono::milliseconds(1000);
constexpr duration patient_retry_per_instance = std::chrono::milliseconds(35);
/// Below the time for which keyed requests are served without a confirmation.
constexpr duration greatest_patient_retry = std::chrono::milliseconds(4000);

constexpr duration search_interval = std::chrono::milliseconds(500);
constexpr duration search_interval_per_instance = std::chrono::milliseconds(4);
constexpr duration greatest_search_interval = std::chrono::milliseconds(2000);

duration scaled(duration least, duration per_instance, duration greatest,
                std::size_t instances)
{
    auto const bounded = static_cast<int>(std::min<std::size_t>(instances, 1'000'000));
    return std::clamp(per_instance * bounded, least, greatest);
}

} // namespace

bool reading_rule::reads(time_point now, duration period) const
{
    if (hub_cannot_read_)
        return true;
    if (heard_at_ == time_point{})
        return now - started_at_ >= start_patience;
    return now - heard_at_ >=
           std::clamp(period * 7 / 4, least_patience, greatest_patience);
}

bool reading_rule::reads_config(time_point now, bool behind)
{
    if (!behind)
        behind_since_ = time_point{};
    else if (behind_since_ == time_point{})
        behind_since_ = now;
    return behind && now - behind_since_ >= config_patience;
}

duration reading_rule::servers_interval(std::size_t instances, bool hub)
{
    if (hub)
        return hub_servers_interval;
    return scaled(hub_servers_interval, servers_interval_per_instance,
                  greatest_servers_interval, instances);
}

duration reading_rule::retry_interval(std::size_t instances, bool hub_tries)
{
    if (hub_tries)
        return scaled(patient_retry, patient_retry_per_instance, greatest_patient_retry,
                      instances);
    return scaled(eager_retry, eager_retry_per_instance, greatest_eager_retry, instances);
}

bool hub_search::due(time_point now, time_point lease_end, std::size_t instances) const
{
    if (hub_answers_ || now < lease_end)
        return false;
    return now - searched_at_ >= scaled(search_interval, search_interval_per_instance,
                                        greatest_search_interval, instances);
}

} // namespace carawayturn::entry
