#include "coordination/config_log.hpp"

#include "fake_fleet.hpp"

#include <gtest/gtest.h>

namespace carawayturn
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class config_log_test : public testing::Test
{
protected:
    config_log_test()
    {
        base_.instance_slots = 5;
        organisation_config organisation;
        organisation.id = acme_;
        organisation.rate = 100;
        organisation.burst = 1000;
        organisation.models = {"*"};
        base_.organisations[acme_] = organisation;
    }

    fake_fleet::node& node(std::size_t index) { return *fleet_.nodes[index]; }
    config_version version(std::size_t index)
    {
        return node(index).config->current().version;
    }

    config_change key(std::string const& text) const
    {
        return grant_key{acme_, digest(text)};
    }

    /// Starts five instances on five slots with version 1 in force.
    void start_fleet()
    {
        fleet_.start_many(5);
        fleet_.run(seconds(2));
        fleet_.submit(node(0), "base", replace_config{base_});
        fleet_.run(seconds(20));
        ASSERT_EQ(fleet_.serving(), 5U);
        ASSERT_EQ(node(0).answers.size(), 1U);
        ASSERT_TRUE(node(0).answers[0].accepted);
        node(0).answers.clear();
    }

    /// Commits `count` keys through instance 0.
    void commit_keys(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            fleet_.submit(node(0), "key", key("k" + std::to_string(index)));
            fleet_.run(milliseconds(200));
        }
        fleet_.run(seconds(3));
    }

    void expect_conflict(answer_submission const& answer, std::string const& current)
    {
        EXPECT_EQ(answer.version, 0U);
        ASSERT_TRUE(answer.failure.has_value());
        EXPECT_EQ(answer.failure->code, error_code::conflict);
        EXPECT_NE(answer.failure->detail.find(current), std::string::npos);
    }

    /// Runs one instance, without its reads and peers, until it asks a peer, which is
    /// then `asked_`.
    config_query await_query(std::size_t index)
    {
        node(index).reads_cut = true;
        node(index).peers_cut = true;
        for (int step = 0; step < 1000; ++step)
        {
            fleet_.now += tick_interval;
            actions out;
            node(index).config->handle(fleet_.now, tick{}, out);
            for (auto const& wanted : out)
            {
                auto const* const sent = std::get_if<send_peer>(&wanted);
                if (sent == nullptr ||
                    !std::holds_alternative<config_query>(sent->message))
                    continue;
                asked_ = sent->to;
                return std::get<config_query>(sent->message);
            }
        }
        throw std::runtime_error("no query");
    }

    instance_id asked_;
    organisation_id acme_{"acme"};
    fleet_config base_;
    fake_fleet fleet_;
};

TEST_F(config_log_test, change_is_accepted_once_all_have_it)
{
    start_fleet();
    fleet_.submit(node(2), "grant", key("aa"), 1);
    fleet_.run(seconds(5));
    ASSERT_EQ(node(2).answers.size(), 1U);
    EXPECT_TRUE(node(2).answers[0].accepted);
    EXPECT_EQ(node(2).answers[0].version, 2U);
    for (std::size_t index = 0; index < 5; ++index)
        EXPECT_EQ(version(index), 2U);
}

TEST_F(config_log_test, unreachable_holder_keeps_change_pending_and_is_named)
{
    start_fleet();
    // Reachable by nobody, but its lease is renewed: it must not be taken for stopped.
    node(3).peers_cut = true;
    node(3).reads_cut = true;
    fleet_.submit(node(0), "grant", key("aa"));
    fleet_.run(seconds(9));
    EXPECT_TRUE(node(0).answers.empty());
    fleet_.run(seconds(2));
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_FALSE(node(0).answers[0].accepted);
    EXPECT_EQ(node(0).answers[0].version, 2U);
    EXPECT_EQ(node(0).answers[0].missing, std::vector<instance_id>{node(3).identity.id});
    EXPECT_FALSE(node(0).answers[0].failure.has_value());
    // Without confirmation it serves no longer, so the old version is not in force there.
    EXPECT_FALSE(node(3).authority->may_serve(fleet_.now));
}

TEST_F(config_log_test, stopped_holder_does_not_block_acceptance)
{
    start_fleet();
    node(3).killed = true;
    fleet_.submit(node(0), "grant", key("aa"));
    fleet_.run(seconds(5));
    EXPECT_TRUE(node(0).answers.empty());
    fleet_.run(seconds(4));
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_TRUE(node(0).answers[0].accepted);
}

TEST_F(config_log_test, accepted_change_is_in_force_at_every_serving_instance)
{
    start_fleet();
    // Instance 3 is paused long enough to be proven stopped, then wakes.
    node(3).paused = true;
    fleet_.run(seconds(10));
    fleet_.submit(node(0), "grant", key("aa"));
    for (int step = 0; step < 400; ++step)
    {
        if (step == 4)
            fleet_.resume(node(3));
        fleet_.run(tick_interval);
        bool const accepted = !node(0).answers.empty();
        bool const serves = node(3).authority->may_serve(fleet_.now);
        ASSERT_TRUE(!accepted || !serves || version(3) == 2);
    }
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_TRUE(node(0).answers[0].accepted);
}

TEST_F(config_log_test, rows_not_read_since_commit_keep_change_unconfirmed)
{
    start_fleet();
    node(0).reads_cut = true;
    fleet_.run(seconds(1));
    actions out;
    node(0).authority->set_config({2, 5});
    EXPECT_EQ(node(0).authority->unconfirmed(fleet_.now, 2).size(), 5U);
    EXPECT_EQ(node(0).authority->unconfirmed(fleet_.now, 1).size(), 0U);
}

TEST_F(config_log_test, commit_with_lost_answer_takes_effect_once)
{
    start_fleet();
    fleet_.submit(node(0), "warm-up", key("zz"));
    fleet_.run(seconds(3));
    node(0).answers.clear();
    fleet_.table.lose_answers = 1;
    fleet_.submit(node(0), "grant", key("aa"));
    fleet_.run(seconds(5));
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_TRUE(node(0).answers[0].accepted);
    EXPECT_EQ(node(0).answers[0].version, 3U);
    EXPECT_EQ(fleet_.table.row("config/4").version, 0U);
}

TEST_F(config_log_test, read_back_after_later_version_still_finds_own_commit)
{
    start_fleet();
    fleet_.table.lose_answers = 1;
    fleet_.submit(node(0), "grant", key("aa"));
    // The head row is overwritten before instance 0 reads back.
    fleet_.submit(node(1), "grant-2", key("bb"));
    fleet_.run(seconds(5));
    fleet_.submit(node(1), "grant-3", key("cc"));
    fleet_.run(seconds(5));
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_EQ(node(0).answers[0].version, 2U);
    EXPECT_TRUE(node(0).answers[0].accepted);
    EXPECT_FALSE(node(0).answers[0].failure.has_value());
}

TEST_F(config_log_test, commit_that_lands_after_read_back_takes_effect_once)
{
    start_fleet();
    fleet_.table.hold_commits = 1;
    fleet_.submit(node(0), "grant", key("aa"));
    ASSERT_EQ(fleet_.table.row("config/2").version, 0U);
    // The read-back finds nothing; the held commit lands before the second attempt.
    fleet_.run(milliseconds(300));
    auto const landed = fleet_.table.apply_held();
    ASSERT_TRUE(std::holds_alternative<committed>(landed.at(0)));
    fleet_.run(seconds(5));
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_EQ(node(0).answers[0].version, 2U);
    EXPECT_EQ(fleet_.table.row("config/3").version, 0U);
}

TEST_F(config_log_test, commit_that_lands_after_second_attempt_conflicts)
{
    start_fleet();
    fleet_.table.hold_commits = 1;
    fleet_.submit(node(0), "grant", key("aa"));
    fleet_.run(seconds(5));
    auto const landed = fleet_.table.apply_held();
    EXPECT_TRUE(std::holds_alternative<commit_conflict>(landed.at(0)));
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_TRUE(node(0).answers[0].accepted);
    EXPECT_EQ(fleet_.table.row("config/3").version, 0U);
}

TEST_F(config_log_test, commit_never_settled_is_reported_unknown)
{
    start_fleet();
    fleet_.table.lose_answers = 1;
    fleet_.submit(node(0), "grant", key("aa"));
    fleet_.table.down = true;
    fleet_.run(seconds(11));
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_EQ(node(0).answers[0].failure->code, error_code::unknown_outcome);
}

TEST_F(config_log_test, store_down_refuses_the_change)
{
    start_fleet();
    fleet_.table.down = true;
    fleet_.submit(node(0), "grant", key("aa"));
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_EQ(node(0).answers[0].failure->code, error_code::unavailable);
}

TEST_F(config_log_test, racing_operators_have_one_winner)
{
    start_fleet();
    // Both read the head before either commits.
    actions first;
    actions second;
    auto const submit = [this](std::size_t index, actions& out)
    {
        node(index).config->handle(
            fleet_.now,
            change_submitted{operation_id("race"), key("r" + std::to_string(index)), {}},
            out);
    };
    submit(1, first);
    submit(2, second);
    auto const read_1 = std::get<store_read>(first.at(0)).read;
    auto const read_2 = std::get<store_read>(second.at(0)).read;
    auto const answer_1 = fleet_.table.read(read_1);
    auto const answer_2 = fleet_.table.read(read_2);
    fleet_.deliver(node(1), table_answered{read_1.operation, answer_1});
    fleet_.deliver(node(2), table_answered{read_2.operation, answer_2});
    fleet_.run(seconds(5));
    ASSERT_EQ(node(1).answers.size(), 1U);
    ASSERT_EQ(node(2).answers.size(), 1U);
    EXPECT_TRUE(node(1).answers[0].accepted);
    expect_conflict(node(2).answers[0], "2");
}

TEST_F(config_log_test, outdated_expectation_is_a_conflict)
{
    start_fleet();
    commit_keys(1);
    fleet_.submit(node(4), "late", key("bb"), 1);
    ASSERT_EQ(node(4).answers.size(), 1U);
    expect_conflict(node(4).answers[0], "2");
}

TEST_F(config_log_test, change_that_does_not_apply_is_not_committed)
{
    start_fleet();
    fleet_.submit(node(0), "withdraw", withdraw_key{acme_, digest("absent")});
    ASSERT_EQ(node(0).answers.size(), 1U);
    EXPECT_EQ(node(0).answers[0].failure->code, error_code::not_found);
    EXPECT_EQ(fleet_.table.row("config/2").version, 0U);
}

TEST_F(config_log_test, older_copies_and_replies_never_revert)
{
    start_fleet();
    auto const old = node(1).config->current();
    commit_keys(3);
    ASSERT_EQ(version(1), 4U);
    for (std::uint64_t query = 0; query < 20; ++query)
    {
        config_reply reply{query, 1, seconds(0), {key("zz")}, {old}};
        fleet_.deliver(node(1), peer_received{node(2).identity.id, reply});
        rows_read rows{{fleet_.table.row("config/2"), fleet_.table.row("config/3")}};
        fleet_.deliver(node(1), table_answered{operation_id("config-read/entry-1/1/" +
                                                            std::to_string(query)),
                                               rows});
    }
    EXPECT_EQ(node(1).config->current(), node(0).config->current());
}

TEST_F(config_log_test, older_copy_in_answer_to_own_query_never_reverts)
{
    start_fleet();
    auto const old = node(1).config->current();
    commit_keys(3);
    auto const question = await_query(1);
    config_reply const reply{question.query, 1, seconds(0), {}, {old}};
    fleet_.deliver(node(1), peer_received{asked_, reply});
    EXPECT_EQ(version(1), 4U);
}

TEST_F(config_log_test, new_instance_reads_one_copy_and_the_changes_since)
{
    start_fleet();
    commit_keys(70);
    ASSERT_EQ(version(0), 71U);
    auto& joined = fleet_.start("entry-new");
    joined.peers_cut = true;
    fleet_.run(seconds(3));
    EXPECT_EQ(joined.config->current(), node(0).config->current());
    std::size_t fetches = 0;
    for (auto const& read : joined.reads)
    {
        if (read.keys.front() != "config/copy/64")
            continue;
        ++fetches;
        EXPECT_EQ(read.keys.size(), 8U);
    }
    EXPECT_EQ(fetches, 1U);
}

TEST_F(config_log_test, new_instance_during_outage_serves_only_with_highest_of_majority)
{
    start_fleet();
    // Only instance 0 has the newest version when the store goes down.
    for (std::size_t index = 1; index < 5; ++index)
    {
        node(index).peers_cut = true;
        node(index).store_cut = true;
    }
    fleet_.submit(node(0), "grant", key("aa"));
    fleet_.table.down = true;
    auto& joined = fleet_.start("entry-new");
    for (std::size_t index = 1; index < 5; ++index)
        node(index).peers_cut = false;
    for (int step = 0; step < 800; ++step)
    {
        fleet_.run(tick_interval);
        bool const serves = joined.authority->may_serve(fleet_.now);
        ASSERT_TRUE(!serves || joined.config->current().version == 2);
    }
    EXPECT_TRUE(joined.authority->may_serve(fleet_.now));
    EXPECT_FALSE(joined.authority->owns_base_share(fleet_.now));
}

TEST_F(config_log_test, new_instance_alone_during_outage_does_not_serve)
{
    start_fleet();
    fleet_.table.down = true;
    auto& joined = fleet_.start("entry-new");
    node(2).killed = node(3).killed = node(4).killed = true;
    fleet_.run(seconds(30));
    // It has a copy from a peer, but heard no majority.
    EXPECT_EQ(joined.config->current().version, 1U);
    EXPECT_FALSE(joined.authority->may_serve(fleet_.now));
}

TEST_F(config_log_test, peers_confirm_while_reads_fail)
{
    start_fleet();
    node(1).reads_cut = true;
    fleet_.run(seconds(20));
    EXPECT_TRUE(node(1).authority->may_serve(fleet_.now));
    // A confirmation is at least as old as the peer's own.
    EXPECT_LE(*node(1).authority->config_confirmed(), fleet_.now - milliseconds(25));
    node(1).peers_cut = true;
    fleet_.run(seconds(6));
    EXPECT_TRUE(node(1).authority->lease_valid(fleet_.now));
    EXPECT_FALSE(node(1).authority->may_serve(fleet_.now));
}

TEST_F(config_log_test, peer_answering_late_confirms_as_of_the_question)
{
    start_fleet();
    auto const before = *node(1).authority->config_confirmed();
    auto const question = await_query(1);
    auto const asked_at = fleet_.now;
    fleet_.now += milliseconds(400);
    config_reply const reply{question.query, 1, milliseconds(100), {}, {}};
    fleet_.deliver(node(1), peer_received{asked_, reply});
    EXPECT_GT(*node(1).authority->config_confirmed(), before);
    EXPECT_EQ(*node(1).authority->config_confirmed(), asked_at - milliseconds(100));
}

TEST_F(config_log_test, head_newer_than_own_version_stops_serving)
{
    start_fleet();
    // The change itself cannot be read, only the head.
    node(1).peers_cut = true;
    fleet_.table.commit({operation_id("x"), {}, {{"config/head", R"({"version":9})"}}});
    fleet_.run(seconds(7));
    EXPECT_TRUE(node(1).authority->lease_valid(fleet_.now));
    EXPECT_FALSE(node(1).authority->may_serve(fleet_.now));
}

} // namespace
} // namespace carawayturn
