#pragma once

#include "coordination/request_flow.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::testing
{

/// Collaborators of request_flow whose answers a test sets by hand.
template <class Base>
class silent_component : public Base
{
public:
    void handle(time_point, event const&, actions&) override {}
    [[nodiscard]] std::string dump(time_point) const override { return "{}"; }
};

class fake_config_log : public silent_component<config_log>
{
public:
    [[nodiscard]] fleet_config const& current() const override { return config; }
    fleet_config config;
};

class fake_authority : public silent_component<serving_authority>
{
public:
    void set_config(config_view) override {}
    [[nodiscard]] bool may_serve(time_point) const override { return serving; }
    [[nodiscard]] bool lease_valid(time_point) const override { return serving; }
    [[nodiscard]] duration lease_left(time_point) const override
    {
        return std::chrono::seconds(5);
    }
    [[nodiscard]] std::optional<held_slot> slot() const override { return held_slot{}; }
    [[nodiscard]] bool owns_base_share(time_point) const override { return serving; }
    [[nodiscard]] std::vector<member_entry> live_members(time_point) const override
    {
        return {};
    }
    [[nodiscard]] bool proven_stopped(time_point, slot_number,
                                      fencing_number) const override
    {
        return false;
    }
    [[nodiscard]] std::vector<instance_id> unconfirmed(time_point,
                                                       config_version) const override
    {
        return {};
    }
    [[nodiscard]] bool has_store_contact(time_point) const override
    {
        return store_contact;
    }
    void set_state(time_point, instance_state, actions&) override {}

    bool serving = true;
    bool store_contact = true;
};

class fake_backends : public silent_component<backend_directory>
{
public:
    [[nodiscard]] std::optional<backend_status> find(backend_id const& id) const override
    {
        auto const found = servers.find(id);
        return found == servers.end() ? std::nullopt : std::optional(found->second);
    }
    [[nodiscard]] std::vector<backend_status> usable(pool_id const& pool) const override
    {
        std::vector<backend_status> found;
        for (auto const& [id, status] : servers)
        {
            if (status.pool == pool && !status.leaving && status.reachable)
                found.push_back(status);
        }
        return found;
    }
    [[nodiscard]] std::vector<backend_status> all() const override { return {}; }
    [[nodiscard]] std::vector<std::pair<backend_id, incarnation_number>>
    leaving() const override
    {
        return {};
    }

    std::map<backend_id, backend_status> servers;
};

class fake_budgets : public silent_component<budget_manager>
{
public:
    reserve_answer reserve(time_point, request_id const& request, organisation_id const&,
                           token_count tokens, actions&) override
    {
        if (answer.outcome != reserve_outcome::refused)
            reserved[request] = tokens;
        return answer;
    }
    void settle(time_point, request_id const& request, token_count used) override
    {
        settled[request] = used;
    }
    void release_all(time_point, actions&) override {}

    reserve_answer answer{reserve_outcome::granted, {}};
    std::map<request_id, token_count> reserved;
    std::map<request_id, token_count> settled;
};

class fake_placement : public silent_component<placement_manager>
{
public:
    [[nodiscard]] std::vector<replica> replicas(model_id const&,
                                                adapter_id const&) const override
    {
        return loaded;
    }
    [[nodiscard]] std::optional<load_estimate> estimate(time_point, model_id const&,
                                                        adapter_id const&) const override
    {
        return expected;
    }
    void set_demand(time_point, local_demand const& demand, actions&) override
    {
        last = demand;
    }
    [[nodiscard]] bool may_send(time_point, engine_order const&) const override
    {
        return true;
    }
    void release_all(time_point, actions&) override {}

    std::vector<replica> loaded;
    std::optional<load_estimate> expected;
    local_demand last;
};

class fake_ledger : public silent_component<idempotency_ledger>
{
public:
    void begin(time_point, caller_request const& request, organisation_id const&,
               time_point, actions&) override
    {
        calls.push_back("begin " + request.id.str());
    }
    void finish(time_point, request_id const& request, stored_answer const&,
                actions&) override
    {
        calls.push_back("finish " + request.str());
    }
    void mark_not_run(time_point, request_id const& request, actions&) override
    {
        calls.push_back("not_run " + request.str());
    }
    void mark_unknown(time_point, request_id const& request, actions&) override
    {
        calls.push_back("unknown " + request.str());
    }
    void abandon(time_point, request_id const& request, actions&) override
    {
        calls.push_back("abandon " + request.str());
    }
    [[nodiscard]] std::size_t writes_in_progress() const override { return 0; }

    std::vector<std::string> calls;
};

class fake_poison : public silent_component<poison_ledger>
{
public:
    [[nodiscard]] suspicion classify(digest const&) const override
    {
        return crashes >= 2   ? suspicion::poisonous
               : crashes == 1 ? suspicion::suspect
                              : suspicion::none;
    }
    void note_crash(time_point, digest const&, bool, actions&) override { ++crashes; }
    void note_success(time_point, digest const&, actions&) override { crashes = 0; }
    std::vector<digest> next_for_gossip(std::size_t) override { return {}; }

    int crashes = 0;
};

} // namespace carawayturn::testing
