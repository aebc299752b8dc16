#include "coordination/entry/sent_requests.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace carawayturn::entry
{
namespace
{

class sent_requests_test : public testing::Test
{
protected:
    bool is_repeated(std::string const& server, std::string const& id)
    {
        return sent_->record(server, id).repeated;
    }

    /// Records this many requests with new ids. Returns how many were taken for known
    /// ones.
    std::size_t record_others(std::size_t count)
    {
        std::size_t repeated = 0;
        for (std::size_t i = 0; i < count; ++i)
            if (is_repeated("s1", "other-" + std::to_string(others_++)))
                ++repeated;
        return repeated;
    }

    std::unique_ptr<sent_requests> sent_ = std::make_unique<sent_requests>();
    std::size_t others_ = 0;
};

// Guards against an id that is sent again on a connection on which it was refused.
TEST_F(sent_requests_test, id_sent_again_to_the_same_server_is_repeated)
{
    EXPECT_FALSE(is_repeated("s1", "a"));
    EXPECT_TRUE(is_repeated("s1", "a"));
    EXPECT_TRUE(is_repeated("s1", "a"));
}

TEST_F(sent_requests_test, id_sent_to_another_server_is_not_repeated)
{
    EXPECT_FALSE(is_repeated("s1", "a"));
    EXPECT_FALSE(is_repeated("s2", "a"));
}

TEST_F(sent_requests_test, server_and_id_that_join_to_the_same_text_are_not_repeated)
{
    EXPECT_FALSE(is_repeated("s1", "2a"));
    EXPECT_FALSE(is_repeated("s12", "a"));
}

// Guards against an id that is forgotten while a connection that carried it is used.
TEST_F(sent_requests_test, connection_is_covered_as_long_as_its_first_id_is_known)
{
    record_others(100);
    auto const first = sent_->record("s1", "a").position;
    while (sent_->covers(first))
    {
        EXPECT_LE(record_others(1), 1U);
        ASSERT_LT(others_, 4 * sent_requests::generation_capacity);
    }
    EXPECT_GE(others_, sent_requests::generation_capacity);
    EXPECT_LE(others_, 2 * sent_requests::generation_capacity);
}

TEST_F(sent_requests_test, id_of_a_covered_connection_is_repeated)
{
    for (std::size_t before = 0; before < 2 * sent_requests::generation_capacity;
         before += 500)
    {
        sent_ = std::make_unique<sent_requests>();
        record_others(before);
        auto const first = sent_->record("s1", "a").position;
        record_others(sent_requests::generation_capacity - 1);
        EXPECT_TRUE(sent_->covers(first));
        EXPECT_TRUE(is_repeated("s1", "a"));
    }
}

TEST_F(sent_requests_test, connection_opened_for_a_call_counts_from_the_next_request)
{
    record_others(10);
    auto const next = sent_->next_position();
    EXPECT_EQ(sent_->record("s1", "a").position, next);
}

// Guards against new connections for requests that were never sent before.
TEST_F(sent_requests_test, new_ids_are_seldom_taken_for_repeated_ones)
{
    constexpr std::size_t count = 50 * sent_requests::generation_capacity;
    EXPECT_LT(record_others(count), count / 500);
}

} // namespace
} // namespace carawayturn::entry
