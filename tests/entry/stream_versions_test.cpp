#include "coordination/entry/stream_versions.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

constexpr std::size_t batch_limit = 70;

class stream_versions_test : public ::testing::Test
{
protected:
    void begin(std::string const& id, std::string const& version = "v1",
               std::string const& server = "r1")
    {
        streams_.note_begun(id, {"llm", version}, server, now_);
    }

    std::optional<std::string> version_of(std::string const& id) const
    {
        auto const found = streams_.find(stream_key::of(id));
        return found ? std::optional(found->version) : std::nullopt;
    }

    stream_record_batch take(bool written = true)
    {
        return streams_.take_batch([&](std::string const&) { return written; },
                                   batch_limit);
    }

    time_point now_{std::chrono::hours(1)};
    stream_versions streams_;
};

// Guards against a stream that goes on at any version.
TEST_F(stream_versions_test, begun_stream_is_found_with_its_version)
{
    begin("a", "v1");
    begin("b", "v2");
    EXPECT_EQ(version_of("a"), "v1");
    EXPECT_EQ(version_of("b"), "v2");
    EXPECT_EQ(version_of("c"), std::nullopt);
}

// Guards against the version of one of two streams whose callers used the same id.
TEST_F(stream_versions_test, id_of_streams_at_two_versions_names_none)
{
    begin("a", "v1");
    EXPECT_EQ(take().written.size(), 1U);
    begin("a", "v2");
    EXPECT_EQ(version_of("a"), std::nullopt);
    auto const batch = take();
    ASSERT_EQ(batch.written.size(), 1U);
    EXPECT_EQ(batch.written[0].origin.version, "");
}

// Guards against the version of a server's former process.
TEST_F(stream_versions_test, streams_that_a_newer_process_may_have_begun_are_unknown)
{
    begin("old");
    now_ += std::chrono::seconds(4);
    begin("new");
    begin("other", "v1", "r2");
    streams_.note_replaced("r1", now_);
    EXPECT_EQ(version_of("new"), std::nullopt);
    EXPECT_EQ(version_of("old"), "v1");
    EXPECT_EQ(version_of("other"), "v1");
}

// Guards against streams that began at the newer process while the instance could not
// read the servers, however long that took.
TEST_F(stream_versions_test, streams_since_the_last_reading_are_unknown)
{
    begin("old");
    now_ += std::chrono::seconds(4);
    auto const read_at = now_;
    begin("unread");
    now_ += std::chrono::seconds(10);
    begin("new");
    EXPECT_TRUE(streams_.note_replaced("r1", read_at));
    EXPECT_FALSE(streams_.note_replaced("r1", read_at));
    EXPECT_EQ(version_of("old"), "v1");
    EXPECT_EQ(version_of("unread"), std::nullopt);
    EXPECT_EQ(version_of("new"), std::nullopt);
    EXPECT_TRUE(streams_.is_unknown(stream_key::of("new")));
    EXPECT_FALSE(streams_.is_unknown(stream_key::of("none")));
}

// Guards against the loss of streams whose server has told which process it was.
TEST_F(stream_versions_test, confirmed_stream_stays_known_after_its_server_returned)
{
    begin("a");
    EXPECT_EQ(streams_.unconfirmed_since(stream_key::of("a")), now_);
    streams_.confirm(stream_key::of("a"));
    EXPECT_EQ(streams_.unconfirmed_since(stream_key::of("a")), std::nullopt);
    EXPECT_FALSE(streams_.note_replaced("r1", now_));
    EXPECT_EQ(version_of("a"), "v1");
}

// Guards against a reading of the servers for what the store's record says.
TEST_F(stream_versions_test, stream_of_a_record_is_confirmed)
{
    streams_.learn(stream_key::of("a"), {"llm", "v1"}, now_);
    EXPECT_EQ(streams_.unconfirmed_since(stream_key::of("a")), std::nullopt);
}

// Guards against calls to the store that nobody needs.
TEST_F(stream_versions_test, streams_of_one_version_are_not_written)
{
    begin("a");
    EXPECT_TRUE(take(false).empty());
}

// Guards against streams that are lost because they began before a second version came.
TEST_F(stream_versions_test, earlier_streams_are_written_once_there_are_two_versions)
{
    for (int i = 0; i < 100; ++i)
        begin("s" + std::to_string(i));
    EXPECT_TRUE(take(false).empty());
    auto const first = take();
    ASSERT_EQ(first.written.size(), batch_limit);
    EXPECT_EQ(first.written[0].key, stream_key::of("s99"));
    EXPECT_EQ(take().written.size(), 100 - batch_limit);
    EXPECT_TRUE(take().empty());
}

// Guards against records that are lost with a call that the store did not answer.
TEST_F(stream_versions_test, batch_that_was_not_written_is_taken_again)
{
    begin("a");
    begin("b");
    streams_.return_batch(take());
    EXPECT_EQ(take().written.size(), 2U);
}

// Guards against rows that stay in the store for good.
TEST_F(stream_versions_test, records_are_removed_after_their_retention)
{
    for (int i = 0; i < 60; ++i)
        begin("s" + std::to_string(i));
    EXPECT_EQ(take().written.size(), 60U);
    now_ += min_version_retention;
    streams_.expire(now_);
    EXPECT_EQ(streams_.size(), 0U);
    EXPECT_EQ(take().removed.size(), 60U);
    EXPECT_TRUE(take().empty());
}

// Guards against the removal of a record that another instance keeps.
TEST_F(stream_versions_test, record_that_was_read_is_neither_written_nor_removed)
{
    for (int i = 0; i < 60; ++i)
        streams_.learn(stream_key::of("s" + std::to_string(i)), {"llm", "v1"}, now_);
    EXPECT_EQ(version_of("s0"), "v1");
    EXPECT_TRUE(take().empty());
    now_ += min_version_retention;
    streams_.expire(now_);
    EXPECT_TRUE(take().empty());
}

// Guards against memory that grows with the streams of a busy instance.
TEST_F(stream_versions_test, streams_are_bounded)
{
    for (int i = 0; i < 10'000; ++i)
        begin("s" + std::to_string(i));
    EXPECT_LE(streams_.size(), 4096U);
    EXPECT_EQ(version_of("s9999"), "v1");
    EXPECT_EQ(version_of("s0"), std::nullopt);
}

// Guards against streams whose records the store has lost in a restoration from a copy.
TEST_F(stream_versions_test, lost_records_are_written_again_the_newest_first)
{
    begin("a");
    begin("b");
    EXPECT_EQ(take().written.size(), 2U);
    begin("c");
    streams_.learn(stream_key::of("foreign"), {"llm", "v1"}, now_);
    streams_.note_records_lost();
    auto const batch = take();
    ASSERT_EQ(batch.written.size(), 3U);
    EXPECT_EQ(batch.written.front().key, stream_key::of("b"));
    EXPECT_TRUE(take().empty());
}

// Guards against records that are written once more for each restoration that finds them
// unwritten.
TEST_F(stream_versions_test, records_lost_twice_before_a_write_are_written_once)
{
    begin("a");
    take();
    streams_.note_records_lost();
    streams_.note_records_lost();
    EXPECT_EQ(take().written.size(), 1U);
    EXPECT_TRUE(take().empty());
}

} // namespace
} // namespace carawayturn::entry
