#include "coordination/entry/backend_board.hpp"
#include "coordination/entry/server_words.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

backend_record server(std::string id, std::int64_t born_ms = 1)
{
    backend_record record;
    record.id = std::move(id);
    record.service = "plain";
    record.failure_domain = "a";
    record.slots = 100;
    record.born_ms = born_ms;
    return record;
}

/// Two servers of one service, and a clock that the test sets.
class server_words_test : public testing::Test
{
protected:
    server_words_test()
    {
        board_.put(server("s1"));
        board_.put(server("s2"));
    }

    [[nodiscard]] backend_choice choose()
    {
        return board_.choose({"plain", {}, 0, {}}, now_);
    }

    /// How many of many requests the server would get.
    [[nodiscard]] int share_of(std::string const& id)
    {
        int count = 0;
        for (int i = 0; i < 100; ++i)
        {
            auto const choice = choose();
            count += choice.backend != nullptr && choice.backend->id == id ? 1 : 0;
        }
        return count;
    }

    time_point now_{seconds(100)};
    backend_board board_{"a", 7};
};

// Guards against requests at a server that said that it leaves, while the store's entry
// still, or again, shows it as ready.
TEST_F(server_words_test, leaving_server_gets_nothing_whatever_its_entry_says)
{
    EXPECT_TRUE(board_.leaves("s1", 1));
    EXPECT_EQ(share_of("s1"), 0);
    board_.put(server("s1"));
    EXPECT_EQ(share_of("s1"), 0);
    board_.remove("s1");
    board_.put(server("s1"));
    EXPECT_EQ(share_of("s1"), 0);
    EXPECT_EQ(share_of("s2"), 100);
    EXPECT_FALSE(board_.leaves("s1", 1));
}

// Guards against a restarted server that never gets work again.
TEST_F(server_words_test, new_incarnation_ends_both_words)
{
    board_.leaves("s1", 1);
    board_.pauses("s2", 1, seconds(60), now_);
    board_.put(server("s1", 2));
    board_.put(server("s2", 2));
    EXPECT_GT(share_of("s1"), 0);
    EXPECT_GT(share_of("s2"), 0);
}

// Guards against an answer of a former incarnation that comes late and stops its
// successor.
TEST_F(server_words_test, late_word_of_a_former_incarnation_says_nothing_of_the_next)
{
    board_.put(server("s1", 2));
    board_.leaves("s1", 2);
    board_.put(server("s1", 3));
    EXPECT_FALSE(board_.leaves("s1", 1));
    board_.pauses("s1", 2, seconds(60), now_);
    EXPECT_GT(share_of("s1"), 0);
}

// Guards against a request that was matched with the server before its word came.
TEST_F(server_words_test, chosen_server_that_said_a_word_since_is_not_sent_to)
{
    auto const chosen = *choose().backend;
    EXPECT_TRUE(board_.may_send(chosen, now_));
    board_.pauses(chosen.id, chosen.born_ms, seconds(1), now_);
    EXPECT_FALSE(board_.may_send(chosen, now_));
    EXPECT_TRUE(board_.may_send(chosen, now_ + seconds(1)));
    board_.leaves(chosen.id, chosen.born_ms);
    EXPECT_FALSE(board_.may_send(chosen, now_ + seconds(1)));
}

// Guards against a word that the hub and so the other instances never hear of, or hear of
// for ever.
TEST_F(server_words_test, leaving_server_is_told_until_its_record_says_so)
{
    board_.leaves("s1", 1);
    ASSERT_EQ(board_.leaving_untold().size(), 1U);
    EXPECT_EQ(board_.leaving_untold()[0].backend, "s1");
    auto told = server("s1");
    told.draining = true;
    board_.put(told);
    EXPECT_TRUE(board_.leaving_untold().empty());
}

// Guards against requests that wait out a pause longer than their callers do: the soonest
// end is told.
TEST_F(server_words_test, all_paused_tells_the_soonest_end)
{
    board_.pauses("s1", 1, seconds(30), now_);
    EXPECT_EQ(share_of("s2"), 100);
    board_.pauses("s2", 1, seconds(5), now_);
    auto const choice = choose();
    EXPECT_EQ(choice.outcome, choice_outcome::paused);
    EXPECT_EQ(choice.free_at, now_ + seconds(5));
    now_ += seconds(5);
    EXPECT_EQ(choose().outcome, choice_outcome::chosen);
}

// Guards against a longer pause that outlives the server's latest word.
TEST_F(server_words_test, latest_pause_counts_also_a_shorter_one)
{
    board_.pauses("s1", 1, seconds(60), now_);
    board_.pauses("s1", 1, seconds(1), now_);
    now_ += milliseconds(1001);
    EXPECT_GT(share_of("s1"), 0);
    board_.pauses("s1", 1, seconds(60), now_);
    board_.pauses("s1", 1, duration::zero(), now_);
    EXPECT_GT(share_of("s1"), 0);
}

/// A service of one server that turns requests away beyond what it bears, and requests
/// that wait for it: five are asked for in each 10 ms and take 100 ms each.
class pause_end_test : public testing::TestWithParam<int>
{
protected:
    static constexpr std::uint32_t borne = 4;
    static constexpr duration service_time = milliseconds(100);
    static constexpr duration tick = milliseconds(10);

    pause_end_test() { board_.put(server("s1")); }

    void finish_ended()
    {
        while (!running_.empty() && running_.front() <= now_)
        {
            running_.pop_front();
            board_.answered("s1");
            board_.finished("s1");
        }
    }

    /// Sends what may be sent of five requests; returns how many were.
    int send_some()
    {
        int sent = 0;
        for (; sent < 5; ++sent)
        {
            auto const choice = board_.choose({"plain", {}, 0, {}}, now_);
            if (choice.outcome != choice_outcome::chosen)
                break;
            board_.sent("s1");
            running_.push_back(now_ + service_time);
        }
        return sent;
    }

    time_point now_{seconds(100)};
    std::deque<time_point> running_;
    backend_board board_{"a", 7};
};

// Guards against a crowd at the end of a pause: the requests that waited come as one and
// are turned away again.
TEST_P(pause_end_test, requests_that_waited_come_no_faster_than_the_server_bore)
{
    seconds const pause(GetParam());
    for (std::uint32_t i = 0; i <= borne; ++i)
        board_.sent("s1");
    board_.pauses("s1", 1, pause, now_);
    for (std::uint32_t i = 0; i <= borne; ++i)
        board_.finished("s1");
    auto const end = now_ + pause;
    int during = 0;
    for (; now_ < end; now_ += tick)
        during += send_some();
    EXPECT_EQ(during, 0);
    EXPECT_EQ(send_some(), static_cast<int>(borne));
    std::size_t most = 0;
    for (; now_ < end + service_time; now_ += tick)
    {
        finish_ended();
        send_some();
        most = std::max(most, running_.size());
    }
    EXPECT_EQ(most, borne);
    // It rises by one with each answer, and is free after a second without a refusal.
    for (; now_ < end + seconds(1); now_ += tick)
    {
        finish_ended();
        send_some();
    }
    finish_ended();
    EXPECT_EQ(send_some(), 5);
}

INSTANTIATE_TEST_SUITE_P(pauses, pause_end_test, testing::Values(1, 5, 30));

// Guards against a release that sends its load to servers that have left: servers leave
// one after the other under full load, each told by an answer alone.
TEST(release_test, servers_leave_one_after_the_other_load_goes_to_those_that_stay)
{
    constexpr int servers = 6;
    backend_board board("a", 7);
    time_point now{seconds(100)};
    for (int i = 0; i < servers; ++i)
    {
        auto record = server("s" + std::to_string(i));
        record.slots = 1000;
        board.put(record);
    }
    for (int left = 0; left < servers; ++left)
    {
        std::map<std::string, int> sent;
        for (int i = 0; i < 600; ++i, now += milliseconds(1))
        {
            auto const choice = board.choose({"plain", {}, 0, {}}, now);
            ASSERT_EQ(choice.outcome, choice_outcome::chosen);
            ++sent[choice.backend->id];
            board.sent(choice.backend->id);
        }
        EXPECT_EQ(sent.size(), static_cast<std::size_t>(servers - left));
        for (auto const& [id, count] : sent)
        {
            EXPECT_GT(count, 600 / (servers - left) / 2) << id;
            for (int i = 0; i < count; ++i)
                board.finished(id);
        }
        board.leaves("s" + std::to_string(left), 1);
    }
    EXPECT_EQ(board.choose({"plain", {}, 0, {}}, now).outcome,
              choice_outcome::no_backend);
}

// Guards against a word that is not understood and taken all the same, or logged with
// each answer.
TEST(unclear_word_test, unclear_word_is_news_once_for_each_server)
{
    server_words words;
    EXPECT_TRUE(words.unclear("s1"));
    EXPECT_FALSE(words.unclear("s1"));
    EXPECT_TRUE(words.unclear("s2"));
}

} // namespace
} // namespace carawayturn::entry
