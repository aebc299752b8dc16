#include "coordination/entry/store_read_policy.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// An instance that has just started gives a hub this long to tell what it reads.
constexpr duration startup_wait = std::chrono::milliseconds(300);
/// What a hub told may be this old: above its period, so that one late update does not
/// matter, and low enough that a leaving server is seen in time.
constexpr duration min_report_timeout = std::chrono::milliseconds(1000);
constexpr duration max_report_timeout = std::chrono::milliseconds(2000);

/// The hub passes a new configuration on within this time, or each instance reads it.
constexpr duration config_wait = std::chrono::milliseconds(400);

/// Pauses between questions for changes of backend servers. Their entries change at each
/// heartbeat, so that a waiting question would return for each.
constexpr duration hub_servers_interval = std::chrono::milliseconds(400);
constexpr duration servers_interval_per_instance = std::chrono::milliseconds(7);
/// A hub's word on the servers may be as old.
constexpr duration max_servers_interval = std::chrono::milliseconds(1000);

/// Pauses of an instance that tries for itself, and of one whose hub tries as well: a
/// fixed one for small fleets, and a part for each instance.
constexpr duration self_retry = std::chrono::milliseconds(250);
constexpr duration self_retry_per_instance = std::chrono::milliseconds(7);
constexpr duration max_self_retry = std::chrono::milliseconds(2000);
constexpr duration hub_backed_retry = std::chrono::milliseconds(1000);
constexpr duration hub_backed_retry_per_instance = std::chrono::milliseconds(35);
/// Below the time for which keyed requests are served without a confirmation.
constexpr duration max_hub_backed_retry = std::chrono::milliseconds(4000);

constexpr duration search_interval = std::chrono::milliseconds(500);
constexpr duration search_interval_per_instance = std::chrono::milliseconds(4);
constexpr duration max_search_interval = std::chrono::milliseconds(2000);

duration scale_by_instances(duration minimum, duration per_instance, duration maximum,
                            std::size_t instances)
{
    auto const bounded = static_cast<int>(std::min<std::size_t>(instances, 1'000'000));
    return std::clamp(per_instance * bounded, minimum, maximum);
}

} // namespace

bool store_read_policy::should_read(time_point now, duration period) const
{
    if (hub_cannot_read_)
        return true;
    if (last_report_at_ == time_point{})
        return now - started_at_ >= startup_wait;
    return now - last_report_at_ >=
           std::clamp(period * 7 / 4, min_report_timeout, max_report_timeout);
}

bool store_read_policy::should_read_config(time_point now, bool config_outdated)
{
    if (!config_outdated)
        outdated_since_ = time_point{};
    else if (outdated_since_ == time_point{})
        outdated_since_ = now;
    return config_outdated && now - outdated_since_ >= config_wait;
}

duration store_read_policy::servers_interval(std::size_t instances, bool hub)
{
    if (hub)
        return hub_servers_interval;
    return scale_by_instances(hub_servers_interval, servers_interval_per_instance,
                              max_servers_interval, instances);
}

duration store_read_policy::retry_interval(std::size_t instances, bool hub_tries)
{
    if (hub_tries)
        return scale_by_instances(hub_backed_retry, hub_backed_retry_per_instance,
                                  max_hub_backed_retry, instances);
    return scale_by_instances(self_retry, self_retry_per_instance, max_self_retry,
                              instances);
}

bool hub_search::due(time_point now, time_point lease_end, std::size_t instances) const
{
    if (hub_answers_ || now < lease_end)
        return false;
    return now - searched_at_ >= scale_by_instances(search_interval,
                                                    search_interval_per_instance,
                                                    max_search_interval, instances);
}

} // namespace carawayturn::entry
