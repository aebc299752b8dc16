#include "coordination/entry/store_read_policy.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// After its start, an instance waits this long for a report of a hub before it reads the
/// store itself.
constexpr duration startup_wait = std::chrono::milliseconds(300);
/// Bounds of the time without a hub's report after which an instance reads the store
/// itself. This time is longer than the interval of the hub's updates, so that one late
/// update has no effect, and short enough that a leaving server is noticed in time.
constexpr duration min_report_timeout = std::chrono::milliseconds(1000);
constexpr duration max_report_timeout = std::chrono::milliseconds(2000);

/// The hub forwards a new configuration within this time; otherwise each instance reads
/// it.
constexpr duration config_wait = std::chrono::milliseconds(400);

/// Pauses between queries for changes of backend servers. The servers' entries change
/// with each heartbeat, so a query that waits for a change would return for each
/// heartbeat.
constexpr duration hub_servers_interval = std::chrono::milliseconds(400);
constexpr duration servers_interval_per_instance = std::chrono::milliseconds(7);
/// Upper limit of this pause, because a hub's report on the servers may be equally old.
constexpr duration max_servers_interval = std::chrono::milliseconds(1000);

/// Pauses between retries of an instance that tries the store for itself (self_retry),
/// and of an instance whose hub retries as well (hub_backed_retry): a minimum for small
/// fleets, an amount for each instance and a maximum.
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
