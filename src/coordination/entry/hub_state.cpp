#include "coordination/entry/hub_state.hpp"

#include "state/entry/directory_digest.hpp"

#include <algorithm>
#include <set>

namespace carawayturn::entry
{

namespace
{

/// Share of each burst that a new hub has available at the start. It is below 1 because
/// the previous hub may have granted the whole burst just before the change.
constexpr double inherited_quota_fill = 0.3;
/// Number of addresses of other instances in one update. Successive updates name
/// different ones.
constexpr std::size_t peers_per_update = 2;
/// Maximum age of the request counts that are sent to instances. It is below the interval
/// of the statuses, so that the receiver's own requests among the counts come from its
/// newest status or the one before. The counts of the servers in these two statuses are
/// replaced by other_instances_loads, which leaves out the receiver's own requests.
constexpr duration max_loads_age = std::chrono::milliseconds(100);

} // namespace

hub_state::hub_state(std::uint64_t incarnation) : directory_(incarnation) {}

void hub_state::start(bool first_holder)
{
    fleet_.clear();
    loads_.reset();
    planner_.reset();
    quota_.reset(first_holder ? 1.0 : inherited_quota_fill);
    quota_queue_.clear();
}

bool hub_state::is_runner(backend_record const& record) const
{
    auto const* const service = config_ ? config_->find_service(record.service) : nullptr;
    return service != nullptr && service->engine.has_value();
}

void hub_state::put_server(backend_record record, time_point now, bool newly_started)
{
    record.cold_for_s = cold_.put(record, newly_started, now);
    record.cold_left.reset();
    record.draining = record.draining || server_availability_.is_leaving(record);
    if (!is_runner(record))
    {
        directory_.put(std::move(record));
        return;
    }
    planner_.put_runner(record, now);
    directory_.put(*planner_.find_record(record.id));
}

void hub_state::mark_leaving(std::vector<leaving_server> const& servers, time_point now)
{
    bool newly_leaving = false;
    for (auto const& server : servers)
        newly_leaving =
            server_availability_.note_leaving(server.backend, server.born_ms) ||
            newly_leaving;
    if (!newly_leaving)
        return;
    for (auto const& [id, record] : directory_.records())
    {
        if (record.draining || !server_availability_.is_leaving(record))
            continue;
        auto const* const runner = planner_.find_record(id);
        put_server(runner != nullptr ? *runner : record, now);
    }
}

void hub_state::apply_config(config_authority const& authority, time_point now)
{
    if (config_ == authority.current())
        return;
    config_ = authority.current();
    planner_.set_config(config_.get());
    // Adds runners that were recorded before the configuration named their service as one
    // with runners.
    for (auto const& [id, record] : directory_.records())
        if (is_runner(record) && planner_.find_record(id) == nullptr)
            planner_.put_runner(record, now);
}

void hub_state::remove_server(std::string const& id)
{
    planner_.remove_runner(id);
    directory_.remove(id);
    cold_.remove(id);
}

void hub_state::update_cold_marks(time_point now)
{
    for (auto const& id : cold_.take_changed(now))
    {
        auto const* const known = directory_.find(id);
        if (known == nullptr)
            continue;
        auto const* const runner = planner_.find_record(id);
        put_server(runner != nullptr ? *runner : *known, now);
    }
}

std::size_t hub_state::instances() const
{
    return std::max<std::size_t>(fleet_.connected(), 1);
}

quota_reply hub_state::grant(quota_request const& request, node_status const& status,
                             bool resumes_stream, serving_config const& config,
                             time_point now)
{
    auto const* const organisation =
        config.find_organisation_by_name(request.organisation);
    if (organisation == nullptr)
        return {request.quota_request_id, 0, 0};
    quota_terms const terms{organisation->rate, organisation->burst};
    quota_claim claim{status.node,   status.incarnation, request.quota_request_id,
                      request.units, request.priority,   {},
                      resumes_stream};
    auto const decision =
        quota_queue_.request({request.organisation, std::move(claim), request.extra_units,
                              duration(std::max<std::int64_t>(request.max_wait_us, 0))},
                             terms, now);
    return {request.quota_request_id, decision.units, decision.retry_after.count(),
            decision.verdict == quota_verdict::queued};
}

void hub_state::answer_quota(node_status const& status, config_authority const& authority,
                             node_update& update, time_point now)
{
    // A status that this hub made up for an unsolicited update has no time of sending.
    if (status.sent_at_us != 0)
        quota_queue_.heard(status.node, status.incarnation, now);
    quota_queue_.cancel(status.node, status.cancelled_quota_requests);
    if (!authority.current() || status.quota_requests.empty())
        return;
    update.sent_at_us = now.time_since_epoch().count();
    // The id of a resumed stream is listed beside its request.
    std::set<std::uint64_t> const resumed(status.cancelled_quota_requests.begin(),
                                          status.cancelled_quota_requests.end());
    for (auto const& request : status.quota_requests)
        update.quota.push_back(grant(request, status,
                                     resumed.contains(request.quota_request_id),
                                     *authority.current(), now));
}

std::vector<settled_quota> hub_state::settle_quota(config_authority const& authority,
                                                   time_point now)
{
    auto const& config = authority.current();
    if (!config)
        return {};
    auto const terms_of = [&config](std::string const& name) -> std::optional<quota_terms>
    {
        auto const* const found = config->find_organisation_by_name(name);
        if (found == nullptr)
            return std::nullopt;
        return quota_terms{found->rate, found->burst};
    };
    return quota_queue_.settle(instances(), terms_of, now);
}

void hub_state::refresh_fleet(time_point now)
{
    fleet_.expire(now);
    update_cold_marks(now);
    auto const known = static_cast<double>(std::max<std::size_t>(fleet_.known(), 1));
    quota_.set_connected_share(static_cast<double>(instances()) / known);
}

node_update hub_state::unsolicited_update(node_status const& status,
                                          config_authority const& authority,
                                          time_point now)
{
    auto update = answer(status, authority, now);
    if (status.complete)
        return update;
    directory_.add_changes(status, update);
    // Only what is blocked: the whole list may be long, and this update may be one of
    // many.
    update.crashes = crashes_.blocked();
    update.cleared_signatures = crashes_.cleared(now);
    return update;
}

std::shared_ptr<fleet_loads const> const& hub_state::loads(time_point now)
{
    if (!loads_ || now - loads_at_ >= max_loads_age ||
        loads_membership_revision_ != directory_.membership_revision())
    {
        loads_ = std::make_shared<fleet_loads const>(directory_.loads(fleet_.totals()));
        loads_at_ = now;
        loads_membership_revision_ = directory_.membership_revision();
    }
    return loads_;
}

node_update hub_state::answer(node_status const& status,
                              config_authority const& authority, time_point now)
{
    if (status.complete)
        fleet_.put(status, now);
    node_update update;
    update.echo_us = status.sent_at_us;
    update.confirmation_age_us = authority.confirmation_age(now).count();
    update.config_version = authority.version();
    update.instances = static_cast<std::uint32_t>(instances());
    answer_quota(status, authority, update, now);
    crash_alert_ = crashes_.add_reports(status.crashes, now) || crash_alert_;
    crashes_.note_cleared(status.cleared_signatures, now);
    mark_leaving(status.leaving, now);
    update.complete = status.complete;
    if (!status.complete)
        return update;
    directory_.add_changes(status, update);
    update.loads = loads(now);
    for (auto const& [backend, count] : fleet_.requests_of_others(status.node))
        update.other_instances_loads.push_back({short_id(backend), count});
    for (auto const& demand : status.demand)
    {
        auto const found =
            estimates_.find({demand.service, model_key::parse(demand.model).model});
        if (demand.waiting > 0 && found != estimates_.end())
            update.estimates.push_back(
                {found->first.first, found->first.second, found->second.count()});
    }
    update.peers =
        fleet_.addresses_of_others(status.node, peers_per_update, peer_rotation_++);
    update.exhausted_organisations = quota_.exhausted(now);
    update.crashes = crashes_.suspects(now);
    update.cleared_signatures = crashes_.cleared(now);
    for (auto const& [backend, model] : planner_.unloading_models())
        update.unloading_models.push_back({backend, model});
    return update;
}

std::vector<runner_order> hub_state::plan(config_authority const& authority,
                                          time_point now)
{
    apply_config(authority, now);
    for (auto& [service, demand] : fleet_.demand(now))
        planner_.set_demand(service, std::move(demand));
    planner_.set_in_flight(fleet_.in_flight());
    auto orders = planner_.plan(now);
    estimates_.clear();
    for (auto const& estimate : planner_.estimates(now))
        estimates_[{estimate.service, estimate.target.model}] = estimate.ready_in;
    return orders;
}

void hub_state::publish()
{
    for (auto const& id : planner_.take_changed_runners())
        if (auto const* const view = planner_.find_record(id))
            directory_.put(*view);
}

} // namespace carawayturn::entry
