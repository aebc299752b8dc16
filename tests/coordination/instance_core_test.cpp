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
    static core_settings settings()
    {
        core_settings chosen;
        chosen.identity.id = instance_id("entry-0");
        chosen.identity.incarnation = 1;
        chosen.identity.peer_address = {"127.0.0.1", 7000};
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

} // namespace
} // namespace carawayturn
