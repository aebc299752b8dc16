#include "coordination/placement_world.hpp"

namespace carawayturn
{
namespace
{

using placement::reservation_phase;

class placement_manager_test : public placement_world
{
protected:
    placement_manager_test()
    {
        add_model("m", 40);
        add_model("n", 40);
    }
};

// Decisions.

TEST_F(placement_manager_test, order_while_table_is_down_is_not_sent)
{
    add_engine("r1");
    auto& a = add_instance("a");
    run(1s);
    table_.mode = fake_table::fault::down;
    wait_for(a, "m");
    run(2s);
    EXPECT_EQ(orders(order_action::load), 0U);
    table_.mode = fake_table::fault::none;
    run(3s);
    EXPECT_EQ(orders(order_action::load), 1U);
}

TEST_F(placement_manager_test, decision_after_change_of_owner_fails_and_sends_no_order)
{
    add_engine("r1");
    add_instance("a");
    add_instance("b");
    run(1s);
    auto& former = owner();
    // The others hold the owner for stopped, but it runs on with a lease that seems
    // valid.
    stop(former);
    run(3s);
    ASSERT_NE(owner().identity.id, former.identity.id);
    former.paused = false;
    peers_cut_ = true;
    wait_for(former, "m");
    // Its member entry is gone, so demand is handed to its own pool directly.
    feed(former, peer_received{former.identity.id,
                               demand_report{pool_id("chat"),
                                             9,
                                             1,
                                             {{model_id("m"), {}, 1, 0us, 9s, 1, {}}}}});
    run(1s);
    EXPECT_EQ(orders(order_action::load), 0U);
    EXPECT_FALSE(table_.runner("r1") && !table_.runner("r1")->reservations.empty());
    EXPECT_FALSE(former.manager->may_send(now_, {}));
}

TEST_F(placement_manager_test, first_demand_at_many_instances_makes_one_decision)
{
    limits_.waiting_per_replica = 8;
    config_.config.models.at(model_id("m")).max_replicas = 3;
    add_engine("r1");
    add_engine("r2");
    for (auto const* const id : {"a", "b", "c", "d", "e"})
        add_instance(id);
    run(1s);
    for (auto& [id, one] : instances_)
        wait_for(one, "m");
    run(2s);
    EXPECT_EQ(orders(order_action::load), 1U);
    for (auto& [id, one] : instances_)
        EXPECT_EQ(replicas(one, "m").size(), 1U);
}

// Claims.

TEST_F(placement_manager_test, claim_by_one_instance_only_and_not_while_owner_may_live)
{
    add_engine("r1");
    add_instance("a");
    add_instance("b");
    add_instance("c");
    run(2s);
    auto& former = owner();
    EXPECT_EQ(table_.commits, 1) << "only the rendezvous winner tries";
    // Silent, but not proven stopped.
    former.paused = true;
    std::erase_if(members_,
                  [&](auto const& entry) { return entry.id == former.identity.id; });
    run(5s);
    EXPECT_EQ(table_.pool().owner, former.identity.id);
    stop(former);
    run(3s);
    EXPECT_NE(table_.pool().owner, former.identity.id);
    EXPECT_EQ(table_.pool().fence, 2U);
}

TEST_F(placement_manager_test, claim_with_lost_answer_is_read_back)
{
    add_engine("r1");
    auto& a = add_instance("a");
    table_.mode = fake_table::fault::answer_lost;
    run(50ms);
    table_.mode = fake_table::fault::none;
    run(2s);
    EXPECT_EQ(table_.pool().fence, 1U);
    EXPECT_TRUE(load(a, "m"));
}

TEST_F(placement_manager_test, release_lets_another_instance_claim_at_once)
{
    add_engine("r1");
    add_instance("a");
    add_instance("b");
    run(1s);
    auto& former = owner();
    actions out;
    former.manager->release_all(now_, out);
    perform(former, out);
    for (auto& entry : members_)
    {
        if (entry.id == former.identity.id)
            entry.state = instance_state::draining;
    }
    run(2s);
    EXPECT_NE(table_.pool().owner, former.identity.id);
    EXPECT_FALSE(former.manager->may_send(now_, {}));
}

TEST_F(placement_manager_test, lease_lapsed_and_renewed_reads_pool_row_before_orders)
{
    auto& engine = add_engine("r1");
    add_instance("a");
    add_instance("b");
    run(1s);
    // An order that the owner repeats without another commit.
    engine.mode = fake_engine::fault::delayed;
    auto& former = owner();
    wait_for(former, "m");
    run(1s);
    // While the lease is lapsed, another instance claims the pool unheard; then the slot
    // is renewed.
    former.authority.lease_end = now_;
    peers_cut_ = true;
    stopped_.insert({former.authority.held->slot, former.authority.held->fence});
    auto const members = members_;
    std::erase_if(members_,
                  [&](auto const& entry) { return entry.id == former.identity.id; });
    run(3s);
    ASSERT_NE(table_.pool().owner, former.identity.id);
    members_ = members;
    auto const before = engine.received.size();
    former.authority.lease_end = time_point::max();
    run(20s);
    ASSERT_GT(engine.received.size(), before);
    for (auto index = before; index < engine.received.size(); ++index)
        EXPECT_EQ(engine.received.at(index).fence, table_.pool().fence);
}

// Orders.

TEST_F(placement_manager_test, may_send_needs_lease_time_and_needed_decision)
{
    auto& engine = add_engine("r1");
    auto& a = add_instance("a");
    run(1s);
    engine.mode = fake_engine::fault::answer_lost;
    wait_for(a, "m");
    run(200ms);
    ASSERT_EQ(engine.received.size(), 1U);
    auto const order = engine.received.front();
    EXPECT_TRUE(a.manager->may_send(now_, order));
    a.authority.lease_end = now_ + 500ms;
    EXPECT_FALSE(a.manager->may_send(now_, order));
    a.authority.lease_end = now_ + 501ms;
    EXPECT_TRUE(a.manager->may_send(now_, order));
    a.authority.lease_end = time_point::max();
    auto old_fence = order;
    old_fence.fence = 0;
    EXPECT_FALSE(a.manager->may_send(now_, old_fence));
    engine.mode = fake_engine::fault::none;
    run(2s);
    ASSERT_EQ(replicas(a, "m").size(), 1U);
    EXPECT_FALSE(a.manager->may_send(now_, order)) << "no longer in the needed phase";
}

TEST_F(placement_manager_test, load_without_answer_is_repeated_with_same_decision)
{
    auto& engine = add_engine("r1");
    auto& a = add_instance("a");
    run(1s);
    engine.mode = fake_engine::fault::delayed;
    wait_for(a, "m");
    run(10s);
    ASSERT_GE(engine.received.size(), 3U);
    EXPECT_LE(engine.received.size(), 7U) << "the delay has to grow";
    for (auto const& order : engine.received)
        EXPECT_EQ(order.decision, engine.received.front().decision);
    EXPECT_EQ(table_.runner("r1")->reservations.size(), 1U);
}

TEST_F(placement_manager_test, unload_without_answer_keeps_memory_reserved)
{
    auto& engine = add_engine("r1");
    engine.capacity = 50;
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    run(5s);
    engine.mode = fake_engine::fault::delayed;
    wait_for(a, "n");
    run(5s);
    ASSERT_GE(engine.count(order_action::unload), 2U);
    EXPECT_EQ(engine.count(order_action::load), 1U) << "n was loaded before the unload";
    EXPECT_EQ(table_.runner("r1")->reservations.size(), 1U);
    engine.mode = fake_engine::fault::none;
    engine.late.clear();
    run(10s);
    EXPECT_EQ(replicas(a, "n").size(), 1U);
    EXPECT_FALSE(engine.overcommitted);
}

TEST_F(placement_manager_test, load_refused_for_memory_stays_reserved_until_report)
{
    auto& engine = add_engine("r1");
    engine.refuses_memory = true;
    auto& a = add_instance("a");
    run(1s);
    report_lag_ = 2s;
    engine.hidden_bytes = 80;
    wait_for(a, "m");
    run(150ms);
    ASSERT_EQ(engine.count(order_action::load), 1U);
    next_poll_ = now_ + 1s;
    run(500ms);
    EXPECT_EQ(engine.count(order_action::load), 1U);
    EXPECT_EQ(table_.runner("r1")->reservations.size(), 1U);
    // The report shows the foreign memory: the load is given up by an unload that the
    // engine acknowledges.
    report_lag_ = 50ms;
    run(8s);
    EXPECT_GE(engine.count(order_action::unload), 1U);
    EXPECT_TRUE(table_.runner("r1")->reservations.empty());
    EXPECT_EQ(engine.count(order_action::load), 1U);
}

// Pins and fencing.

TEST_F(placement_manager_test, inherited_load_at_engine_without_fencing_is_pinned)
{
    auto& engine = add_engine("r1", 50);
    add_instance("a");
    add_instance("b");
    run(1s);
    // The former owner's only copy is still on its way when the owner changes.
    engine.mode = fake_engine::fault::delayed;
    auto& former = owner();
    wait_for(former, "m");
    run(200ms);
    ASSERT_EQ(engine.late.size(), 1U);
    engine.mode = fake_engine::fault::none;
    stop(former);
    run(5s);
    auto& next = owner();
    ASSERT_EQ(replicas(next, "m").size(), 1U);
    wait_for(next, "n", "", 1, "acme", 1h);
    run(20min);
    EXPECT_EQ(engine.count(order_action::unload), 0U);
    engine.arrive_late();
    EXPECT_FALSE(engine.overcommitted);
    engine.restart();
    run(5s);
    EXPECT_EQ(replicas(next, "n").size(), 1U) << "a new incarnation ends the pin";
}

TEST_F(placement_manager_test, inherited_replica_with_recorded_answer_is_pinned_by_policy)
{
    for (bool const trusted : {false, true})
    {
        SCOPED_TRACE(trusted);
        limits_.trust_recorded_answers = trusted;
        std::string const suffix = trusted ? "1" : "0";
        auto& engine = add_engine("r1", 50);
        add_instance("a" + suffix);
        add_instance("b" + suffix);
        run(3s);
        ASSERT_TRUE(load(owner(), "m"));
        stop(owner());
        run(70s);
        EXPECT_EQ(load(owner(), "n"), trusted);
        for (auto& [id, one] : instances_)
        {
            if (!one.paused)
                stop(one);
        }
        engine.restart();
    }
}

TEST_F(placement_manager_test, lost_unload_copy_does_not_hit_a_new_load_of_the_model)
{
    auto& engine = add_engine("r1", 50);
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    run(5s);
    engine.mode = fake_engine::fault::delayed;
    wait_for(a, "n");
    run(300ms);
    wait_for(a, "n", "", 0);
    engine.mode = fake_engine::fault::none;
    run(2s);
    ASSERT_EQ(engine.late.size(), 1U);
    ASSERT_TRUE(engine.loaded.empty());
    wait_for(a, "m");
    run(10s);
    engine.arrive_late();
    run(30s);
    EXPECT_EQ(engine.count(order_action::load), 2U);
    EXPECT_EQ(replicas(a, "m").size(), 1U);
    EXPECT_EQ(engine.loaded.size(), 1U);
}

TEST_F(placement_manager_test, new_owner_at_engine_with_fencing_sends_fence_first)
{
    auto& engine = add_engine("r1", 50);
    engine.checks_fence = true;
    add_instance("a");
    add_instance("b");
    run(1s);
    ASSERT_TRUE(load(owner(), "m"));
    auto& former = owner();
    auto late = engine.received.front();
    auto const before = engine.received.size();
    stop(former);
    run(5s);
    auto& next = owner();
    EXPECT_EQ(replicas(next, "m").size(), 1U);
    wait_for(next, "n", "", 1, "acme", 1h);
    run(70s);
    ASSERT_GT(engine.received.size(), before + 1);
    EXPECT_EQ(engine.received.at(before).action, order_action::set_role);
    EXPECT_EQ(engine.received.at(before).fence, 2U);
    EXPECT_EQ(replicas(next, "n").size(), 1U);
    // The former owner's copy arrives after the memory has a new use.
    EXPECT_EQ(engine.receive(late).outcome, order_result::stale_fence);
    EXPECT_FALSE(engine.overcommitted);
}

TEST_F(placement_manager_test, new_owner_without_fence_answer_decides_nothing_there)
{
    auto& engine = add_engine("r1");
    engine.checks_fence = true;
    add_instance("a");
    add_instance("b");
    run(1s);
    ASSERT_TRUE(load(owner(), "m"));
    stop(owner());
    engine.mode = fake_engine::fault::delayed;
    run(3s);
    wait_for(owner(), "n");
    run(3s);
    EXPECT_EQ(engine.count(order_action::load), 1U);
    EXPECT_GE(engine.count(order_action::set_role), 2U);
}

TEST_F(placement_manager_test,
       lost_load_copy_at_engine_with_fencing_raises_fence_to_unload)
{
    auto& engine = add_engine("r1", 50);
    engine.checks_fence = true;
    auto& a = add_instance("a");
    run(1s);
    engine.mode = fake_engine::fault::delayed;
    wait_for(a, "m");
    run(200ms);
    engine.mode = fake_engine::fault::none;
    run(2s);
    wait_for(a, "m", "", 0);
    ASSERT_EQ(replicas(a, "m").size(), 1U);
    run(5s);
    ASSERT_TRUE(load(a, "n"));
    EXPECT_EQ(table_.pool().fence, 2U);
    engine.arrive_late();
    EXPECT_FALSE(engine.overcommitted) << "the late copy has to be refused";
}

TEST_F(placement_manager_test, lost_load_copy_at_engine_without_fencing_is_not_unloaded)
{
    auto& engine = add_engine("r1", 50);
    auto& a = add_instance("a");
    run(1s);
    engine.mode = fake_engine::fault::delayed;
    wait_for(a, "m");
    run(200ms);
    engine.mode = fake_engine::fault::none;
    run(2s);
    wait_for(a, "m", "", 0);
    run(5s);
    EXPECT_FALSE(load(a, "n"));
    engine.arrive_late();
    EXPECT_FALSE(engine.overcommitted);
}

// Limits.

TEST_F(placement_manager_test, load_slots_count_unknown_and_inherited_decisions)
{
    pool().load_slots = 2;
    for (int index = 0; index < 4; ++index)
    {
        add_model("x" + std::to_string(index), 10);
        add_engine("r" + std::to_string(index)).mode = fake_engine::fault::delayed;
    }
    add_instance("a");
    add_instance("b");
    run(1s);
    for (int index = 0; index < 4; ++index)
        wait_for(owner(), "x" + std::to_string(index));
    run(3s);
    auto const decided = [this]
    {
        std::set<decision_id> decisions;
        for (auto const& [id, engine] : engines_)
        {
            for (auto const& order : engine.received)
                decisions.insert(order.decision);
        }
        return decisions.size();
    };
    EXPECT_EQ(decided(), 2U);
    stop(owner());
    run(3s);
    for (int index = 0; index < 4; ++index)
        wait_for(owner(), "x" + std::to_string(index));
    run(3s);
    EXPECT_EQ(decided(), 2U);
    for (auto& [id, engine] : engines_)
        engine.mode = fake_engine::fault::none;
    run(10s);
    EXPECT_EQ(decided(), 4U);
}

TEST_F(placement_manager_test, loads_per_second_limits_starts)
{
    pool().load_slots = 100;
    pool().loads_per_second = 4;
    for (int index = 0; index < 12; ++index)
        add_model("x" + std::to_string(index), 1);
    add_engine("r1").load_time = 5ms;
    auto& a = add_instance("a");
    run(2s);
    for (int index = 0; index < 12; ++index)
        wait_for(a, "x" + std::to_string(index));
    run(900ms);
    EXPECT_EQ(orders(order_action::load), 4U);
    run(1s);
    EXPECT_EQ(orders(order_action::load), 8U);
    run(2s);
    EXPECT_EQ(orders(order_action::load), 12U);
}

TEST_F(placement_manager_test, adapter_load_slots_limit_adapter_loads)
{
    pool().adapter_load_slots = 3;
    auto& engine = add_engine("r1");
    for (int index = 0; index < 8; ++index)
        add_adapter("l" + std::to_string(index), "m", 1);
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    engine.mode = fake_engine::fault::delayed;
    for (int index = 0; index < 8; ++index)
        wait_for(a, "m", "l" + std::to_string(index));
    run(3s);
    EXPECT_EQ(table_.runner("r1")->reservations.size(), 4U);
}

// Commits.

TEST_F(placement_manager_test, lost_commit_answer_is_read_back_and_order_sent_once)
{
    add_engine("r1");
    add_engine("r2");
    auto& a = add_instance("a");
    run(1s);
    table_.mode = fake_table::fault::answer_lost;
    wait_for(a, "m");
    auto const commits = table_.commits;
    run(20ms);
    table_.mode = fake_table::fault::none;
    run(50ms);
    EXPECT_EQ(table_.commits, commits) << "the commit was repeated without a read";
    EXPECT_EQ(orders(order_action::load), 1U);
    run(2s);
    EXPECT_EQ(orders(order_action::load), 1U);
    EXPECT_EQ(replicas(a, "m").size(), 1U);
}

TEST_F(placement_manager_test, commit_that_arrives_after_read_back_has_no_effect)
{
    add_engine("r1");
    add_engine("r2");
    auto& a = add_instance("a");
    run(1s);
    table_.mode = fake_table::fault::delayed;
    wait_for(a, "m");
    run(15ms);
    table_.mode = fake_table::fault::none;
    // The decision is made anew for the other runner.
    ASSERT_TRUE(table_.late.at(0).writes.at(0).key == "runners/r1");
    engines_.at("r1").hidden_bytes = 100;
    report_lag_ = 0ms;
    poll();
    run(2s);
    table_.arrive_late();
    run(2s);
    EXPECT_EQ(orders(order_action::load), 1U);
    std::size_t reservations = 0;
    for (auto const* const id : {"r1", "r2"})
        reservations += table_.runner(id) ? table_.runner(id)->reservations.size() : 0;
    EXPECT_EQ(reservations, 1U);
}

// Memory.

TEST_F(placement_manager_test, memory_unknown_to_the_row_is_charged)
{
    auto& engine = add_engine("r1");
    engine.hidden_bytes = 70;
    add_engine("r2").hidden_bytes = 0;
    auto& a = add_instance("a");
    run(1s);
    wait_for(a, "m");
    wait_for(a, "n");
    run(2s);
    EXPECT_EQ(engine.count(order_action::load), 0U);
    EXPECT_EQ(engines_.at("r2").loaded.size(), 2U);
    EXPECT_FALSE(engine.overcommitted);
}

TEST_F(placement_manager_test, loads_beyond_capacity_wait)
{
    add_model("p", 40);
    auto& engine = add_engine("r1");
    auto& a = add_instance("a");
    run(1s);
    for (auto const* const id : {"m", "n", "p"})
        wait_for(a, id);
    run(3s);
    EXPECT_EQ(engine.loaded.size(), 2U);
    EXPECT_FALSE(engine.overcommitted);
}

TEST_F(placement_manager_test, unknown_loaded_model_is_adopted_after_report_lag)
{
    auto& engine = add_engine("r1");
    engine.loaded.insert({model_id("m"), {}, "1", 40});
    auto& a = add_instance("a");
    run(8s);
    EXPECT_EQ(replicas(a, "m").size(), 1U);
    EXPECT_EQ(orders(order_action::load), 0U);
}

// Runners.

TEST_F(placement_manager_test, crashed_runner_is_withdrawn_and_model_loaded_elsewhere)
{
    add_engine("r1");
    add_engine("r2");
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    auto const first = replicas(a, "m").front().backend;
    engines_.at(first.str()).mode = fake_engine::fault::down;
    feed(a, backend_unreachable{first});
    EXPECT_TRUE(replicas(a, "m").empty());
    wait_for(a, "m");
    run(2s);
    ASSERT_EQ(replicas(a, "m").size(), 1U);
    EXPECT_NE(replicas(a, "m").front().backend, first);
}

TEST_F(placement_manager_test, leaving_runner_is_withdrawn_and_gets_no_loads)
{
    auto& engine = add_engine("r1");
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    engine.leaving = true;
    poll();
    EXPECT_TRUE(replicas(a, "m").empty());
    // A stale list shows it live again.
    engine.leaving = false;
    wait_for(a, "n");
    run(2s);
    EXPECT_TRUE(replicas(a, "m").empty());
    EXPECT_EQ(engine.count(order_action::load), 1U);
}

TEST_F(placement_manager_test, new_incarnation_frees_reservations)
{
    auto& engine = add_engine("r1", 50);
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    engine.restart();
    run(1s);
    EXPECT_TRUE(replicas(a, "m").empty());
    ASSERT_TRUE(load(a, "n"));
    EXPECT_EQ(table_.runner("r1")->incarnation, 2U);
    EXPECT_EQ(table_.runner("r1")->reservations.size(), 1U);
}

TEST_F(placement_manager_test, load_in_flight_at_restart_stays_reserved)
{
    auto& engine = add_engine("r1", 50);
    auto& a = add_instance("a");
    run(1s);
    // The order reaches the new process, and its answer is slow: reports of the new
    // incarnation come first and do not show the load yet.
    engine.load_time = 3s;
    engine.restart();
    auto const report = engine.report();
    wait_for(a, "m");
    run(100ms);
    ASSERT_EQ(engine.loaded.size(), 1U);
    feed(a, report_received{report});
    wait_for(a, "n");
    run(10s);
    EXPECT_FALSE(engine.overcommitted);
}

TEST_F(placement_manager_test, load_answered_by_new_incarnation_stays_reserved)
{
    auto& engine = add_engine("r1", 50);
    auto& a = add_instance("a");
    run(1s);
    engine.restart();
    auto const report = engine.report();
    next_poll_ = now_ + 1s;
    wait_for(a, "m");
    run(200ms);
    ASSERT_EQ(replicas(a, "m").size(), 1U);
    feed(a, report_received{report});
    wait_for(a, "n");
    run(5s);
    EXPECT_FALSE(engine.overcommitted);
}

TEST_F(placement_manager_test, runner_gone_from_list_and_unreachable_loses_its_row)
{
    auto& engine = add_engine("r1");
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    engine.mode = fake_engine::fault::down;
    run(2s);
    EXPECT_TRUE(table_.runner("r1").has_value()) << "still listed";
    engine.listed = false;
    run(2s);
    EXPECT_FALSE(table_.runner("r1").has_value());
}

TEST_F(placement_manager_test, replica_missing_in_reports_is_withdrawn_and_ordered_again)
{
    auto& engine = add_engine("r1");
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    engine.loaded.clear();
    run(7s);
    EXPECT_EQ(engine.count(order_action::load), 2U);
    EXPECT_EQ(engine.received.front().decision, engine.received.back().decision);
    EXPECT_EQ(replicas(a, "m").size(), 1U);
}

// Adapters.

TEST_F(placement_manager_test, adapter_is_loaded_only_beside_its_model)
{
    add_engine("r1");
    add_engine("r2");
    add_adapter("notes", "m", 5);
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    // The other runner has more free memory.
    ASSERT_TRUE(load(a, "m", "notes"));
    EXPECT_EQ(replicas(a, "m", "notes").front().backend,
              replicas(a, "m").front().backend);
    EXPECT_EQ(orders(order_action::load_adapter), 1U);
}

TEST_F(placement_manager_test, adapter_is_loaded_after_its_model_and_unloaded_before_it)
{
    auto& engine = add_engine("r1", 50);
    add_adapter("notes", "m", 5);
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m", "notes"));
    ASSERT_EQ(engine.received.size(), 2U);
    EXPECT_EQ(engine.received.front().action, order_action::load);
    run(5s);
    ASSERT_TRUE(load(a, "n"));
    EXPECT_EQ(engine.received.at(2).action, order_action::unload_adapter);
    EXPECT_EQ(engine.received.at(3).action, order_action::unload);
    EXPECT_FALSE(engine.adapter_without_model);
}

} // namespace
} // namespace carawayturn
