#include "coordination/instance_core.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace carawayturn
{
namespace
{

using namespace std::chrono_literals;

class instance_core_test : public ::testing::Test
{
protected:
    static constexpr duration drain_notice = 1s;
    static constexpr duration drain_limit = 20s;
    /// The notice, half a second for the last writes and two ticks.
    static constexpr duration idle_drain_time = drain_notice + 500ms + 2 * tick_interval;

    static core_settings settings()
    {
        core_settings chosen;
        chosen.identity.id = instance_id("entry-0");
        chosen.identity.incarnation = 1;
        chosen.identity.peer_address = {"127.0.0.1", 7000};
        chosen.drain = {drain_notice, drain_limit};
        return chosen;
    }

    static listed_instance entry(std::string const& id)
    {
        return {id,    "entry", "", {"127.0.0.1", 8000}, 7001, failure_domain_id("a"),
                false, 1};
    }

    static listed_instance runner(bool leaving)
    {
        return {
            "runner-0", "runner", "chat", {"127.0.0.1", 9000}, 0, failure_domain_id("a"),
            leaving,    3};
    }

    actions run(duration period)
    {
        actions all;
        for (duration passed{0}; passed < period; passed += tick_interval)
        {
            now_ += tick_interval;
            auto done = core_.handle(now_, tick{});
            std::move(done.begin(), done.end(), std::back_inserter(all));
        }
        return all;
    }

    static bool gossips_leaving(actions const& all, backend_id const& backend)
    {
        return std::any_of(
            all.begin(), all.end(),
            [&](action const& done)
            {
                auto const* const sent = std::get_if<send_peer>(&done);
                auto const* const message =
                    sent == nullptr ? nullptr : std::get_if<gossip>(&sent->message);
                return message != nullptr &&
                       std::any_of(message->leaving.begin(), message->leaving.end(),
                                   [&](auto const& gone)
                                   { return gone.first == backend; });
            });
    }

    void begin_drain(std::size_t busy_connections)
    {
        (void)core_.handle(now_, callers_busy{busy_connections});
        (void)core_.handle(now_, drain_requested{});
    }

    static bool ends_drain(actions const& all)
    {
        return std::any_of(all.begin(), all.end(),
                           [](action const& done)
                           { return std::holds_alternative<drain_finished>(done); });
    }

    time_point now_{1h};
    instance_core core_{settings()};
};

// Guards against instances whose list still shows a leaving server as live: they learn of
// it by gossip only.
TEST_F(instance_core_test, leaving_server_is_passed_on_by_gossip)
{
    (void)core_.handle(now_, instances_listed{{entry("entry-1"), runner(false)}});
    EXPECT_FALSE(gossips_leaving(run(1s), backend_id("runner-0")));
    (void)core_.handle(now_, instances_listed{{entry("entry-1"), runner(true)}});
    EXPECT_TRUE(gossips_leaving(run(1s), backend_id("runner-0")));
}

TEST_F(instance_core_test, request_before_any_configuration_is_refused_not_run)
{
    caller_request request;
    request.id = request_id("r");
    request.path = "/v1/chat/completions";
    auto const done = core_.handle(now_, request_arrived{request});
    auto const found = std::find_if(
        done.begin(), done.end(),
        [](auto const& each) { return std::holds_alternative<refuse_request>(each); });
    ASSERT_NE(found, done.end());
    EXPECT_EQ(std::get<refuse_request>(*found).reason.ran, execution::not_run);
}

// Guards against callers' connections without a request that hold up the end.
TEST_F(instance_core_test, drain_without_busy_connections_ends_after_notice)
{
    begin_drain(0);
    EXPECT_FALSE(ends_drain(run(drain_notice)));
    EXPECT_TRUE(ends_drain(run(idle_drain_time - drain_notice)));
}

// Guards against a process that ends while a request is being read, which no component
// counts as open yet.
TEST_F(instance_core_test, drain_with_busy_connection_ends_after_its_answer)
{
    begin_drain(1);
    EXPECT_FALSE(ends_drain(run(10s)));
    EXPECT_FALSE(ends_drain(core_.handle(now_, callers_busy{0})));
    EXPECT_TRUE(ends_drain(run(1s)));
}

// Guards against a caller that never completes its request and holds up the end.
TEST_F(instance_core_test, drain_with_busy_connection_ends_after_limit)
{
    begin_drain(1);
    EXPECT_FALSE(ends_drain(run(drain_limit - tick_interval)));
    EXPECT_TRUE(ends_drain(run(1s)));
}

// Guards against a request that begins to arrive during the last writes and is cut as
// these end.
TEST_F(instance_core_test, connection_busy_during_last_writes_delays_end)
{
    begin_drain(0);
    EXPECT_FALSE(ends_drain(run(idle_drain_time - 200ms)));
    (void)core_.handle(now_, callers_busy{1});
    EXPECT_FALSE(ends_drain(run(5s)));
    EXPECT_TRUE(ends_drain(core_.handle(now_, callers_busy{0})));
}

// Guards against refused requests that follow each other closely, with no tick between
// one and the next, and hold up the end until the limit.
TEST_F(instance_core_test, moment_without_busy_connection_between_ticks_ends_drain)
{
    begin_drain(1);
    EXPECT_FALSE(ends_drain(run(drain_notice + 1s)));
    (void)core_.handle(now_, callers_busy{0});
    (void)core_.handle(now_, callers_busy{1});
    EXPECT_FALSE(ends_drain(run(1s)));
    EXPECT_TRUE(ends_drain(core_.handle(now_, callers_busy{0})));
}

} // namespace
} // namespace carawayturn
