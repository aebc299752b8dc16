#pragma once

#include "coordination/entry/config_authority.hpp"
#include "coordination/entry/crash_tracker.hpp"
#include "coordination/entry/fleet_status.hpp"
#include "coordination/entry/placement_planner.hpp"
#include "coordination/entry/quota.hpp"
#include "coordination/entry/server_availability.hpp"
#include "coordination/entry/versioned_directory.hpp"
#include "state/entry/node_message.hpp"

#include <memory>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// What the holder of the lease decides and tells for all instances: which models are
/// loaded where, what each instance may spend of the quotas, and the directory of backend
/// servers. Makes no calls itself.
class hub_state
{
public:
    explicit hub_state(std::uint64_t incarnation);

    /// Starts anew as hub. `first` tells that no hub was there before, so that full
    /// quotas can be granted at once.
    void start(bool first);

    void put_server(backend_record record, time_point now);
    void remove_server(std::string const& id);

    /// Notices instances that are silent; call often. Apart from answer(), because its
    /// work grows with the number of instances.
    void refresh_fleet(time_point now);

    /// What an instance that sent this status before should know now, unasked.
    [[nodiscard]] node_update changes_for(node_status const& status,
                                          config_authority const& authority,
                                          time_point now);

    /// Takes a status and returns the reply without the parts that concern the lease. One
    /// that only asks for quota is not told of the directory.
    [[nodiscard]] node_update answer(node_status const& status,
                                     config_authority const& authority, time_point now);

    /// Plans with the newest demand; returns the orders to send.
    [[nodiscard]] std::vector<runner_order> plan(config_authority const& authority,
                                                 time_point now);

    [[nodiscard]] placement_planner& planner() { return planner_; }
    /// Moves what the planner learned into the directory.
    void publish();
    [[nodiscard]] std::uint64_t revision() const { return directory_.revision(); }
    [[nodiscard]] std::size_t instances() const;
    [[nodiscard]] std::map<std::string, backend_record> servers() const
    {
        return directory_.records();
    }

private:
    [[nodiscard]] bool is_runner(backend_record const& record) const;
    /// Marks the servers as leaving, whatever their entries at the store say.
    void mark_leaving(std::vector<leaving_server> const& servers, time_point now);
    void apply_config(config_authority const& authority, time_point now);
    [[nodiscard]] quota_reply grant(quota_request const& ask,
                                    serving_config const& config, time_point now);

    [[nodiscard]] std::shared_ptr<fleet_loads const> const& loads(time_point now);

    fleet_status fleet_;
    /// As told last, when, and for which servers.
    std::shared_ptr<fleet_loads const> loads_;
    time_point loads_at_{};
    std::uint64_t loads_membership_revision_ = 0;
    /// Chooses which addresses the next update names.
    std::size_t peer_rotation_ = 0;
    versioned_directory directory_;
    placement_planner planner_;
    hub_quota quota_ledger_;
    fleet_crash_tracker crashes_;
    /// What servers said to instances.
    server_availability words_;
    std::shared_ptr<serving_config const> config_;
    /// As of the last plan, by service and model.
    std::map<std::pair<std::string, std::string>, duration> estimates_;
};

} // namespace carawayturn::entry
