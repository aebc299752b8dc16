#include "coordination/entry/version_history.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

class version_history_test : public ::testing::Test
{
protected:
    version_history_test()
    {
        history_.set_complete();
        history_.confirm(now_);
    }

    void pass(duration time)
    {
        now_ += time;
        history_.confirm(now_);
    }

    /// The sole version for a question that comes now.
    std::optional<std::string> sole() const { return history_.sole("llm", now_, now_); }

    bool put(std::string const& server, std::string const& version)
    {
        return history_.put(server, {"llm", version}, now_);
    }

    time_point now_{std::chrono::hours(1)};
    version_history history_;
};

// Guards against the refusal of streams where only one version can have begun them.
TEST_F(version_history_test, version_of_all_servers_is_the_sole_one)
{
    EXPECT_TRUE(put("r1", "v1"));
    EXPECT_FALSE(put("r2", "v1"));
    EXPECT_EQ(sole(), "v1");
    EXPECT_FALSE(history_.is_mixed("llm", now_));
    history_.put("p1", {"plain", "v7"}, now_);
    EXPECT_EQ(sole(), "v1");
}

// Guards against a stream that goes on at the only version left, which did not begin it.
TEST_F(version_history_test,
       version_whose_servers_have_left_counts_until_its_retention_is_over)
{
    put("r1", "v1");
    put("r2", "v2");
    history_.remove("r1", now_);
    EXPECT_EQ(sole(), std::nullopt);
    pass(history_.retention() - std::chrono::seconds(1));
    EXPECT_TRUE(history_.is_mixed("llm", now_));
    EXPECT_TRUE(history_.take_expired(now_).empty());
    pass(std::chrono::seconds(1));
    EXPECT_EQ(sole(), "v2");
    EXPECT_EQ(history_.take_expired(now_), (std::vector<server_version>{{"llm", "v1"}}));
}

// Guards against the former version of a server whose id comes back at another one.
TEST_F(version_history_test, server_that_changes_its_version_leaves_the_former_one_behind)
{
    put("r1", "v1");
    EXPECT_TRUE(put("r1", "v2"));
    EXPECT_TRUE(history_.is_mixed("llm", now_));
    EXPECT_EQ(sole(), std::nullopt);
}

// Guards against a process that takes what it has seen itself for all that there was.
TEST_F(version_history_test, version_of_an_earlier_process_counts)
{
    put("r1", "v2");
    history_.remember({"llm", "v1"}, now_);
    EXPECT_EQ(sole(), std::nullopt);
    version_history incomplete;
    incomplete.confirm(now_);
    incomplete.put("r1", {"llm", "v2"}, now_);
    EXPECT_EQ(incomplete.sole("llm", now_, now_), std::nullopt);
}

// Guards against an instance that has been cut off and misses a new version.
TEST_F(version_history_test, sole_version_of_an_old_reading_is_not_known)
{
    put("r1", "v1");
    now_ += std::chrono::seconds(4);
    EXPECT_EQ(sole(), std::nullopt);
    history_.confirm(now_);
    EXPECT_EQ(sole(), "v1");
}

// Guards against streams of a version that came after the last reading and before the
// request: the load pattern "an instance is cut off for a second while another version
// arrives".
TEST_F(version_history_test, sole_version_of_a_reading_before_the_question_is_not_known)
{
    put("r1", "v1");
    auto const read_at = now_;
    now_ += std::chrono::milliseconds(1);
    EXPECT_EQ(sole(), std::nullopt);
    EXPECT_EQ(history_.sole("llm", now_, read_at), "v1");
    EXPECT_FALSE(history_.is_current(now_));
    // A late confirmation of an earlier reading changes nothing.
    history_.confirm(read_at - std::chrono::seconds(1));
    EXPECT_EQ(history_.confirmed_at(), read_at);
}

// Guards against the refusal of all streams where no server states its version.
TEST_F(version_history_test, absent_version_of_all_servers_is_the_sole_one)
{
    put("r1", "");
    EXPECT_EQ(sole(), "");
    put("r2", "v1");
    EXPECT_EQ(sole(), std::nullopt);
}

// Guards against memory that grows with each version that a row has had.
TEST_F(version_history_test, former_versions_are_bounded)
{
    for (int i = 0; i < 10'000; ++i)
        put("r1", "v" + std::to_string(i));
    EXPECT_LT(history_.all(10'000).size(), 100U);
    EXPECT_TRUE(history_.is_mixed("llm", now_));
}

} // namespace
} // namespace carawayturn::entry
