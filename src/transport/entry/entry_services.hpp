#pragma once

#include "coordination/entry/admission_control.hpp"
#include "coordination/entry/backend_selector.hpp"
#include "coordination/entry/byte_budget.hpp"
#include "coordination/entry/client_limits.hpp"
#include "coordination/entry/config_authority.hpp"
#include "coordination/entry/crash_tracker.hpp"
#include "coordination/entry/demand_tracker.hpp"
#include "coordination/entry/hedge_policy.hpp"
#include "coordination/entry/quota.hpp"
#include "coordination/entry/quota_wait.hpp"
#include "coordination/entry/retry_budget.hpp"
#include "coordination/entry/shutdown_plan.hpp"
#include "coordination/entry/wait_queue.hpp"
#include "state/entry/node_message.hpp"
#include "state/entry/node_settings.hpp"
#include "transport/entry/backend_connections.hpp"
#include "transport/entry/caller_connections.hpp"
#include "transport/entry/change_signal.hpp"
#include "transport/entry/decision_log.hpp"
#include "transport/entry/entry_metrics.hpp"
#include "transport/entry/io.hpp"
#include "transport/entry/task_runner.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace carawayturn::entry
{

class stream_registry;

/// A request's question to the hub for units of its organisation's quota.
struct hub_quota_question
{
    std::string organisation;
    double units = 0;
    /// Further units to grant if available, for the instance's next requests.
    double reserve = 0;
    quota_rank rank;
    /// Whether the request no longer waits.
    std::function<bool()> given_up;
};

/// Connection to the hub, as requests use it.
class hub_link
{
public:
    hub_link() = default;
    hub_link(hub_link const&) = delete;
    hub_link& operator=(hub_link const&) = delete;
    virtual ~hub_link() = default;

    /// Requests units of an organisation's quota from the hub, and waits for them as long
    /// as the rank allows. Returns nothing if the hub does not answer in time or is lost,
    /// or if the request no longer waits.
    [[nodiscard]] virtual task<std::optional<quota_reply>>
    ask_quota(hub_quota_question question) = 0;
    /// Sends this instance's status to the hub soon instead of at the next regular time.
    virtual void send_status_soon() = 0;
    /// Whether the hub answers, or this instance is the hub.
    [[nodiscard]] virtual bool connected() const = 0;
    /// Whether this instance is the hub.
    [[nodiscard]] virtual bool is_hub() const = 0;
    /// Last time at which no hub with a valid lease answered, so that none could order
    /// models to be loaded.
    [[nodiscard]] virtual time_point last_without_valid_hub() const = 0;
    /// Number of instances that share quotas and budgets.
    [[nodiscard]] virtual std::size_t instances() const = 0;
};

/// Objects that all requests of an instance share.
struct entry_services
{
    asio::io_context& io;
    node_settings const& settings;
    /// When this process started.
    time_point started_at;
    deadline_monitor& deadlines;
    /// Memory budget for request bodies.
    byte_budget& bodies;
    /// Memory budget for the parts of answers that requests hold.
    byte_budget& answers;
    config_authority& authority;
    backend_selector& backends;
    backend_connections& connections;
    instance_quota& quota;
    quota_waiters& quota_waiting;
    retry_budget& retries;
    hedge_policy& hedges;
    demand_tracker& demand;
    change_signal& changes;
    hub_link& hub;
    decision_log& log;
    entry_metrics& metrics;
    std::minstd_rand& random;
    /// Number of requests in flight, by backend server and model.
    std::map<std::pair<std::string, std::string>, std::uint32_t>& in_flight;
    /// Set when the instance starts to shut down.
    std::optional<shutdown_plan> const& shutdown;
    caller_connections& callers;
    /// Requests that wait for the end of a server's pause or for room at a server, in the
    /// order in which they are served.
    wait_queue& waiting;
    crash_tracker& crashes;
    task_runner& tasks;
    start_estimator& starts;
    admission_control& admission;
    /// Memory budget for unparsed bytes and parsed header fields of requests.
    byte_budget& heads;
    limit_report& limits;
    /// The versions at which streams began.
    stream_registry& streams;

    [[nodiscard]] bool draining() const { return shutdown.has_value(); }
    /// Counts an action for lack of a share, and logs it if a line is due.
    void note_limit(client_share share, limit_action action) const;
};

} // namespace carawayturn::entry
