#pragma once

#include "coordination/placement/rows.hpp"
#include "coordination/placement_manager.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carawayturn
{

using namespace std::chrono_literals;

class fake_config final : public config_log
{
public:
    void handle(time_point, event const&, actions&) override {}
    [[nodiscard]] std::string dump(time_point) const override { return "{}"; }
    [[nodiscard]] fleet_config const& current() const override { return config; }
    fleet_config config;
};

/// Answers what the test has set.
class fake_authority final : public serving_authority
{
public:
    void handle(time_point, event const&, actions&) override {}
    [[nodiscard]] std::string dump(time_point) const override { return "{}"; }
    void set_config(config_view) override {}
    [[nodiscard]] bool may_serve(time_point now) const override
    {
        return lease_valid(now);
    }
    [[nodiscard]] bool lease_valid(time_point now) const override
    {
        return held && lease_end > now;
    }
    [[nodiscard]] duration lease_left(time_point now) const override
    {
        return lease_valid(now) ? lease_end - now : duration::zero();
    }
    [[nodiscard]] std::optional<held_slot> slot() const override { return held; }
    [[nodiscard]] bool owns_base_share(time_point) const override { return true; }
    [[nodiscard]] std::vector<member_entry> live_members(time_point) const override
    {
        return *members;
    }
    [[nodiscard]] bool proven_stopped(time_point, slot_number slot,
                                      fencing_number fence) const override
    {
        return stopped->contains({slot, fence});
    }
    [[nodiscard]] std::vector<instance_id> unconfirmed(time_point,
                                                       config_version) const override
    {
        return {};
    }
    [[nodiscard]] bool has_store_contact(time_point) const override { return true; }
    void set_state(time_point, instance_state, actions&) override {}

    std::optional<held_slot> held;
    time_point lease_end = time_point::max();
    std::vector<member_entry> const* members = nullptr;
    std::set<std::pair<slot_number, fencing_number>> const* stopped = nullptr;
};

/// The table service. `fault` applies to the next commits.
class fake_table
{
public:
    enum class fault
    {
        none,
        /// Refuses, not taken effect.
        down,
        /// Takes effect, and the answer is lost.
        answer_lost,
        /// Takes effect only with arrive_late(), and the answer is lost.
        delayed
    };

    table_outcome commit(table_commit const& request)
    {
        ++commits;
        if (mode == fault::down)
            return table_unavailable{"down"};
        if (mode == fault::delayed)
        {
            late.push_back(request);
            return outcome_unknown{"delayed"};
        }
        auto outcome = apply(request);
        return mode == fault::answer_lost ? outcome_unknown{"lost"} : outcome;
    }

    void arrive_late()
    {
        for (auto const& request : late)
            (void)apply(request);
        late.clear();
    }

    [[nodiscard]] table_outcome read(table_read const& request) const
    {
        if (mode == fault::down)
            return table_unavailable{"down"};
        rows_read answer;
        for (auto const& key : request.keys)
            answer.rows.push_back(row(key));
        for (auto const& [key, value] : rows)
        {
            if (!request.prefix.empty() && key.starts_with(request.prefix) &&
                key > request.after && value.value && answer.rows.size() < request.limit)
                answer.rows.push_back(value);
        }
        return answer;
    }

    [[nodiscard]] table_row row(std::string const& key) const
    {
        auto const found = rows.find(key);
        return found == rows.end() ? table_row{key, 0, {}, {}} : found->second;
    }

    [[nodiscard]] std::optional<placement::runner_row>
    runner(std::string const& runner) const
    {
        auto const found = row("runners/" + runner);
        if (!found.value)
            return std::nullopt;
        return std::get<placement::runner_row>(placement::parse_runner_row(*found.value));
    }

    [[nodiscard]] placement::pool_row pool() const
    {
        return std::get<placement::pool_row>(
            placement::parse_pool_row(row("pools/chat").value.value_or("")));
    }

    fault mode = fault::none;
    std::map<std::string, table_row> rows;
    std::vector<table_commit> late;
    int commits = 0;

private:
    table_outcome apply(table_commit const& request)
    {
        commit_conflict conflict;
        for (auto const& check : request.checks)
        {
            if (row(check.key).version != check.version)
                conflict.current.push_back({check.key, row(check.key).version});
        }
        if (!conflict.current.empty())
            return conflict;
        committed done;
        for (auto const& write : request.writes)
        {
            row_version const version = write.value ? ++last_version_ : 0;
            rows[write.key] = {write.key, version, request.operation, write.value};
            done.versions.push_back({write.key, version});
        }
        return done;
    }

    row_version last_version_ = 0;
};

/// A model engine that does not check its memory by itself, so that an overcommitment
/// shows, unless `refuses_memory` is set.
class fake_engine
{
public:
    enum class fault
    {
        none,
        down,
        /// Executes the order, and the answer is lost.
        answer_lost,
        /// Executes the order only with arrive_late(), and the answer is lost.
        delayed
    };

    order_answered receive(engine_order const& order)
    {
        received.push_back(order);
        if (mode == fault::down)
            return {order, order_result::not_delivered, 0};
        if (mode == fault::delayed)
        {
            late.push_back(order);
            return {order, order_result::unknown, 0};
        }
        auto const outcome = execute(order);
        if (mode == fault::answer_lost)
            return {order, order_result::unknown, 0};
        return {order, outcome, incarnation};
    }

    void arrive_late()
    {
        for (auto const& order : late)
            (void)execute(order);
        late.clear();
    }

    void restart()
    {
        ++incarnation;
        sequence = 0;
        loaded.clear();
        late.clear();
    }

    [[nodiscard]] byte_count used() const
    {
        byte_count total = hidden_bytes;
        for (auto const& item : loaded)
            total += item.bytes;
        return total;
    }

    [[nodiscard]] backend_report report()
    {
        backend_report value;
        value.backend = id;
        value.incarnation = incarnation;
        value.sequence = ++sequence;
        value.capacity_bytes = capacity;
        value.used_bytes = used();
        value.running = running;
        value.checks_fence = checks_fence;
        value.loaded.assign(loaded.begin(), loaded.end());
        value.cached_in_memory = cached_in_memory;
        return value;
    }

    [[nodiscard]] std::size_t count(order_action kind) const
    {
        return static_cast<std::size_t>(std::count_if(received.begin(), received.end(),
                                                      [&](auto const& order)
                                                      { return order.action == kind; }));
    }

    backend_id id;
    incarnation_number incarnation = 1;
    std::uint64_t sequence = 0;
    byte_count capacity = 100;
    byte_count hidden_bytes = 0;
    std::uint32_t running = 0;
    bool checks_fence = false;
    bool refuses_memory = false;
    bool listed = true;
    bool leaving = false;
    fault mode = fault::none;
    fencing_number fence = 0;
    duration load_time = 50ms;
    std::set<loaded_item> loaded;
    std::vector<model_id> cached_in_memory;
    std::vector<engine_order> received;
    std::vector<engine_order> late;
    bool overcommitted = false;
    bool adapter_without_model = false;

private:
    order_result execute(engine_order const& order)
    {
        if (checks_fence && order.fence < fence)
            return order_result::stale_fence;
        fence = std::max(fence, order.fence);
        if (order.action == order_action::set_role)
            return order_result::done;
        if (order.action == order_action::unload ||
            order.action == order_action::unload_adapter)
            return unload(order.item);
        return load(order.item);
    }

    order_result load(loaded_item const& item)
    {
        if (loaded.contains(item))
            return order_result::already;
        if (refuses_memory && used() + item.bytes > capacity)
            return order_result::no_memory;
        if (!item.adapter.empty() && !holds_model(item))
            return order_result::not_loaded;
        loaded.insert(item);
        overcommitted = overcommitted || used() > capacity;
        return order_result::done;
    }

    order_result unload(loaded_item const& item)
    {
        if (loaded.erase(item) == 0)
            return order_result::not_loaded;
        for (auto const& other : loaded)
            adapter_without_model =
                adapter_without_model || (!other.adapter.empty() && !holds_model(other));
        return order_result::done;
    }

    [[nodiscard]] bool holds_model(loaded_item const& item) const
    {
        return std::any_of(loaded.begin(), loaded.end(),
                           [&](auto const& other) {
                               return other.adapter.empty() && other.model == item.model;
                           });
    }
};

/// Instances, the table and runners on one simulated clock.
class placement_world : public testing::Test
{
protected:
    struct instance
    {
        instance_identity identity;
        fake_authority authority;
        std::unique_ptr<placement_manager> manager;
        bool paused = false;
        std::map<std::string, std::uint64_t> arrivals;
        std::vector<log_record> logs;
    };

    placement_world()
    {
        config_.config.version = 1;
        pool().id = pool_id("chat");
        pool().loads_per_second = 100;
        limits_.prewarm = false;
    }

    pool_config& pool() { return config_.config.pools[pool_id("chat")]; }

    void add_model(std::string const& id, byte_count bytes, std::uint32_t replicas = 1)
    {
        config_.config.models[model_id(id)] = {model_id(id), "1", bytes, replicas};
        pool().models.emplace_back(id);
    }

    void add_adapter(std::string const& id, std::string const& model, byte_count bytes)
    {
        config_.config.adapters[adapter_id(id)] = {adapter_id(id), model_id(model),
                                                   bytes};
    }

    fake_engine& add_engine(std::string const& id, byte_count capacity = 100)
    {
        auto& engine = engines_[id];
        engine.id = backend_id(id);
        engine.capacity = capacity;
        return engine;
    }

    instance& add_instance(std::string const& id)
    {
        auto const slot = static_cast<slot_number>(instances_.size());
        auto& added = instances_[id];
        added.identity.id = instance_id(id);
        added.identity.incarnation = 1;
        added.authority.held = held_slot{slot, 1, {"slots/" + std::to_string(slot), 1}};
        added.authority.members = &members_;
        added.authority.stopped = &stopped_;
        added.manager =
            placement_manager::create(added.identity, config_, added.authority, limits_);
        member_entry entry;
        entry.id = added.identity.id;
        entry.slot = slot;
        entry.has_slot = true;
        entry.state = instance_state::ready;
        members_.push_back(entry);
        return added;
    }

    void at(duration delay, std::function<void()> call)
    {
        queue_.emplace(now_ + delay, std::move(call));
    }

    /// Runs ticks, polls and whatever they cause.
    void run(duration time)
    {
        time_point const end = now_ + time;
        while (now_ < end)
        {
            if (now_ >= next_poll_)
                poll();
            for (auto& [id, one] : instances_)
                feed(one, tick{});
            now_ += tick_interval;
            while (!queue_.empty() && queue_.begin()->first <= now_)
            {
                auto const call = std::move(queue_.begin()->second);
                queue_.erase(queue_.begin());
                call();
            }
        }
    }

    void feed(instance& to, event const& input)
    {
        if (to.paused)
            return;
        actions out;
        to.manager->handle(now_, input, out);
        perform(to, out);
    }

    void feed_all(event const& input)
    {
        for (auto& [id, one] : instances_)
            feed(one, input);
    }

    void wait_for(instance& at_instance, std::string const& model,
                  std::string const& adapter = "", std::uint32_t waiting = 1,
                  std::string const& organisation = "acme",
                  duration deadline = std::chrono::seconds(30))
    {
        auto& arrivals = at_instance.arrivals[model + "/" + adapter];
        arrivals += waiting;
        local_demand demand{
            model_id(model), adapter_id(adapter),          waiting, now_, now_ + deadline,
            arrivals,        organisation_id(organisation)};
        actions out;
        at_instance.manager->set_demand(now_, demand, out);
        perform(at_instance, out);
    }

    /// Waits for a model until it is loaded, as a caller would, and then stops waiting.
    bool load(instance& one, std::string const& model, std::string const& adapter = "",
              duration limit = std::chrono::seconds(20))
    {
        wait_for(one, model, adapter);
        time_point const end = now_ + limit;
        while (now_ < end && replicas(one, model, adapter).empty())
            run(tick_interval);
        wait_for(one, model, adapter, 0);
        return !replicas(one, model, adapter).empty();
    }

    static std::vector<replica> replicas(instance const& one, std::string const& model,
                                         std::string const& adapter = "")
    {
        return one.manager->replicas(model_id(model), adapter_id(adapter));
    }

    /// Stops an instance; the others then hold it for proven stopped.
    void stop(instance& one)
    {
        one.paused = true;
        stopped_.insert({one.authority.held->slot, one.authority.held->fence});
        std::erase_if(members_,
                      [&](auto const& entry) { return entry.id == one.identity.id; });
    }

    instance& owner() { return instances_.at(table_.pool().owner.str()); }

    std::size_t orders(order_action kind) const
    {
        std::size_t total = 0;
        for (auto const& [id, engine] : engines_)
            total += engine.count(kind);
        return total;
    }

    void perform(instance& from, actions const& out)
    {
        for (auto const& one : out)
        {
            if (auto const* const commit = std::get_if<store_commit>(&one))
                answer(from, table_answered{commit->commit.operation,
                                            table_.commit(commit->commit)});
            else if (auto const* const read = std::get_if<store_read>(&one))
                answer(from,
                       table_answered{read->read.operation, table_.read(read->read)});
            else if (auto const* const order = std::get_if<send_order>(&one))
                deliver(from, order->order);
            else if (auto const* const peer = std::get_if<send_peer>(&one))
                forward(from, *peer);
            else if (auto const* const record = std::get_if<log_record>(&one))
                from.logs.push_back(*record);
        }
    }

    void answer(instance& to, event input)
    {
        at(table_delay_, [this, &to, input] { feed(to, input); });
    }

    void forward(instance const& from, send_peer const& sent)
    {
        auto const found = instances_.find(sent.to.str());
        if (found == instances_.end() || peers_cut_)
            return;
        at(0ms,
           [this, &from, to = &found->second, message = sent.message] {
               feed(*to, peer_received{from.identity.id, message});
           });
    }

    /// Sends an order as the transport does, and checks that its decision is durable.
    void deliver(instance& from, engine_order const& order)
    {
        if (from.paused || !from.manager->may_send(now_, order))
            return answer_order(from, {order, order_result::not_delivered, 0}, 0ms);
        auto& engine = engines_.at(order.backend.str());
        if (order.action != order_action::set_role)
            expect_durable(order);
        answer_order(from, engine.receive(order), engine.load_time);
    }

    void answer_order(instance& to, order_answered const& value, duration delay)
    {
        at(delay, [this, &to, value] { feed(to, value); });
    }

    void expect_durable(engine_order const& order) const
    {
        auto const row = table_.runner(order.backend.str());
        ASSERT_TRUE(row.has_value()) << "order without a row";
        byte_count reserved = 0;
        bool found = false;
        for (auto const& entry : row->reservations)
        {
            reserved += entry.item.bytes;
            found =
                found || entry.load == order.decision || entry.unload == order.decision;
        }
        EXPECT_TRUE(found) << "order without a durable decision: "
                           << order.decision.str();
        EXPECT_LE(reserved, row->capacity);
    }

    void poll()
    {
        next_poll_ = now_ + 200ms;
        instances_listed list;
        for (auto& [id, engine] : engines_)
        {
            if (engine.listed)
                list.instances.push_back({id,
                                          "runner",
                                          "chat",
                                          {},
                                          0,
                                          {},
                                          engine.leaving,
                                          engine.incarnation});
        }
        feed_all(list);
        for (auto& [id, engine] : engines_)
        {
            if (engine.mode == fake_engine::fault::down)
                feed_all(backend_unreachable{engine.id});
            else
                at(report_lag_, [this, report = engine.report()]
                   { feed_all(report_received{report}); });
        }
    }

    time_point now_{std::chrono::hours(1)};
    time_point next_poll_{};
    duration table_delay_ = 5ms;
    duration report_lag_ = 100ms;
    bool peers_cut_ = false;
    fake_config config_;
    fake_table table_;
    placement_manager::policy limits_;
    std::vector<member_entry> members_;
    std::set<std::pair<slot_number, fencing_number>> stopped_;
    std::map<std::string, fake_engine> engines_;
    std::map<std::string, instance> instances_;
    std::multimap<time_point, std::function<void()>> queue_;
};

} // namespace carawayturn
