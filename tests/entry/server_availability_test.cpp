#include "coordination/entry/backend_selector.hpp"
#include "coordination/entry/server_availability.hpp"

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

/// A fixture with two servers of one service and a clock that the test sets.
class server_availability_test : public testing::Test
{
protected:
    server_availability_test()
    {
        backends_.put(server("s1"));
        backends_.put(server("s2"));
    }

    [[nodiscard]] backend_choice choose()
    {
        return backends_.choose({"plain", {}, 0, {}}, now_);
    }

    /// Returns how many of 100 choices select the server.
    [[nodiscard]] int times_chosen(std::string const& id)
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
    backend_selector backends_{"a", 7};
};

// Guards against requests for a server that announced that it is leaving while its entry
// in the store shows it as ready, still or again.
TEST_F(server_availability_test, leaving_server_is_not_chosen_whatever_its_record_says)
{
    EXPECT_TRUE(backends_.note_leaving("s1", 1));
    EXPECT_EQ(times_chosen("s1"), 0);
    backends_.put(server("s1"));
    EXPECT_EQ(times_chosen("s1"), 0);
    backends_.remove("s1");
    backends_.put(server("s1"));
    EXPECT_EQ(times_chosen("s1"), 0);
    EXPECT_EQ(times_chosen("s2"), 100);
    EXPECT_FALSE(backends_.note_leaving("s1", 1));
}

// Guards against a restarted server that gets no requests.
TEST_F(server_availability_test, new_incarnation_clears_leaving_and_pause)
{
    backends_.note_leaving("s1", 1);
    backends_.note_pause("s2", 1, seconds(60), now_);
    backends_.put(server("s1", 2));
    backends_.put(server("s2", 2));
    EXPECT_GT(times_chosen("s1"), 0);
    EXPECT_GT(times_chosen("s2"), 0);
}

// Guards against a late answer of a former incarnation that takes its successor out of
// service.
TEST_F(server_availability_test, late_answer_of_a_former_incarnation_is_ignored)
{
    backends_.put(server("s1", 2));
    backends_.note_leaving("s1", 2);
    backends_.put(server("s1", 3));
    EXPECT_FALSE(backends_.note_leaving("s1", 1));
    backends_.note_pause("s1", 2, seconds(60), now_);
    EXPECT_GT(times_chosen("s1"), 0);
}

// Guards against sending a request to a server that announced a pause, or that it is
// leaving, after it was selected for the request.
TEST_F(server_availability_test,
       server_that_became_unavailable_after_the_choice_is_not_sent_to)
{
    auto const chosen = *choose().backend;
    EXPECT_TRUE(backends_.may_send(chosen, now_));
    backends_.note_pause(chosen.id, chosen.born_ms, seconds(1), now_);
    EXPECT_FALSE(backends_.may_send(chosen, now_));
    EXPECT_TRUE(backends_.may_send(chosen, now_ + seconds(1)));
    backends_.note_leaving(chosen.id, chosen.born_ms);
    EXPECT_FALSE(backends_.may_send(chosen, now_ + seconds(1)));
}

// Guards against an announcement that the hub, and so the other instances, never
// receives, or that is sent to the hub forever.
TEST_F(server_availability_test, leaving_server_is_reported_until_its_record_is_draining)
{
    backends_.note_leaving("s1", 1);
    ASSERT_EQ(backends_.unreported_leaving().size(), 1U);
    EXPECT_EQ(backends_.unreported_leaving()[0].backend, "s1");
    auto told = server("s1");
    told.draining = true;
    backends_.put(told);
    EXPECT_TRUE(backends_.unreported_leaving().empty());
}

// Guards against requests that wait longer than their callers because the end of the
// earliest pause is not returned.
TEST_F(server_availability_test, all_paused_returns_the_earliest_pause_end)
{
    backends_.note_pause("s1", 1, seconds(30), now_);
    EXPECT_EQ(times_chosen("s2"), 100);
    backends_.note_pause("s2", 1, seconds(5), now_);
    auto const choice = choose();
    EXPECT_EQ(choice.outcome, choice_outcome::paused);
    EXPECT_EQ(choice.pause_ends_at, now_ + seconds(5));
    now_ += seconds(5);
    EXPECT_EQ(choose().outcome, choice_outcome::chosen);
}

// Guards against a longer pause that stays in effect after the server announced a shorter
// one.
TEST_F(server_availability_test, later_shorter_pause_replaces_an_earlier_one)
{
    backends_.note_pause("s1", 1, seconds(60), now_);
    backends_.note_pause("s1", 1, seconds(1), now_);
    now_ += milliseconds(1001);
    EXPECT_GT(times_chosen("s1"), 0);
    backends_.note_pause("s1", 1, seconds(60), now_);
    backends_.note_pause("s1", 1, duration::zero(), now_);
    EXPECT_GT(times_chosen("s1"), 0);
}

/// A service with one server that rejects requests beyond a limit of `sustained`. Five
/// requests are attempted every 10 ms, and each takes 100 ms.
class pause_end_test : public testing::TestWithParam<int>
{
protected:
    static constexpr std::uint32_t sustained = 4;
    static constexpr duration service_time = milliseconds(100);
    static constexpr duration tick = milliseconds(10);

    pause_end_test() { backends_.put(server("s1")); }

    void finish_due_requests()
    {
        while (!running_.empty() && running_.front() <= now_)
        {
            running_.pop_front();
            backends_.note_answered("s1");
            backends_.note_finished("s1");
        }
    }

    /// Tries to send five requests; returns how many were sent.
    int send_up_to_five()
    {
        int sent = 0;
        for (; sent < 5; ++sent)
        {
            auto const choice = backends_.choose({"plain", {}, 0, {}}, now_);
            if (choice.outcome != choice_outcome::chosen)
                break;
            backends_.note_sent("s1");
            running_.push_back(now_ + service_time);
        }
        return sent;
    }

    time_point now_{seconds(100)};
    std::deque<time_point> running_;
    backend_selector backends_{"a", 7};
};

// Guards against a burst at the end of a pause, in which all waiting requests arrive at
// once and are rejected again.
TEST_P(pause_end_test, requests_in_flight_after_a_pause_stay_within_the_sustained_number)
{
    seconds const pause(GetParam());
    for (std::uint32_t i = 0; i <= sustained; ++i)
        backends_.note_sent("s1");
    backends_.note_pause("s1", 1, pause, now_);
    for (std::uint32_t i = 0; i <= sustained; ++i)
        backends_.note_finished("s1");
    auto const end = now_ + pause;
    int during = 0;
    for (; now_ < end; now_ += tick)
        during += send_up_to_five();
    EXPECT_EQ(during, 0);
    EXPECT_EQ(send_up_to_five(), static_cast<int>(sustained));
    std::size_t max_running = 0;
    for (; now_ < end + service_time; now_ += tick)
    {
        finish_due_requests();
        send_up_to_five();
        max_running = std::max(max_running, running_.size());
    }
    EXPECT_EQ(max_running, sustained);
    // The limit rises by one with each answer and is lifted one second after the pause.
    for (; now_ < end + seconds(1); now_ += tick)
    {
        finish_due_requests();
        send_up_to_five();
    }
    finish_due_requests();
    EXPECT_EQ(send_up_to_five(), 5);
}

INSTANTIATE_TEST_SUITE_P(pauses, pause_end_test, testing::Values(1, 5, 30));

// Guards against a rolling release in which requests go to servers that have left: the
// servers leave one after the other under full load, and only an answer announces each.
TEST(rolling_release_test, load_moves_to_the_servers_that_stay)
{
    constexpr int servers = 6;
    backend_selector backends("a", 7);
    time_point now{seconds(100)};
    for (int i = 0; i < servers; ++i)
    {
        auto record = server("s" + std::to_string(i));
        record.slots = 1000;
        backends.put(record);
    }
    for (int left = 0; left < servers; ++left)
    {
        std::map<std::string, int> sent;
        for (int i = 0; i < 600; ++i, now += milliseconds(1))
        {
            auto const choice = backends.choose({"plain", {}, 0, {}}, now);
            ASSERT_EQ(choice.outcome, choice_outcome::chosen);
            ++sent[choice.backend->id];
            backends.note_sent(choice.backend->id);
        }
        EXPECT_EQ(sent.size(), static_cast<std::size_t>(servers - left));
        for (auto const& [id, count] : sent)
        {
            EXPECT_GT(count, 600 / (servers - left) / 2) << id;
            for (int i = 0; i < count; ++i)
                backends.note_finished(id);
        }
        backends.note_leaving("s" + std::to_string(left), 1);
    }
    EXPECT_EQ(backends.choose({"plain", {}, 0, {}}, now).outcome,
              choice_outcome::no_backend);
}

// Guards against a malformed notice that is logged with each answer instead of once.
TEST(malformed_header_test, malformed_header_is_new_once_for_each_server)
{
    server_availability availability;
    EXPECT_TRUE(availability.note_malformed_header("s1"));
    EXPECT_FALSE(availability.note_malformed_header("s1"));
    EXPECT_TRUE(availability.note_malformed_header("s2"));
}

} // namespace
} // namespace carawayturn::entry
