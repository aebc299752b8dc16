#include "coordination/placement_world.hpp"

#include "coordination/placement/demand_book.hpp"
#include "coordination/placement/load_pace.hpp"
#include "coordination/placement/strategy.hpp"
#include "coordination/placement/usage_history.hpp"

#include <set>

namespace carawayturn
{
namespace
{

class placement_policy_test : public placement_world
{
protected:
    /// A request that is served without a wait.
    void use(instance& one, std::string const& model)
    {
        ++one.arrivals[model + "/"];
        wait_for(one, model, "", 0);
    }

    std::vector<std::string> load_order() const
    {
        std::vector<std::string> models;
        for (auto const& order : engines_.at("r1").received)
        {
            if (order.action == order_action::load)
                models.push_back(order.item.model.str());
        }
        return models;
    }
};

TEST_F(placement_policy_test, loads_of_waiting_organisations_take_turns)
{
    pool().load_slots = 1;
    for (auto const* const id : {"x", "a1", "a2", "a3", "b1"})
        add_model(id, 1);
    add_engine("r1").load_time = 300ms;
    auto& a = add_instance("a");
    run(1s);
    wait_for(a, "x", "", 1, "other");
    run(50ms);
    for (auto const* const id : {"a1", "a2", "a3"})
        wait_for(a, id, "", 1, "acme");
    run(100ms);
    wait_for(a, "b1", "", 1, "beta");
    run(3s);
    EXPECT_EQ(load_order(), (std::vector<std::string>{"x", "a1", "b1", "a2", "a3"}));
}

TEST_F(placement_policy_test, load_nearer_to_its_deadline_goes_first)
{
    pool().load_slots = 1;
    for (auto const* const id : {"x", "slow", "soon"})
        add_model(id, 1);
    add_engine("r1").load_time = 300ms;
    auto& a = add_instance("a");
    run(1s);
    wait_for(a, "x");
    run(50ms);
    wait_for(a, "slow", "", 1, "acme", 1h);
    run(100ms);
    wait_for(a, "soon", "", 1, "acme", 2s);
    run(2s);
    EXPECT_EQ(load_order(), (std::vector<std::string>{"x", "soon", "slow"}));
}

TEST_F(placement_policy_test, runner_with_cached_checkpoint_is_preferred)
{
    add_model("m", 10);
    add_engine("r1", 1000);
    add_engine("r2", 100).cached_in_memory = {model_id("m")};
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    EXPECT_EQ(replicas(a, "m").front().backend, backend_id("r2"));
}

// Guards against loads that do not read from the weight store waiting behind those that
// do, and against the exemption letting other loads pass the limit.
TEST_F(placement_policy_test, load_of_cached_checkpoint_needs_no_weight_store_slot)
{
    pool().load_slots = 1;
    pool().loads_per_second = 1;
    for (auto const* const id : {"x", "y", "cached"})
        add_model(id, 1);
    add_engine("r1").load_time = 10s;
    auto& engine = add_engine("r2");
    engine.load_time = 10s;
    engine.cached_in_memory = {model_id("cached")};
    auto& a = add_instance("a");
    run(2s);
    for (auto const* const id : {"x", "y", "cached"})
        wait_for(a, id);
    run(500ms);
    std::set<std::string> ordered;
    for (auto const& [id, one] : engines_)
    {
        for (auto const& order : one.received)
            ordered.insert(order.item.model.str());
    }
    EXPECT_EQ(ordered, (std::set<std::string>{"cached", "x"}));
}

// A restarted process may have lost its cache, so the repeated load counts again.
TEST_F(placement_policy_test, load_of_cached_checkpoint_takes_a_slot_after_a_restart)
{
    pool().load_slots = 1;
    for (auto const* const id : {"y", "cached"})
        add_model(id, 1);
    auto& engine = add_engine("r1");
    engine.load_time = 10s;
    engine.cached_in_memory = {model_id("cached")};
    auto& a = add_instance("a");
    run(2s);
    wait_for(a, "cached");
    run(200ms);
    ASSERT_EQ(engine.count(order_action::load), 1U);
    engine.cached_in_memory.clear();
    ++engine.incarnation;
    run(2s);
    wait_for(a, "cached");
    wait_for(a, "y");
    run(500ms);
    for (auto const& order : engine.received)
        EXPECT_EQ(order.item.model, model_id("cached"));
}

TEST_F(placement_policy_test, replicas_are_added_by_waiting_up_to_the_limit)
{
    add_model("m", 40, 2);
    for (auto const* const id : {"r1", "r2", "r3"})
        add_engine(id);
    auto& a = add_instance("a");
    run(1s);
    wait_for(a, "m", "", 8);
    run(1s);
    EXPECT_EQ(replicas(a, "m").size(), 1U);
    wait_for(a, "m", "", 100);
    run(1s);
    EXPECT_EQ(replicas(a, "m").size(), 2U);
    wait_for(a, "m", "", 0);
    // It is still used, but nothing waits: one replica goes after the keep-alive time.
    for (int second = 0; second < 110; ++second)
    {
        use(a, "m");
        run(1s);
    }
    EXPECT_EQ(replicas(a, "m").size(), 2U);
    for (int second = 0; second < 20; ++second)
    {
        use(a, "m");
        run(1s);
    }
    EXPECT_EQ(replicas(a, "m").size(), 1U);
}

TEST_F(placement_policy_test, idle_model_is_unloaded_after_keep_alive)
{
    add_model("m", 40);
    auto& engine = add_engine("r1");
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    run(limits_.keep_alive_initial - 5s);
    EXPECT_EQ(replicas(a, "m").size(), 1U);
    run(10s);
    EXPECT_TRUE(replicas(a, "m").empty());
    EXPECT_EQ(engine.used(), 0);
}

TEST_F(placement_policy_test, model_on_busy_runner_is_not_evicted)
{
    add_model("m", 40);
    add_model("n", 40);
    auto& engine = add_engine("r1", 50);
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m"));
    engine.running = 1;
    EXPECT_FALSE(load(a, "n", "", 20s));
    engine.running = 0;
    EXPECT_TRUE(load(a, "n", "", 20s));
}

TEST_F(placement_policy_test, eviction_takes_the_least_likely_used_model)
{
    for (auto const* const id : {"often", "rare", "new"})
        add_model(id, 40);
    auto& engine = add_engine("r1", 90);
    auto& a = add_instance("a");
    run(1s);
    // "often" is used every 20 s, and "rare" every 100 s but just now.
    for (int use = 0; use < 20; ++use)
    {
        wait_for(a, "often");
        run(200ms);
        wait_for(a, "often", "", 0);
        if (use % 5 == 4)
        {
            wait_for(a, "rare");
            run(200ms);
            wait_for(a, "rare", "", 0);
        }
        run(20s);
    }
    ASSERT_EQ(engine.loaded.size(), 2U);
    ASSERT_TRUE(load(a, "new"));
    EXPECT_EQ(replicas(a, "often").size(), 1U);
    EXPECT_TRUE(replicas(a, "rare").empty());
}

TEST_F(placement_policy_test, least_recently_used_adapter_makes_room)
{
    add_model("m", 40);
    add_engine("r1", 60);
    for (auto const* const id : {"l1", "l2", "l3"})
        add_adapter(id, "m", 10);
    auto& a = add_instance("a");
    run(1s);
    ASSERT_TRUE(load(a, "m", "l1"));
    run(3s);
    ASSERT_TRUE(load(a, "m", "l2"));
    run(3s);
    ASSERT_TRUE(load(a, "m", "l1"));
    run(5s);
    ASSERT_TRUE(load(a, "m", "l3"));
    EXPECT_EQ(replicas(a, "m", "l1").size(), 1U);
    EXPECT_TRUE(replicas(a, "m", "l2").empty());
}

TEST_F(placement_policy_test, daily_wake_is_loaded_ahead)
{
    limits_.prewarm = true;
    add_model("m", 40);
    auto& engine = add_engine("r1");
    auto& a = add_instance("a");
    run(1s);
    for (int day = 0; day < 2; ++day)
    {
        time_point const start = now_;
        ASSERT_TRUE(load(a, "m"));
        run(5min);
        EXPECT_TRUE(replicas(a, "m").empty());
        // Ticks between the days change nothing; the clock jumps to save time.
        now_ = start + 24h - 5min;
        next_poll_ = now_;
        run(1s);
        if (day == 0)
        {
            run(4min + 58s);
            EXPECT_EQ(engine.count(order_action::load), 1U) << "one day is no pattern";
        }
    }
    run(2min);
    EXPECT_TRUE(replicas(a, "m").empty());
    run(90s);
    EXPECT_EQ(replicas(a, "m").size(), 1U);
}

TEST_F(placement_policy_test, queued_load_has_place_and_growing_wait)
{
    pool().load_slots = 1;
    add_engine("r1").load_time = 5s;
    for (auto const* const id : {"x", "y", "z"})
        add_model(id, 1);
    auto& a = add_instance("a");
    auto& b = add_instance("b");
    run(1s);
    for (auto const* const id : {"x", "y", "z"})
    {
        wait_for(b, id);
        run(100ms);
    }
    auto const estimate = [&](instance const& one, char const* model)
    { return one.manager->estimate(now_, model_id(model), {}); };
    for (auto const* const one : {&a, &b})
    {
        ASSERT_TRUE(estimate(*one, "x") && estimate(*one, "y") && estimate(*one, "z"));
        EXPECT_EQ(estimate(*one, "x")->place, 0U);
        EXPECT_EQ(estimate(*one, "y")->place, 1U);
        EXPECT_EQ(estimate(*one, "z")->place, 2U);
        EXPECT_LT(estimate(*one, "x")->wait, estimate(*one, "y")->wait);
        EXPECT_LT(estimate(*one, "y")->wait, estimate(*one, "z")->wait);
    }
    EXPECT_NE(a.manager->dump(now_).find("\"queue\""), std::string::npos);
}

TEST_F(placement_policy_test, older_placement_update_is_ignored)
{
    add_model("m", 40);
    auto& a = add_instance("a");
    auto const update =
        [](fencing_number fence, std::uint64_t version, char const* runner)
    {
        placement_update value;
        value.pool = pool_id("chat");
        value.fence = fence;
        value.version = version;
        value.replicas = {{backend_id(runner), {model_id("m"), {}, "1", 40}}};
        return peer_received{instance_id("b"), value};
    };
    feed(a, update(2, 5, "r1"));
    feed(a, update(2, 4, "r2"));
    feed(a, update(1, 9, "r3"));
    ASSERT_EQ(replicas(a, "m").size(), 1U);
    EXPECT_EQ(replicas(a, "m").front().backend, backend_id("r1"));
    feed(a, update(3, 1, "r4"));
    EXPECT_EQ(replicas(a, "m").front().backend, backend_id("r4"));
}

TEST(demand_book_test, old_report_and_silence_do_not_count)
{
    placement::demand_book book;
    time_point const now{std::chrono::hours(1)};
    placement::item_key const item{model_id("m"), {}};
    auto const report = [](std::uint64_t sequence, std::uint32_t waiting)
    {
        return demand_report{
            pool_id("chat"), 1, sequence, {{model_id("m"), {}, waiting, 1s, 5s, 1, {}}}};
    };
    EXPECT_TRUE(book.apply(now, instance_id("a"), report(2, 3)));
    EXPECT_FALSE(book.apply(now, instance_id("a"), report(1, 9)));
    EXPECT_FALSE(book.apply(now, instance_id("b"), report(1, 4)));
    EXPECT_EQ(book.demand(item).waiting, 7U);
    EXPECT_EQ(book.demand(item).oldest, now - 1s);
    book.apply(now + 2s, instance_id("b"), report(2, 4));
    book.expire(now + 3001ms);
    EXPECT_EQ(book.demand(item).waiting, 4U);
}

TEST(usage_history_test, keep_alive_follows_own_gaps_within_bounds)
{
    placement_manager::policy const limits;
    auto const keep_alive = [&](duration gap)
    {
        placement::usage_history usage;
        for (int use = 0; use < 10; ++use)
            usage.note_use(time_point{use * gap});
        return usage.keep_alive(limits);
    };
    EXPECT_EQ(keep_alive(2s), limits.keep_alive_initial) << "never idle so far";
    EXPECT_EQ(keep_alive(20s), limits.keep_alive_min);
    EXPECT_EQ(keep_alive(90s), duration(90s));
    EXPECT_EQ(keep_alive(2h), limits.keep_alive_max);
    EXPECT_EQ(placement::usage_history{}.keep_alive(limits), limits.keep_alive_initial);
}

TEST(load_times_test, expected_time_follows_a_slower_store)
{
    placement::load_times times{placement_manager::policy{}};
    loaded_item const item{model_id("m"), {}, "1", 100};
    auto const none = placement::cache_tier::none;
    EXPECT_EQ(times.expected(item, none), duration(10s));
    times.note(item, none, 2s);
    EXPECT_EQ(times.expected(item, none), duration(2s));
    for (int load = 0; load < 8; ++load)
        times.note(item, none, 20s);
    EXPECT_GT(times.expected(item, none), duration(18s));
    // A model never loaded before is estimated by its size, to a microsecond of rounding.
    auto const twice = times.expected({model_id("n"), {}, "1", 200}, none);
    EXPECT_LE(std::chrono::abs(twice - 2 * times.expected(item, none)), duration(1));
}

} // namespace
} // namespace carawayturn
