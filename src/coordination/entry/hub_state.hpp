#pragma once

#include "coordination/entry/cold_slots.hpp"
#include "coordination/entry/config_authority.hpp"
#include "coordination/entry/crash_tracker.hpp"
#include "coordination/entry/fleet_status.hpp"
#include "coordination/entry/placement_planner.hpp"
#include "coordination/entry/quota.hpp"
#include "coordination/entry/quota_queue.hpp"
#include "coordination/entry/server_availability.hpp"
#include "coordination/entry/versioned_directory.hpp"
#include "state/entry/node_message.hpp"

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carawayturn::entry
{

/// State of the hub, the instance that holds the lease, and the decisions that it makes
/// for all instances: which models are loaded on which runners, how much of the quotas
/// each instance may spend, and the contents of the directory of backend servers. Makes
/// no calls itself.
class hub_state
{
public:
    explicit hub_state(std::uint64_t incarnation);

    /// Resets the state when this instance becomes the hub. `first_holder` is true if
    /// there was no hub before, so that full quotas can be granted at once.
    void start(bool first_holder);

    /// Adds or replaces the record of a server, with its cold mark.
    /// @param newly_started whether a server that was unknown so far has just started;
    ///     false while the servers are listed for the first time.
    void put_server(backend_record record, time_point now, bool newly_started = false);
    void remove_server(std::string const& id);
    /// Sets the evacuated failure domains, in which no models are placed.
    void set_evacuated(std::set<std::string> domains, time_point now)
    {
        planner_.set_evacuated(std::move(domains), now);
    }

    /// Expires instances that have sent no status for a while and updates the share of
    /// instances that are connected. Must be called regularly. It is separate from
    /// answer() because its cost grows with the number of instances.
    void refresh_fleet(time_point now);

    /// Grants and refuses requests that wait for quota. Must be called regularly. The
    /// outcomes are to be sent to the instances.
    [[nodiscard]] std::vector<settled_quota>
    settle_quota(config_authority const& authority, time_point now);
    [[nodiscard]] quota_queue const& quota_waiters() const { return quota_queue_; }

    /// Returns an update to push to an instance, based on the last status that the
    /// instance sent. Unlike a reply, it contains the directory changes even if that
    /// status was incomplete.
    [[nodiscard]] node_update unsolicited_update(node_status const& status,
                                                 config_authority const& authority,
                                                 time_point now);

    /// Processes a status and returns the reply, without the fields about the lease. The
    /// reply to an incomplete status, which only requests quota, contains no directory
    /// changes.
    [[nodiscard]] node_update answer(node_status const& status,
                                     config_authority const& authority, time_point now);

    /// Returns whether requests are blocked since the last call because servers crashed
    /// under them. All instances should learn that at once.
    [[nodiscard]] bool take_crash_alert() { return std::exchange(crash_alert_, false); }
    [[nodiscard]] bool crash_alert() const { return crash_alert_; }

    /// Plans the placement of models with the newest demand and returns the orders to
    /// send to runners.
    [[nodiscard]] std::vector<runner_order> plan(config_authority const& authority,
                                                 time_point now);

    /// Cold servers and the slots for them.
    [[nodiscard]] cold_slots& cold() { return cold_; }

    [[nodiscard]] placement_planner& planner() { return planner_; }
    /// Copies the runner records that the planner changed into the directory.
    void publish();
    [[nodiscard]] std::uint64_t revision() const { return directory_.revision(); }
    [[nodiscard]] std::size_t instances() const;
    [[nodiscard]] std::map<std::string, backend_record> servers() const
    {
        return directory_.records();
    }

private:
    [[nodiscard]] bool is_runner(backend_record const& record) const;
    /// Updates the records of servers whose cold time has ended or begun without a row.
    void update_cold_marks(time_point now);
    /// Marks servers as leaving, even if their entries in the store do not say so.
    void mark_leaving(std::vector<leaving_server> const& servers, time_point now);
    void apply_config(config_authority const& authority, time_point now);
    [[nodiscard]] quota_reply grant(quota_request const& request,
                                    node_status const& status, bool resumes_stream,
                                    serving_config const& config, time_point now);
    /// Answers the quota requests of a status.
    void answer_quota(node_status const& status, config_authority const& authority,
                      node_update& update, time_point now);

    [[nodiscard]] std::shared_ptr<fleet_loads const> const& loads(time_point now);

    fleet_status fleet_;
    /// The request counts sent last, when they were computed, and the membership revision
    /// of the directory for which they were computed.
    std::shared_ptr<fleet_loads const> loads_;
    time_point loads_at_{};
    std::uint64_t loads_membership_revision_ = 0;
    /// Rotates the addresses of other instances that updates contain.
    std::size_t peer_rotation_ = 0;
    versioned_directory directory_;
    placement_planner planner_;
    hub_quota quota_;
    cold_slots cold_;
    quota_queue quota_queue_{quota_};
    fleet_crash_tracker crashes_;
    bool crash_alert_ = false;
    /// Announcements of backend servers that they are leaving, as reported by instances.
    server_availability server_availability_;
    std::shared_ptr<serving_config const> config_;
    /// Estimated time until a model is ready, by service and model, from the last plan.
    std::map<std::pair<std::string, std::string>, duration> estimates_;
};

} // namespace carawayturn::entry
