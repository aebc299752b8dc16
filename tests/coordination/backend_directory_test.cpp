#include "coordination/backend_directory.hpp"

#include <gtest/gtest.h>

namespace carawayturn
{
namespace
{

class backend_directory_test : public testing::Test
{
protected:
    /// Handles an event and returns the number of crashes raised.
    std::size_t handle(event const& input)
    {
        actions out;
        directory_->handle(now_, input, out);
        std::size_t crashes = 0;
        for (auto const& wanted : out)
        {
            auto const* const raised = std::get_if<raise_event>(&wanted);
            crashes += raised != nullptr &&
                       std::holds_alternative<backend_crashed>(raised->raised);
        }
        return crashes;
    }

    static listed_instance line(incarnation_number incarnation, bool leaving = false)
    {
        return {"runner-1", "runner", "chat",  {"127.0.0.1", 9000},
                0,          {},       leaving, incarnation};
    }

    std::size_t list(incarnation_number incarnation, bool leaving = false)
    {
        return handle(instances_listed{{line(incarnation, leaving)}});
    }

    std::size_t report(incarnation_number incarnation, std::uint64_t sequence)
    {
        backend_report sent;
        sent.backend = id_;
        sent.incarnation = incarnation;
        sent.sequence = sequence;
        return handle(report_received{sent});
    }

    [[nodiscard]] bool usable() const { return !directory_->usable(pool_).empty(); }

    backend_id id_{"runner-1"};
    pool_id pool_{"chat"};
    time_point now_{std::chrono::seconds(1000)};
    std::unique_ptr<backend_directory> directory_ = backend_directory::create();
};

TEST_F(backend_directory_test, stale_list_after_leaving_does_not_revive_the_server)
{
    list(1, true);
    EXPECT_FALSE(usable());
    list(1, false);
    EXPECT_FALSE(usable());
    ASSERT_EQ(directory_->leaving().size(), 1U);
    EXPECT_EQ(directory_->leaving().front().second, 1U);
}

TEST_F(backend_directory_test, gossip_of_leaving_before_the_list_counts)
{
    handle(peer_received{instance_id("entry-1"), gossip{{}, {}, {{id_, 1}}}});
    list(1, false);
    EXPECT_FALSE(usable());
    EXPECT_EQ(directory_->leaving().size(), 1U);
}

TEST_F(backend_directory_test, leaving_survives_a_gap_in_the_list)
{
    list(1, true);
    handle(backend_unreachable{id_});
    auto other = line(1);
    other.id = "runner-2";
    handle(instances_listed{{other}});
    EXPECT_FALSE(directory_->find(id_).has_value());
    list(1, false);
    EXPECT_FALSE(usable());
    EXPECT_TRUE(directory_->find(id_)->leaving);
}

TEST_F(backend_directory_test, new_incarnation_is_a_crash_and_ends_leaving)
{
    list(1, true);
    EXPECT_EQ(list(2), 1U);
    EXPECT_TRUE(usable());
    // A late line about the former incarnation.
    EXPECT_EQ(list(1, true), 0U);
    EXPECT_TRUE(usable());
}

TEST_F(backend_directory_test, report_of_new_incarnation_is_one_crash)
{
    list(1);
    EXPECT_EQ(report(1, 1), 0U);
    EXPECT_EQ(report(2, 1), 1U);
    EXPECT_EQ(report(2, 2), 0U);
    EXPECT_EQ(report(1, 9), 0U);
    EXPECT_EQ(directory_->find(id_)->report->sequence, 2U);
    EXPECT_EQ(directory_->find(id_)->incarnation, 2U);
}

TEST_F(backend_directory_test, unknown_incarnation_that_becomes_known_is_no_crash)
{
    list(0);
    EXPECT_EQ(report(7, 1), 0U);
}

TEST_F(backend_directory_test, older_report_of_same_incarnation_is_ignored)
{
    list(1);
    report(1, 5);
    report(1, 4);
    EXPECT_EQ(directory_->find(id_)->report->sequence, 5U);
}

TEST_F(backend_directory_test, unreachable_server_is_one_crash_until_it_reports)
{
    list(1);
    EXPECT_EQ(handle(backend_unreachable{id_}), 1U);
    EXPECT_EQ(handle(backend_unreachable{id_}), 0U);
    EXPECT_FALSE(usable());
    EXPECT_EQ(list(2), 0U);
    EXPECT_TRUE(usable());
}

TEST_F(backend_directory_test, unlisted_server_is_kept_until_unreachable)
{
    list(1);
    auto other = line(1);
    other.id = "runner-2";
    handle(instances_listed{{other}});
    EXPECT_TRUE(directory_->find(id_).has_value());
    EXPECT_EQ(directory_->usable(pool_).size(), 1U);
    EXPECT_EQ(handle(backend_unreachable{id_}), 1U);
    EXPECT_FALSE(directory_->find(id_).has_value());
}

TEST_F(backend_directory_test, empty_list_is_ignored)
{
    list(1);
    handle(instances_listed{});
    EXPECT_TRUE(usable());
}

TEST_F(backend_directory_test, order_answer_of_new_incarnation_is_a_crash)
{
    list(1);
    order_answered answered;
    answered.order.backend = id_;
    answered.incarnation = 2;
    EXPECT_EQ(handle(answered), 1U);
}

} // namespace
} // namespace carawayturn
