#include "coordination/entry/quota_queue.hpp"
#include "coordination/entry/quota_wait.hpp"

#include "state/entry/time_units.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr quota_terms terms{10000, 10000};

time_point at(int ms)
{
    return time_point{} + milliseconds(100000 + ms);
}

std::optional<quota_terms> terms_of(std::string const& /*organisation*/)
{
    return terms;
}

/// Whether the caller of a request takes a stream up again.
enum class origin
{
    new_request,
    resumed
};

class resumed_quota_queue_test : public testing::Test
{
protected:
    void SetUp() override
    {
        bank_.reset(0);
        static_cast<void>(queue_.settle(1, terms_of, at(0)));
        static_cast<void>(bank_.grant("org", terms, 1, 0, at(0)));
    }
    quota_verdict ask(origin from, double units, std::uint32_t priority, duration wait,
                      int ms)
    {
        queue_.heard("a", 1, at(ms));
        auto const id = ++last_id_;
        auto const decision = queue_.request(
            {"org", {"a", 1, id, units, priority, {}, from == origin::resumed}, 0, wait},
            terms, at(ms));
        if (decision.verdict == quota_verdict::granted)
            granted_[id] = ms;
        return decision.verdict;
    }
    /// Settles every 60 ms until `end` and records when each request was granted (by id),
    /// and which were refused.
    void run(int begin, int end)
    {
        for (int ms = begin; ms <= end; ms += 60)
        {
            queue_.heard("a", 1, at(ms));
            for (auto const& item : queue_.settle(1, terms_of, at(ms)))
                (item.units > 0 ? granted_ : refused_)[item.id] = ms;
        }
    }

    hub_quota bank_;
    quota_queue queue_{bank_};
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, int> granted_;
    std::map<std::uint64_t, int> refused_;
};

// Guards against a stream that is lost half delivered because new requests of its
// priority are paid first.
TEST_F(resumed_quota_queue_test, resumed_stream_is_granted_before_waiting_new_requests)
{
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(ask(origin::new_request, 2000, 1, seconds(8), 0),
                  quota_verdict::queued);
    EXPECT_EQ(ask(origin::resumed, 2000, 1, seconds(20), 10), quota_verdict::queued);
    run(60, 300);
    EXPECT_TRUE(granted_.contains(5));
    EXPECT_EQ(granted_.size(), 1U);
}

// Guards against a resumed stream that is refused because it makes a new request late,
// and against a new request that waits on although it is late.
TEST_F(resumed_quota_queue_test, resumed_stream_may_make_a_new_request_late)
{
    EXPECT_EQ(ask(origin::new_request, 8000, 1, milliseconds(1000), 0),
              quota_verdict::queued);
    EXPECT_EQ(ask(origin::new_request, 3000, 1, milliseconds(500), 10),
              quota_verdict::refused);
    EXPECT_EQ(ask(origin::resumed, 3000, 1, milliseconds(500), 20),
              quota_verdict::queued);
    EXPECT_EQ(ask(origin::resumed, 3000, 1, milliseconds(900), 30),
              quota_verdict::queued);
    run(60, 900);
    EXPECT_TRUE(granted_.contains(3) && granted_.contains(4));
    EXPECT_TRUE(refused_.contains(1));
}

// Guards against resumed streams that wait although they cannot be paid in time.
TEST_F(resumed_quota_queue_test, resumed_stream_that_cannot_be_paid_in_time_is_refused)
{
    EXPECT_EQ(ask(origin::resumed, 8000, 1, seconds(1), 0), quota_verdict::queued);
    EXPECT_EQ(ask(origin::resumed, 3000, 1, milliseconds(500), 10),
              quota_verdict::refused);
    EXPECT_EQ(ask(origin::resumed, 9000, 1, seconds(1), 20), quota_verdict::refused);
    run(60, 1000);
    EXPECT_TRUE(granted_.contains(1));
}

// Guards against a valuable new request that waits behind cheap resumed streams.
TEST_F(resumed_quota_queue_test, new_request_of_a_higher_priority_is_granted_first)
{
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(ask(origin::resumed, 2000, 5, seconds(8), 0), quota_verdict::queued);
    EXPECT_EQ(ask(origin::new_request, 2000, 1, seconds(8), 10), quota_verdict::queued);
    run(60, 300);
    EXPECT_TRUE(granted_.contains(5));
    EXPECT_EQ(granted_.size(), 1U);
}

// Guards against new requests that starve, are refused although their part pays for them,
// or get more than their part while resumed streams ask for several times the rate.
TEST_F(resumed_quota_queue_test, new_requests_keep_a_quarter_beside_resumed_streams)
{
    std::map<std::uint64_t, origin> kinds;
    for (int ms = 0; ms < 20000; ms += 60)
    {
        for (auto const from : {origin::resumed, origin::resumed, origin::new_request})
        {
            static_cast<void>(ask(from, 1000, 1, seconds(2), ms));
            kinds[last_id_] = from;
        }
        run(ms, ms);
    }
    std::map<origin, double> units;
    for (auto const& [id, ms] : granted_)
        units[kinds[id]] += 1000;
    EXPECT_NEAR(units[origin::new_request] / (20 * terms.rate), 0.25, 0.04);
    EXPECT_NEAR(units[origin::resumed] / (20 * terms.rate), 0.75, 0.04);
    EXPECT_LE(units[origin::new_request] + units[origin::resumed],
              20 * terms.rate + 1000);
}

// Guards against a queue that is full of new requests when a resumed stream arrives.
TEST_F(resumed_quota_queue_test, full_queue_refuses_a_new_request_for_a_resumed_stream)
{
    while (ask(origin::new_request, 1, 1, seconds(60), 0) == quota_verdict::queued)
        continue;
    EXPECT_EQ(queue_.waiting(), 1024U);
    EXPECT_EQ(ask(origin::resumed, 1, 1, seconds(60), 0), quota_verdict::queued);
    EXPECT_EQ(queue_.waiting(), 1024U);
    run(60, 60);
    EXPECT_EQ(refused_.size(), 1U);
}

// Guards against streams that are lost when all callers return at once with new requests
// and the hub has just begun.
TEST_F(resumed_quota_queue_test, streams_that_all_return_at_once_go_on_before_new_ones)
{
    serving_route route;
    route.latency_objective = seconds(1);
    auto const patience = 4 * route.latency_objective;
    bank_.reset(0.3);
    queue_.clear();
    std::map<origin, int> sent;
    std::map<std::uint64_t, origin> kinds;
    for (int ms = 0; ms < 6000; ms += 10)
    {
        run(ms, ms);
        // Forty streams return within a second, beside new requests of twice the rate.
        for (auto const from : {origin::new_request, origin::resumed})
        {
            bool const resumed = from == origin::resumed;
            if (ms % (resumed ? 25 : 50) >= 10 || (resumed && ms >= 1000))
                continue;
            auto const longest =
                longest_quota_wait(route, at(ms) + patience, at(ms), resumed);
            static_cast<void>(ask(from, 1000, 1, longest, ms));
            kinds[last_id_] = from;
            ++sent[from];
        }
    }
    std::map<origin, int> served;
    for (auto const& [id, ms] : granted_)
        ++served[kinds[id]];
    auto const share = [&](origin from) { return double(served[from]) / sent[from]; };
    EXPECT_GE(sent[origin::resumed], 30);
    std::printf("resumed: %.2f, new: %.2f\n", share(origin::resumed),
                share(origin::new_request));
    // Without the order and the longer wait, the share of the streams is the smaller one.
    EXPECT_GT(share(origin::resumed), 1.4 * share(origin::new_request));
    EXPECT_LE((served[origin::resumed] + served[origin::new_request]) * 1000,
              6 * terms.rate + 0.3 * terms.burst);
}

class resumed_instance_quota_test : public testing::Test
{
protected:
    bool spend(origin from, double units, int ms)
    {
        return quota_.spend_without_hub("org", terms, units, 10, at(ms),
                                        from == origin::resumed);
    }
    instance_quota quota_;
};

// Guards against a new request that takes the own share of an instance without a hub, and
// leaves a debt, while a resumed stream waits for it.
TEST_F(resumed_instance_quota_test, resumed_stream_is_first_at_the_own_share)
{
    EXPECT_TRUE(spend(origin::new_request, 2000, 0));
    // The debt of 1500 units is paid after 1.5 s.
    {
        resumed_quota_wait const waiting(quota_, "org", true, at(1450));
        EXPECT_FALSE(spend(origin::resumed, 1000, 1450));
        EXPECT_FALSE(spend(origin::new_request, 1000, 1450));
        EXPECT_FALSE(spend(origin::new_request, 1000, 1450));
    }
    resumed_quota_wait const waiting(quota_, "org", true, at(1510));
    EXPECT_FALSE(spend(origin::new_request, 1000, 1510));
    EXPECT_TRUE(spend(origin::resumed, 1000, 1510));
}

// Guards against new requests that get nothing at an instance without a hub while resumed
// streams wait, and against more units than what accrues.
TEST_F(resumed_instance_quota_test, new_requests_keep_a_quarter_of_the_own_share)
{
    std::map<origin, double> units;
    resumed_quota_wait const waiting(quota_, "org", true, at(0));
    for (int ms = 0; ms < 40000; ms += 10)
        for (auto const from : {origin::new_request, origin::resumed})
            units[from] += spend(from, 200, ms) ? 200 : 0;
    double const share = terms.rate / 10;
    EXPECT_NEAR(units[origin::new_request] / (40 * share), 0.25, 0.04);
    EXPECT_LE(units[origin::new_request] + units[origin::resumed],
              (40 + 0.5) * share + 200);
}

// Guards against a part of the own share that stays kept after no stream waits any more,
// and against a request that does not resume a stream but counts as one.
TEST_F(resumed_instance_quota_test, new_request_has_the_own_share_when_no_stream_waits)
{
    {
        resumed_quota_wait const waiting(quota_, "org", true, at(0));
        EXPECT_FALSE(spend(origin::new_request, 100, 0));
    }
    resumed_quota_wait const other(quota_, "org", false, at(0));
    EXPECT_TRUE(spend(origin::new_request, 100, 0));
}

// Guards against a resumed stream that is refused because a new request was, and against
// a new request that is refused because a resumed stream was.
TEST_F(resumed_instance_quota_test, refusal_of_a_new_request_does_not_apply_to_a_stream)
{
    quota_.block("org", 100, at(4000), at(0), {3, seconds(2), false});
    EXPECT_EQ(quota_.blocked_for("org", 100, at(100), {3, seconds(2), true}),
              duration::zero());
    EXPECT_EQ(quota_.blocked_for("org", 100, at(100), {3, seconds(2), false}),
              milliseconds(3900));
    quota_.block("other", 100, at(4000), at(0), {3, seconds(2), true});
    EXPECT_EQ(quota_.blocked_for("other", 100, at(100), {3, seconds(2), false}),
              duration::zero());
    EXPECT_EQ(quota_.blocked_for("other", 100, at(100), {3, seconds(2), true}),
              milliseconds(3900));
}

// Guards against a resumed stream that is refused at once on a route whose new requests
// may not wait so long, and against a wait that leaves no time for the service.
TEST(longest_quota_wait_test, resumed_stream_may_use_the_time_before_its_caller_leaves)
{
    serving_route route;
    route.latency_objective = seconds(1);
    EXPECT_EQ(longest_quota_wait(route, at(4000), at(0), true), seconds(2));
    EXPECT_EQ(longest_quota_wait(route, at(1000), at(0), true), milliseconds(500));
    EXPECT_EQ(longest_quota_wait(route, at(0), at(10), true), duration::zero());
    route.latency_objective = milliseconds(800);
    EXPECT_EQ(longest_quota_wait(route, at(3200), at(0), true), milliseconds(1600));
    EXPECT_EQ(longest_quota_wait(route, at(3200), at(0), false), duration::zero());
}

} // namespace
} // namespace carawayturn::entry
