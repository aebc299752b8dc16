#include "support/budget_network.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace carawayturn
{
namespace
{

using namespace std::chrono_literals;
using testing_support::budget_network;
using testing_support::fake_config_log;
using testing_support::fake_serving_authority;

constexpr double rate = 1000;
constexpr token_count burst = 3000;
constexpr std::size_t instances = 15;
/// Whole tokens are charged, so the ideal level may be passed by less than one.
constexpr double tolerance = 1.0;

class budget_manager_test : public testing::Test
{
protected:
    budget_manager_test() : network(instances, rate, burst, 7) {}

    /// Sends requests that use `load` tokens a second from the given slots, and checks
    /// the window bound at each step.
    static void drive(budget_network& net, duration length, double load,
                      std::vector<std::size_t> const& slots, double used_part = 1.0,
                      duration runs = 50ms)
    {
        constexpr double mean = 50;
        auto const each = [&]
        {
            ASSERT_GE(net.ideal().lowest(), -tolerance);
            std::size_t const at = net.holder(slots[net.random()() % slots.size()]);
            auto const tokens = static_cast<token_count>(1 + 2 * mean * net.uniform());
            if (net.uniform() < load / mean / used_part / 1000 && net.running(at))
            {
                auto const used = std::floor(used_part * static_cast<double>(tokens));
                net.submit(at, tokens, static_cast<token_count>(used), runs);
            }
        };
        net.run(length, each);
    }

    /// Slots other than the present owner's.
    [[nodiscard]] std::vector<std::size_t> others(std::size_t count) const
    {
        std::vector<std::size_t> slots;
        for (std::size_t slot = 0; slots.size() < count; ++slot)
        {
            if (network.holder(slot) != network.owner())
            {
                slots.push_back(slot);
            }
        }
        return slots;
    }

    /// Seeded random faults of every kind at a load above the rate.
    static void run_faults(std::uint64_t seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        budget_network net(instances, rate, burst, seed);
        net.net = {0.1, 0.1, 500us, 4ms, 0.02};
        for (int round = 0; round < 6; ++round)
        {
            drive(net, 5s, 1.5 * rate, {3, 4, 5, 6, 7}, 0.6, 400ms);
            net.kill(net.owner());
            net.pause(net.random()() % net.node_count(), 1500ms);
            net.pause(net.random()() % net.node_count(), 8s);
        }
        EXPECT_GT(net.sum.tokens, 0.4 * rate * 30);
    }

    /// Takes every token that can be spent anywhere, in small requests.
    static void drain(budget_network& net)
    {
        for (std::size_t slot = 0; slot < instances; ++slot)
        {
            int const before = net.sum.granted;
            int sent = 0;
            while (net.running(net.holder(slot)) && net.sum.granted - before == sent &&
                   sent < 1000)
            {
                net.submit(net.holder(slot), 5);
                ++sent;
            }
        }
        ASSERT_GE(net.ideal().lowest(), -tolerance);
    }

    /// Leaves most of the burst in unspent grants at a slot's holder.
    void hold_burst_at(std::size_t slot)
    {
        network.run(50ms);
        network.submit(network.holder(slot), burst - 200, 0, 1ms);
        network.run(50ms);
        ASSERT_GE(network.sum.granted, 1);
    }

    budget_network network;
};

TEST_F(budget_manager_test, draining_all_instances_amid_faults_keeps_window_bound)
{
    network.net = {0.15, 0.1, 500us, 4ms, 0.03};
    for (int round = 0; round < 25; ++round)
    {
        drive(network, 3s, 0.2 * rate, {3, 4, 5, 6, 7}, 0.3, 200ms);
        network.pause(network.random()() % network.node_count(),
                      std::chrono::milliseconds(network.random()() % 9000));
        if (round % 4 == 0)
        {
            network.kill(network.owner());
        }
        for (int part = 0; part < 4; ++part)
        {
            network.run(std::chrono::milliseconds(network.random()() % 800));
            drain(network);
        }
    }
}

TEST_F(budget_manager_test, grants_expire_when_all_messages_are_lost)
{
    // An instance holds most of the burst in grants while all base shares fill up again.
    hold_burst_at(3);
    network.cut = [](auto, auto, auto const&) { return true; };
    network.run(6s);
    drain(network);
}

TEST_F(budget_manager_test, grants_expire_before_stale_lendings_that_fund_them)
{
    network.run(50ms);
    network.submit(3, 500);
    network.run(1s);
    network.cut = [](auto, auto, peer_message const& message)
    { return std::holds_alternative<lend_query>(message); };
    network.run(1500ms);
    hold_burst_at(3);
    network.run(1700ms);
    drain(network);
}

TEST_F(budget_manager_test, tokens_of_expired_grants_do_not_come_back)
{
    hold_burst_at(3);
    network.cut = [](std::size_t from, std::size_t to, auto const&)
    { return from == 3 || to == 3; };
    network.run(2500ms);
    network.submit(5, 300);
    network.run(3500ms);
    network.submit(5, burst - 400);
    drain(network);
    network.run(100ms);
    drain(network);
    network.cut = [](auto, auto, auto const&) { return false; };
    for (int part = 0; part < 20; ++part)
    {
        network.run(50ms);
        drain(network);
    }
}

TEST_F(budget_manager_test, lost_release_of_lendings_keeps_window_bound)
{
    for (bool const lost : {false, true})
    {
        hold_burst_at(3);
        network.cut = [lost](auto, auto, auto const&) { return lost; };
        network.release(network.owner());
        for (int part = 0; part < 30; ++part)
        {
            network.run(100ms);
            drain(network);
        }
        network.cut = [](auto, auto, auto const&) { return false; };
        network.run(12s);
    }
}

TEST_F(budget_manager_test, late_end_of_lending_to_former_owner_is_ignored)
{
    fake_config_log config;
    fake_serving_authority authority;
    organisation_id const acme("acme");
    config.config.organisations[acme] = {acme, rate, burst, {}, {}, {}};
    member_entry self;
    self.id = instance_id("self");
    self.incarnation = 1;
    self.has_slot = true;
    self.state = instance_state::ready;
    authority.members = {self};
    authority.held = held_slot{0, 1, {"slots/0", 1}};
    instance_identity identity;
    identity.id = self.id;
    identity.incarnation = 1;
    auto const manager = budget_manager::create(identity, config, authority);
    instance_id const other("other");
    time_point const now{100s};
    actions out;
    manager->handle(now, peer_received{other, lend_query{1, 1, {acme}}}, out);
    // The lending lapses, and this instance owns the budget and borrows its own share.
    manager->handle(now + 3s, tick{}, out);
    manager->reserve(now + 3s, request_id("r"), acme, burst / 2, out);
    manager->handle(now + 3s, tick{}, out);
    budget_grant grant{0, 1, acme, 1, 1, 1, 500, 1s, duration(0), true};
    manager->handle(now + 3s, peer_received{other, grant}, out);
    EXPECT_NE(manager->dump(now + 3s).find("\"lent_to\":\"self\""), std::string::npos);
}

TEST_F(budget_manager_test, new_slot_holder_does_not_use_share_still_lent)
{
    network.run(50ms);
    network.submit(3, 500);
    network.run(4s);
    // Holders lose their slots while they go on lending for as long as they may; the
    // owner does not see the new holders yet.
    std::size_t const owner = network.owner();
    network.unrenewed = [owner](std::size_t slot) { return slot != owner; };
    network.hidden = [owner](std::size_t viewer, std::size_t member)
    { return viewer == owner && member >= instances; };
    for (int part = 0; part < 70; ++part)
    {
        network.submit(owner, 1);
        network.run(100ms);
    }
    ASSERT_GE(network.holder((owner + 1) % instances), instances);
    ASSERT_NE(network.dump(owner).find("\"pool_lendings\":15"), std::string::npos);
    drain(network);
    // Once the new holders may use their shares, these have not been filled anew.
    network.run(2s);
    drain(network);
}

TEST_F(budget_manager_test, handed_over_tokens_are_not_credited_after_lapse)
{
    // Only the first reply of each member arrives; what the later ones hand over is lost.
    std::set<std::size_t> replied;
    network.cut = [&replied](std::size_t from, auto, peer_message const& message) {
        return std::holds_alternative<lend_reply>(message) &&
               !replied.insert(from).second;
    };
    network.run(50ms);
    network.submit(3, 500);
    network.run(1s);
    network.cut = [](auto, auto, peer_message const& message)
    { return std::holds_alternative<lend_query>(message); };
    network.run(7s);
    network.cut = [](auto, auto, auto const&) { return false; };
    network.net.delay_min = network.net.delay_max = 20ms;
    network.submit(3, 500);
    // By now all members have begun to lend again, and their first replies are under way.
    network.run(50ms);
    for (int part = 0; part < 200; ++part)
    {
        network.run(1ms);
        drain(network);
    }
}

TEST_F(budget_manager_test, loss_doubling_kills_and_pauses_keep_window_bound)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        run_faults(seed);
    }
}

TEST_F(budget_manager_test, load_from_two_instances_gets_nearly_whole_rate)
{
    drive(network, 10s, 0.95 * rate, {3, 4});
    EXPECT_EQ(network.sum.refused, 0);
    network.sum = {};
    drive(network, 20s, 3 * rate, {3, 4});
    EXPECT_GT(network.sum.tokens, 0.95 * rate * 20);
}

/// Guards against grants stranded in parts, each too small for the request it waits with.
TEST_F(budget_manager_test, large_requests_at_all_instances_get_nearly_whole_rate)
{
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        budget_network net(instances, rate, burst, seed);
        auto const each = [&]
        {
            if (net.uniform() < 5 * rate / 450 / 1000)
            {
                net.submit(net.random()() % instances,
                           static_cast<token_count>(300 + net.random()() % 300));
            }
        };
        net.run(20s, each);
        EXPECT_GE(net.ideal().lowest(), -tolerance);
        sum += net.sum.tokens;
    }
    EXPECT_GT(sum / 8, 0.96 * (rate * 20 + static_cast<double>(burst)));
}

TEST_F(budget_manager_test, message_loss_refuses_nothing_within_rate)
{
    network.net.loss = 0.05;
    network.net.doubling = 0.05;
    drive(network, 30s, 0.85 * rate, {3, 4, 5});
    EXPECT_EQ(network.sum.refused, 0) << "of " << network.sum.asked;
}

TEST_F(budget_manager_test, owner_death_refuses_nothing_within_rate)
{
    network.submit(3, 300);
    network.run(100ms);
    auto const slots = others(2);
    drive(network, 5s, 0.7 * rate, slots);
    network.kill(network.owner());
    drive(network, 15s, 0.7 * rate, slots);
    EXPECT_EQ(network.sum.refused, 0) << "of " << network.sum.asked;
}

TEST_F(budget_manager_test, two_owners_at_once_keep_window_bound_and_serve)
{
    network.submit(3, 300);
    network.run(100ms);
    std::size_t const first = network.owner();
    // The upper half of the fleet does not see the first owner and elects another one.
    network.hidden = [first](std::size_t viewer, std::size_t member)
    { return member == first && viewer >= instances / 2 && viewer != first; };
    drive(network, 10s, 3 * rate, {0, 1, 2, 3, 10, 11, 12, 13});
    EXPECT_GT(network.sum.tokens, 0.8 * rate * 10);
}

TEST_F(budget_manager_test, request_above_share_burst_is_served_from_whole_fleet)
{
    network.run(50ms);
    auto const id = network.submit(3, burst - 100);
    network.run(150ms);
    EXPECT_EQ(network.sum.granted, 1);
    EXPECT_FALSE(network.sum.retry_after.contains(id));
}

TEST_F(budget_manager_test, burst_survives_idle_time_after_use)
{
    network.submit(3, 500);
    network.run(30s);
    network.submit(5, burst - 200);
    network.run(200ms);
    EXPECT_EQ(network.sum.granted, 2);
}

TEST_F(budget_manager_test, idle_share_of_later_slot_holder_has_filled_up)
{
    // All slots change hands; the new holders see no request for a while.
    network.unrenewed = [](std::size_t) { return true; };
    network.run(8s);
    network.unrenewed = [](std::size_t) { return false; };
    network.run(8s);
    network.submit(network.holder(3), burst - 100);
    network.run(200ms);
    EXPECT_EQ(network.sum.granted, 1);
}

TEST_F(budget_manager_test, new_instance_refuses_nothing_within_rate)
{
    network.run(50ms);
    network.submit(3, 300);
    network.run(100ms);
    std::size_t const slot = others(1).front();
    network.kill(network.holder(slot));
    drive(network, 7s, 0.5 * rate, others(4));
    ASSERT_GE(network.holder(slot), instances);
    drive(network, 5s, 0.8 * rate, {slot});
    EXPECT_EQ(network.sum.refused, 0) << "of " << network.sum.asked;
}

TEST_F(budget_manager_test, queries_are_few_and_end_with_activity)
{
    drive(network, 5s, 0.8 * rate, {3, 4});
    network.sent.clear();
    drive(network, 4s, 0.8 * rate, {3, 4});
    std::size_t const query = peer_message(lend_query{}).index();
    EXPECT_LE(network.sent[query], 17 * static_cast<int>(instances - 1));
    network.run(15s);
    network.sent.clear();
    network.run(5s);
    EXPECT_TRUE(network.sent.empty());
}

TEST_F(budget_manager_test, request_above_burst_is_refused_with_longest_time)
{
    auto const id = network.submit(3, burst + 1);
    EXPECT_EQ(network.sum.retry_after.at(id), 1h);
}

TEST_F(budget_manager_test, refusal_names_time_after_which_request_is_served)
{
    network.submit(3, burst - 100);
    network.run(500ms);
    auto const id = network.submit(3, burst - 100);
    network.run(200ms);
    ASSERT_TRUE(network.sum.retry_after.contains(id)) << network.dump(3);
    duration const wait = network.sum.retry_after.at(id);
    EXPECT_GT(wait, 2s);
    EXPECT_LT(wait, 3s);
    network.run(wait);
    network.submit(3, burst - 100);
    network.run(2s);
    EXPECT_EQ(network.sum.granted, 2);
}

TEST_F(budget_manager_test, short_shortage_waits_for_accrual)
{
    network.submit(3, burst - 100);
    network.run(500ms);
    network.submit(3, 1500);
    network.run(2s);
    EXPECT_EQ(network.sum.granted, 2);
}

TEST_F(budget_manager_test, lower_limits_apply_at_once)
{
    drive(network, 5s, 2 * rate, {3, 4, 5});
    network.set_limits(rate / 10, burst / 10);
    network.sum = {};
    drive(network, 10s, 2 * rate, {3, 4, 5});
    EXPECT_LE(network.sum.tokens, rate + static_cast<double>(burst) / 10 + tolerance);
    network.set_limits(rate, burst);
    network.sum = {};
    drive(network, 10s, 2 * rate, {3, 4, 5});
    EXPECT_GT(network.sum.tokens, 0.9 * rate * 10);
}

TEST_F(budget_manager_test, upper_bounds_are_given_back_at_settlement)
{
    drive(network, 20s, 0.9 * rate, {3, 4}, 0.25, 300ms);
    EXPECT_LT(network.sum.refused, network.sum.asked / 50);
}

/// Guards against charging base reservations in full when the share is lent.
TEST_F(budget_manager_test, base_reservations_are_given_back_after_share_is_lent)
{
    network.run(50ms);
    for (std::size_t slot = 0; slot < instances; ++slot)
    {
        network.submit(network.holder(slot), 150, 0, 500ms);
    }
    network.submit(network.holder(3), 300);
    network.run(1s);
    network.submit(network.holder(5), 2000);
    network.run(50ms);
    EXPECT_EQ(network.sum.granted, static_cast<int>(instances) + 2);
    EXPECT_GE(network.ideal().lowest(), -tolerance);
}

/// Guards against giving reservations back on top of a pool that has filled up meanwhile.
TEST_F(budget_manager_test, base_reservations_given_back_late_keep_window_bound)
{
    network.run(50ms);
    for (std::size_t slot = 0; slot < instances; ++slot)
    {
        network.submit(network.holder(slot), 150, 0, 5s);
    }
    network.submit(network.holder(3), 300);
    network.run(4800ms);
    for (int part = 0; part < 20; ++part)
    {
        drain(network);
        network.run(50ms);
    }
}

TEST_F(budget_manager_test, withdrawn_request_is_not_decided)
{
    network.submit(3, burst - 100);
    network.run(500ms);
    auto const id = network.submit(3, 1500);
    network.withdraw(3, id);
    network.run(3s);
    EXPECT_EQ(network.sum.granted, 1);
    EXPECT_EQ(network.sum.refused, 0);
}

TEST_F(budget_manager_test, leaving_owner_hands_shares_back)
{
    drive(network, 3s, 0.5 * rate, {3, 4});
    std::size_t const leaving = network.owner();
    network.release(leaving);
    network.hidden = [leaving](std::size_t, std::size_t member)
    { return member == leaving; };
    auto const slots = others(2);
    drive(network, 5s, 0.8 * rate, slots);
    EXPECT_EQ(network.sum.refused, 0);
}

/// An owner that grants to one member over a network that doubles and loses messages.
/// With deltas each message adds; with absolute counters the highest one counts.
double lowest_level_with(bool deltas)
{
    std::mt19937_64 random(11);
    std::uniform_real_distribution<> uniform(0, 1);
    testing_support::ideal_bucket ideal(rate, static_cast<double>(burst));
    double level = burst;
    double granted = 0;
    double received = 0;
    for (int step = 0; step < 2000; ++step)
    {
        level = std::min<double>(burst, level + rate / 100);
        double const part = std::floor(level);
        level -= part;
        granted += part;
        double const before = received;
        for (int copies = uniform(random) < 0.1 ? 2 : 1; copies > 0; --copies)
        {
            if (uniform(random) >= 0.05)
            {
                received = deltas ? received + part : granted;
            }
        }
        ideal.charge(time_point(step * 10ms), received - before);
    }
    return ideal.lowest();
}

TEST_F(budget_manager_test, delta_counters_would_break_window_bound)
{
    EXPECT_LT(lowest_level_with(true), -10 * tolerance);
    EXPECT_GE(lowest_level_with(false), -tolerance);
}

} // namespace
} // namespace carawayturn
