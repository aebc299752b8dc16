#include "coordination/poison_ledger.hpp"

#include "support/budget_network.hpp"
#include "support/table_fake.hpp"

#include <gtest/gtest.h>

namespace carawayturn
{
namespace
{

using namespace std::chrono_literals;
using testing_support::fake_serving_authority;
using testing_support::table_fake;

class poison_ledger_test : public testing::Test
{
protected:
    poison_ledger_test()
    {
        for (std::string const name : {"a", "b"})
        {
            member_entry member;
            member.id = instance_id(name);
            authority.members.push_back(member);
        }
        a = make("a");
        b = make("b");
    }
    std::unique_ptr<poison_ledger> make(std::string const& name)
    {
        instance_identity identity;
        identity.id = instance_id(name);
        return poison_ledger::create(identity, authority);
    }
    /// Applies actions; peers' messages reach the other instance.
    void perform(poison_ledger& from, actions out)
    {
        for (auto const& entry : table.serve(from, now, std::move(out)))
        {
            auto const* const sent = std::get_if<send_peer>(&entry);
            if (sent != nullptr && messages_arrive)
            {
                give(&from == a.get() ? *b : *a,
                     peer_received{instance_id("x"), sent->message});
            }
        }
    }
    void give(poison_ledger& to, event const& input)
    {
        actions out;
        to.handle(now, input, out);
        perform(to, std::move(out));
    }
    void crash(poison_ledger& at, bool alone)
    {
        actions out;
        at.note_crash(now, signature, alone, out);
        perform(at, std::move(out));
    }
    void run(duration length, duration step = 25ms)
    {
        for (time_point const end = now + length; now < end; now += step)
        {
            give(*a, tick{});
            give(*b, tick{});
        }
    }

    time_point now{100s};
    table_fake table;
    fake_serving_authority authority;
    std::unique_ptr<poison_ledger> a;
    std::unique_ptr<poison_ledger> b;
    digest signature{"feed"};
    bool messages_arrive = true;
};

TEST_F(poison_ledger_test, signature_depends_on_organisation_model_and_body)
{
    caller_request request;
    request.model = "m";
    request.body = digest("b");
    auto const first = poison_ledger::signature(organisation_id("o"), request);
    EXPECT_NE(first, poison_ledger::signature(organisation_id("om"), request));
    request.model = "mb";
    request.body = digest("");
    EXPECT_NE(first, poison_ledger::signature(organisation_id("o"), request));
}

TEST_F(poison_ledger_test, second_crash_alone_is_poisonous_everywhere)
{
    crash(*a, false);
    EXPECT_EQ(a->classify(signature), suspicion::suspect);
    EXPECT_EQ(b->classify(signature), suspicion::suspect);
    crash(*b, true);
    EXPECT_EQ(a->classify(signature), suspicion::poisonous);
    EXPECT_EQ(b->classify(signature), suspicion::poisonous);
    EXPECT_TRUE(table.rows.contains("poison/feed"));
}

TEST_F(poison_ledger_test, crashes_among_others_never_confirm)
{
    crash(*a, false);
    crash(*a, false);
    crash(*a, false);
    EXPECT_EQ(a->classify(signature), suspicion::suspect);
    EXPECT_TRUE(table.rows.empty());
}

TEST_F(poison_ledger_test, suspect_that_completes_is_cleared)
{
    crash(*a, false);
    actions out;
    a->note_success(now, signature, out);
    EXPECT_EQ(a->classify(signature), suspicion::none);
}

TEST_F(poison_ledger_test, suspect_expires_and_poisonous_stays)
{
    crash(*a, false);
    run(11min, 1s);
    EXPECT_EQ(a->classify(signature), suspicion::none);
    crash(*a, false);
    crash(*a, true);
    run(11min, 1s);
    EXPECT_EQ(a->classify(signature), suspicion::poisonous);
}

TEST_F(poison_ledger_test, rows_are_learned_from_table_within_seconds)
{
    messages_arrive = false;
    run(100ms);
    crash(*a, false);
    crash(*a, true);
    run(5100ms);
    EXPECT_EQ(b->classify(signature), suspicion::poisonous);
}

TEST_F(poison_ledger_test, more_rows_than_one_read_returns_are_all_learned)
{
    for (int row = 0; row < 2500; ++row)
    {
        std::string const key = "poison/" + std::to_string(row);
        table.rows[key] = {key, 1, {}, R"({"crashes":2})"};
    }
    run(50ms);
    EXPECT_EQ(a->classify(digest("999")), suspicion::poisonous);
    EXPECT_EQ(a->classify(digest("2499")), suspicion::poisonous);
}

TEST_F(poison_ledger_test, table_outage_leaves_gossip_and_later_write)
{
    messages_arrive = false;
    table.commits = table.reads = table_fake::mode::unavailable;
    crash(*a, false);
    crash(*a, true);
    auto const next = a->next_for_gossip(3);
    ASSERT_EQ(next, std::vector<digest>{signature});
    give(*b, peer_received{instance_id("a"), gossip{{}, next, {}}});
    EXPECT_EQ(b->classify(signature), suspicion::poisonous);
    run(1min);
    EXPECT_TRUE(table.rows.empty());
    table.commits = table.reads = table_fake::mode::works;
    run(6s);
    EXPECT_TRUE(table.rows.contains("poison/feed"));
}

TEST_F(poison_ledger_test, lost_write_answer_is_read_back_and_not_repeated)
{
    table.commits = table_fake::mode::answer_lost;
    crash(*a, false);
    crash(*a, true);
    run(2min, 100ms);
    EXPECT_EQ(table.commit_count, 1);
}

TEST_F(poison_ledger_test, row_of_dead_origin_is_written_by_another_instance)
{
    give(*b, peer_received{instance_id("z"), poison_notice{signature, 2}});
    run(40s);
    EXPECT_TRUE(table.rows.contains("poison/feed"));
}

TEST_F(poison_ledger_test, gossip_rotates_over_all_signatures)
{
    for (std::string const name : {"1", "2", "3"})
    {
        give(*a, peer_received{instance_id("z"), poison_notice{digest(name), 2}});
    }
    std::set<digest> seen;
    for (int round = 0; round < 2; ++round)
    {
        auto const next = a->next_for_gossip(2);
        seen.insert(next.begin(), next.end());
    }
    EXPECT_EQ(seen.size(), 3U);
}

TEST_F(poison_ledger_test, suspects_beyond_memory_bound_drop_oldest)
{
    messages_arrive = false;
    crash(*a, false);
    for (int entry = 0; entry < 20000; ++entry)
    {
        actions out;
        a->note_crash(now, digest(std::to_string(entry)), false, out);
    }
    EXPECT_EQ(a->classify(signature), suspicion::none);
    EXPECT_EQ(a->classify(digest("19999")), suspicion::suspect);
}

} // namespace
} // namespace carawayturn
