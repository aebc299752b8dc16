#include "coordination/placement_manager.hpp"

#include "coordination/placement/demand_sender.hpp"
#include "coordination/placement/pool_owner.hpp"
#include "coordination/placement/replica_view.hpp"
#include "coordination/placement/runner_directory.hpp"
#include "state/hash.hpp"

#include <algorithm>
#include <map>

namespace carawayturn
{

namespace
{

using namespace placement;

class manager final : public placement_manager
{
public:
    manager(instance_identity identity, config_log const& config,
            serving_authority const& authority, policy const& limits)
        : identity_(std::move(identity)), config_(config), authority_(authority),
          limits_(limits), context_{identity_, config, authority, limits_, runners_},
          sender_(identity_.incarnation)
    {
    }

    void handle(time_point now, event const& input, actions& out) override
    {
        std::visit([&](auto const& value) { take(now, value, out); }, input);
    }

    [[nodiscard]] std::string dump(time_point now) const override
    {
        std::string text = "{\"pools\":[";
        for (auto const& [id, owner] : pools_)
            text += (text.ends_with('[') ? "" : ",") + owner.dump(now);
        return text + "]}";
    }

    [[nodiscard]] std::vector<replica> replicas(model_id const& model,
                                                adapter_id const& adapter) const override
    {
        return view_.replicas({model, adapter});
    }

    [[nodiscard]] std::optional<load_estimate>
    estimate(time_point now, model_id const& model,
             adapter_id const& adapter) const override
    {
        return view_.estimate(now, {model, adapter});
    }

    void set_demand(time_point now, local_demand const& demand, actions& out) override
    {
        sync_pools(now, out);
        auto const found = pool_of_.find(demand.model);
        if (found == pool_of_.end())
            return;
        sender_.set(now, found->second, demand);
        send_reports(now, out);
        publish(now, out);
    }

    [[nodiscard]] bool may_send(time_point now, engine_order const& order) const override
    {
        return std::any_of(pools_.begin(), pools_.end(),
                           [&](auto const& entry)
                           { return entry.second.may_send(now, order); });
    }

    void release_all(time_point now, actions& out) override
    {
        publish(now, out);
        for (auto& [id, owner] : pools_)
            owner.release(now, out);
    }

private:
    // Events that do not concern placement.
    template <class Other>
    void take(time_point /*now*/, Other const& /*value*/, actions& /*out*/)
    {
    }

    void take(time_point now, tick const& /*value*/, actions& out)
    {
        sync_pools(now, out);
        send_reports(now, out);
        advance(now, out);
    }

    void take(time_point now, config_changed const& /*value*/, actions& out)
    {
        sync_pools(now, out);
        advance(now, out);
    }

    void take(time_point now, instances_listed const& value, actions& out)
    {
        runners_.note_list(value);
        runners_changed(now, out);
    }

    void take(time_point now, backend_unreachable const& value, actions& out)
    {
        if (runners_.note_unreachable(value.backend))
            runners_changed(now, out);
    }

    void take(time_point now, report_received const& value, actions& out)
    {
        auto const* const known = runners_.find(value.report.backend);
        bool const was_usable = known != nullptr && known->usable();
        auto const incarnation = known != nullptr ? known->incarnation() : 0;
        if (!runners_.note_report(now, value.report))
            return;
        auto const* const info = runners_.find(value.report.backend);
        if (auto const found = pools_.find(info->pool); found != pools_.end())
        {
            found->second.take_report(now, *info->report, out);
            if (info->usable() == was_usable && info->incarnation() == incarnation)
                return;
            found->second.note_runners_changed();
            found->second.advance(now, out);
            publish(now, out);
        }
    }

    void take(time_point now, order_answered const& value, actions& out)
    {
        for (auto& [id, owner] : pools_)
        {
            if (owner.has_runner(value.order.backend))
                owner.take_order_answer(now, value, out);
        }
        publish(now, out);
    }

    void take(time_point now, table_answered const& value, actions& out)
    {
        for (auto& [id, owner] : pools_)
        {
            if (owner.take_table_answer(now, value, out))
                return publish(now, out);
        }
    }

    void take(time_point now, peer_received const& value, actions& out)
    {
        if (auto const* const demand = std::get_if<demand_report>(&value.message))
        {
            if (auto const found = pools_.find(demand->pool); found != pools_.end())
                found->second.take_demand(now, value.from, *demand, out);
            publish(now, out);
        }
        else if (auto const* const update = std::get_if<placement_update>(&value.message))
            take_update(now, value.from, *update, out);
        else if (auto const* const heard = std::get_if<gossip>(&value.message))
            take_gossip(now, *heard, out);
    }

    void take_gossip(time_point now, gossip const& heard, actions& out)
    {
        bool changes = false;
        for (auto const& [runner, incarnation] : heard.leaving)
            changes = runners_.note_leaving(runner, incarnation) || changes;
        if (changes)
            runners_changed(now, out);
    }

    void take_update(time_point now, instance_id const& from,
                     placement_update const& update, actions& out)
    {
        if (auto const found = pools_.find(update.pool);
            found != pools_.end() && update.fence > view_.fence(update.pool))
            found->second.doubt_ownership();
        apply_update(now, from, update, out);
    }

    void apply_update(time_point now, instance_id const& from,
                      placement_update const& update, actions& out)
    {
        auto const former = view_.owner(update.pool);
        if (view_.apply(now, from, update))
            out.emplace_back(raise_event{replicas_changed{update.pool}});
        if (view_.owner(update.pool) == former)
            return;
        // The new owner needs this instance's demand at once.
        sender_.report_soon(update.pool);
        send_reports(now, out);
    }

    void runners_changed(time_point now, actions& out)
    {
        for (auto& [id, owner] : pools_)
            owner.note_runners_changed();
        advance(now, out);
    }

    void advance(time_point now, actions& out)
    {
        for (auto& [id, owner] : pools_)
            owner.advance(now, out);
        publish(now, out);
    }

    void publish(time_point now, actions& out)
    {
        for (auto& [id, owner] : pools_)
        {
            auto const update = owner.take_publication(now);
            if (!update)
                continue;
            for (auto const& member : authority_.live_members(now))
            {
                if (member.id != identity_.id)
                    out.emplace_back(send_peer{member.id, member.peer_address, *update});
            }
            apply_update(now, identity_.id, *update, out);
        }
    }

    void send_reports(time_point now, actions& out)
    {
        auto const reports = sender_.due(now);
        if (reports.empty())
            return;
        auto const members = authority_.live_members(now);
        for (auto const& report : reports)
            send_report(now, report, members, out);
    }

    void send_report(time_point now, demand_report const& report,
                     std::vector<member_entry> const& members, actions& out)
    {
        auto const find_member = [&](instance_id const& id)
        {
            return std::find_if(members.begin(), members.end(),
                                [&](auto const& member) { return member.id == id; });
        };
        auto const own = pools_.find(report.pool);
        auto receiver = find_member(view_.owner(report.pool));
        // Without a live owner the report goes to the instance that will claim the pool.
        if (receiver == members.end())
            receiver = find_member(candidate_for(report.pool, members));
        if (receiver == members.end())
            return;
        if (receiver->id != identity_.id)
            out.emplace_back(send_peer{receiver->id, receiver->peer_address, report});
        else if (own != pools_.end())
            own->second.take_demand(now, identity_.id, report, out);
    }

    void sync_pools(time_point now, actions& out)
    {
        auto const& config = config_.current();
        if (config.version == config_version_)
            return;
        config_version_ = config.version;
        pool_of_.clear();
        for (auto const& [id, pool] : config.pools)
        {
            if (pool.kind == pool_kind::model)
                pools_.try_emplace(id, id, context_);
            for (auto const& model : pool.models)
                pool_of_[model] = id;
        }
        for (auto entry = pools_.begin(); entry != pools_.end();)
        {
            bool const kept = config.pools.contains(entry->first);
            if (!kept)
                entry->second.release(now, out);
            entry = kept ? std::next(entry) : pools_.erase(entry);
        }
        for (auto& [id, owner] : pools_)
            owner.note_runners_changed();
    }

    instance_identity identity_;
    config_log const& config_;
    serving_authority const& authority_;
    policy limits_;
    runner_directory runners_;
    pool_context context_;
    std::map<pool_id, pool_owner> pools_;
    std::map<model_id, pool_id> pool_of_;
    config_version config_version_ = 0;
    replica_view view_;
    demand_sender sender_;
};

} // namespace

std::unique_ptr<placement_manager>
placement_manager::create(instance_identity identity, config_log const& config,
                          serving_authority const& authority, policy limits)
{
    return std::make_unique<manager>(std::move(identity), config, authority, limits);
}

} // namespace carawayturn
