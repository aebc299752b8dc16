#include "coordination/entry/quota_queue.hpp"

#include "state/entry/time_units.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>

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

class quota_queue_test : public testing::Test
{
protected:
    void SetUp() override
    {
        bank_.reset(0);
        static_cast<void>(queue_.settle(1, terms_of, at(0)));
        static_cast<void>(bank_.grant("org", terms, 1, 0, at(0)));
    }
    quota_decision ask(std::uint64_t id, double units, std::uint32_t priority,
                       duration wait, int ms, std::string instance = "a")
    {
        queue_.heard(instance, 1, at(ms));
        return queue_.request(
            {"org", {std::move(instance), 1, id, units, priority, {}}, 0, wait}, terms,
            at(ms));
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
    std::map<std::uint64_t, int> granted_;
    std::map<std::uint64_t, int> refused_;
};

// Guards against a request that is refused although its units accrue within its time.
TEST_F(quota_queue_test, request_that_can_be_paid_in_time_waits_and_is_granted)
{
    EXPECT_EQ(ask(1, 5000, 1, seconds(2), 0).verdict, quota_verdict::queued);
    run(60, 2000);
    ASSERT_TRUE(granted_.contains(1));
    EXPECT_NEAR(granted_[1], 500, 70);
}

// Guards against a refusal whose Retry-After names a time at which there are no units.
TEST_F(quota_queue_test, request_that_cannot_be_paid_in_time_is_told_when_it_can)
{
    auto const refused = ask(1, 4000, 1, milliseconds(300), 0);
    ASSERT_EQ(refused.verdict, quota_verdict::refused);
    EXPECT_NEAR(to_seconds(refused.retry_after), 0.4, 0.01);
    // The same with others that wait: a request that returns is first by its latest
    // start.
    EXPECT_EQ(ask(2, 5000, 1, seconds(5), 0).verdict, quota_verdict::queued);
    run(60, 360);
    EXPECT_EQ(ask(3, 4000, 1, milliseconds(300), 410).verdict, quota_verdict::granted);
}

// Guards against a patient request that makes a hurried one of its priority too late, or
// is made too late by it.
TEST_F(quota_queue_test, hurried_request_passes_a_patient_one_and_both_start)
{
    EXPECT_EQ(ask(1, 5000, 1, seconds(10), 0).verdict, quota_verdict::queued);
    EXPECT_EQ(ask(2, 3000, 1, seconds(1), 100).verdict, quota_verdict::queued);
    run(120, 2000);
    ASSERT_TRUE(granted_.contains(1) && granted_.contains(2));
    EXPECT_LT(granted_[2], granted_[1]);
    EXPECT_LT(granted_[2], 1100);
}

// Guards against a hurried request that is accepted and makes a waiting one too late.
TEST_F(quota_queue_test, hurried_request_that_would_make_a_waiting_one_late_is_refused)
{
    EXPECT_EQ(ask(1, 8000, 1, milliseconds(1000), 0).verdict, quota_verdict::queued);
    EXPECT_EQ(ask(2, 3000, 1, milliseconds(500), 0).verdict, quota_verdict::refused);
    run(60, 1000);
    EXPECT_TRUE(granted_.contains(1));
}

// Guards against a queue full of patient requests that refuses every hurried one of its
// priority because a patient one would be late.
TEST_F(quota_queue_test, queue_full_of_patient_requests_takes_a_hurried_one)
{
    std::uint64_t id = 1;
    while (ask(id, 1000, 1, seconds(8), 0).verdict == quota_verdict::queued)
        ++id;
    EXPECT_GT(id, 50U);
    EXPECT_EQ(ask(999, 1000, 1, seconds(1), 0).verdict, quota_verdict::queued);
    run(60, 8100);
    EXPECT_TRUE(granted_.contains(999));
    EXPECT_EQ(granted_.size(), id);
}

// Guards against a valuable request that waits behind cheap ones.
TEST_F(quota_queue_test, request_of_a_higher_priority_is_granted_first)
{
    for (std::uint64_t id = 1; id <= 4; ++id)
        EXPECT_EQ(ask(id, 2000, 5, seconds(8), 0).verdict, quota_verdict::queued);
    EXPECT_EQ(ask(9, 2000, 1, seconds(8), 10).verdict, quota_verdict::queued);
    run(60, 300);
    EXPECT_TRUE(granted_.contains(9));
    EXPECT_EQ(granted_.size(), 1U);
}

// Guards against a lower priority that gets nothing, or more than its share, while higher
// ones ask for several times the rate.
TEST_F(quota_queue_test, lower_priority_keeps_its_share)
{
    std::uint64_t id = 1;
    std::map<std::uint64_t, bool> low;
    for (int ms = 0; ms < 20000; ms += 60)
    {
        for (int i = 0; i < 3; ++i)
            if (ask(id++, 700, 1, seconds(4), ms).verdict == quota_verdict::granted)
                granted_[id - 1] = ms;
        low[id] = true;
        static_cast<void>(ask(id++, 700, 5, seconds(15), ms));
        run(ms, ms);
    }
    double units = 0;
    for (auto const& [granted, ms] : granted_)
        units += low.contains(granted) ? 700 : 0;
    EXPECT_GT(units / (20 * terms.rate), 0.06);
    EXPECT_LT(units / (20 * terms.rate), 0.14);
}

// Guards against requests that cannot wait and find no units because waiting ones take
// each as it accrues.
TEST_F(quota_queue_test, request_that_cannot_wait_is_served_while_others_wait)
{
    std::uint64_t id = 1;
    std::map<std::uint32_t, int> served;
    for (int ms = 0; ms < 20000; ms += 60)
    {
        for (int i = 0; i < 4; ++i)
            static_cast<void>(ask(id++, 500, 5, seconds(10), ms));
        for (std::uint32_t const priority : {5U, 6U})
        {
            auto const decision = ask(id++, 120, priority, duration::zero(), ms);
            served[priority] += decision.verdict == quota_verdict::granted ? 1 : 0;
        }
        run(ms, ms);
    }
    // Each of the two priorities asks for a fifth of the rate. The lower one may get a
    // tenth of it.
    EXPECT_GT(served[5], 20000 / 60 * 7 / 10);
    EXPECT_GT(served[6], 20000 / 60 * 3 / 10);
    EXPECT_LT(served[6], 20000 / 60 * 6 / 10);
}

// Guards against one instance whose many requests keep those of another waiting.
TEST_F(quota_queue_test, requests_of_two_instances_take_turns)
{
    for (std::uint64_t id = 1; id <= 20; ++id)
        EXPECT_EQ(ask(id, 500, 1, seconds(10), 0).verdict, quota_verdict::queued);
    for (std::uint64_t id = 101; id <= 103; ++id)
        EXPECT_EQ(ask(id, 500, 1, seconds(10), 0, "b").verdict, quota_verdict::queued);
    run(60, 480);
    EXPECT_TRUE(granted_.contains(101) && granted_.contains(103));
}

// Guards against units for a request whose caller has left or whose instance restarted or
// is gone.
TEST_F(quota_queue_test, requests_that_no_longer_exist_are_not_granted)
{
    EXPECT_EQ(ask(1, 1000, 1, seconds(20), 0, "cancels").verdict, quota_verdict::queued);
    EXPECT_EQ(ask(2, 1000, 1, seconds(20), 0, "restarts").verdict, quota_verdict::queued);
    EXPECT_EQ(ask(3, 90000, 1, seconds(20), 0, "gone").verdict, quota_verdict::queued);
    EXPECT_EQ(queue_.waiting(), 3U);
    queue_.cancel("cancels", {1});
    queue_.heard("restarts", 2, at(10));
    EXPECT_EQ(queue_.waiting(), 1U);
    // The bucket is never full, so the large request waits until its instance is gone.
    for (int ms = 60; ms <= 5000; ms += 60)
    {
        bank_.take("org", 600);
        run(ms, ms);
    }
    EXPECT_EQ(queue_.waiting(), 0U);
    EXPECT_TRUE(granted_.empty());
}

// Guards against a queue of unlimited size, and against one that is full of cheap
// requests when a valuable one arrives.
TEST_F(quota_queue_test, full_queue_refuses_its_lowest_priority_first)
{
    std::uint64_t id = 1;
    while (ask(id, 1, 5, seconds(60), 0).verdict == quota_verdict::queued)
        ++id;
    EXPECT_EQ(queue_.waiting(), 1024U);
    EXPECT_EQ(ask(9001, 1, 1, seconds(60), 0).verdict, quota_verdict::queued);
    EXPECT_EQ(queue_.waiting(), 1024U);
    run(60, 60);
    EXPECT_EQ(refused_.size(), 1U);
}

// Guards against a request that waits until its end although requests of a higher
// priority have made it impossible to pay in time.
TEST_F(quota_queue_test, displaced_request_is_refused_before_its_time_is_over)
{
    EXPECT_EQ(ask(1, 9000, 5, seconds(3), 0).verdict, quota_verdict::queued);
    for (std::uint64_t id = 2; id < 8; ++id)
        EXPECT_EQ(ask(id, 6000, 1, seconds(9), 60).verdict, quota_verdict::queued);
    run(120, 1200);
    EXPECT_TRUE(refused_.contains(1));
}

// Guards against more units than the window's bound, whatever asks, leaves and changes.
TEST(quota_queue_property_test, grants_stay_within_the_bound_over_any_window)
{
    constexpr int window_ms = 8000;
    for (unsigned seed = 1; seed <= 30; ++seed)
    {
        std::mt19937 random(seed);
        hub_quota bank;
        quota_queue queue(bank);
        bank.reset(1.0);
        std::deque<std::pair<int, double>> window;
        double spent = 0;
        double most = 0;
        auto const spend = [&](int ms, double units)
        {
            window.emplace_back(ms, units);
            spent += units;
            for (; window.front().first <= ms - window_ms; window.pop_front())
                spent -= window.front().second;
            most = std::max(most, spent);
        };
        for (int ms = 0; ms < 40000; ms += 10)
        {
            for (unsigned i = random() % 6; i > 0; --i)
            {
                std::string const instance(1, static_cast<char>('a' + random() % 8));
                queue.heard(instance, 1 + random() % 400 / 399, at(ms));
                quota_claim const claim{instance,
                                        1,
                                        random(),
                                        1.0 + random() % 3000,
                                        static_cast<std::uint32_t>(random() % 4),
                                        {},
                                        random() % 2 == 0};
                auto const decision = queue.request(
                    {"org", claim, random() % 500 * 1.0,
                     milliseconds(random() % 3 == 0 ? 0 : random() % 20000)},
                    terms, at(ms));
                spend(ms, decision.units);
                if (random() % 10 == 0)
                    queue.cancel(instance, {claim.id});
            }
            for (auto const& item : queue.settle(8, terms_of, at(ms)))
                spend(ms, item.units);
            if (ms % 13000 == 12990)
            {
                bank.reset(0.3);
                queue.clear();
            }
        }
        double const bound = (terms.rate * 8 + terms.burst) * 1.1 + 11000;
        EXPECT_LE(most, bound) << "seed " << seed;
        EXPECT_GT(most, terms.rate * 8 * 0.9) << "seed " << seed;
    }
}

/// A kind of request in the comparison of orders.
struct kind
{
    std::string_view name;
    std::uint32_t priority = 0;
    double units = 0;
    int interval_ms = 0;
    int wait_ms = 0;
};

/// An organisation that sends three times its rate for half a minute, then a third of it.
constexpr std::array<kind, 4> kinds{{{"valuable, patient", 1, 800, 125, 25000},
                                     {"valuable, hurried", 1, 200, 50, 2000},
                                     {"cheap, hurried", 5, 200, 12, 2000},
                                     {"cheap, cannot wait", 5, 100, 40, 0}}};
constexpr int busy_ms = 30000;
constexpr int end_ms = 60000;

struct load_result
{
    std::array<int, kinds.size()> sent{};
    std::array<int, kinds.size()> served{};

    [[nodiscard]] double share(std::size_t number) const
    {
        return double(served.at(number)) / sent.at(number);
    }
};

/// Calls `arrive(kind, id, ms)` for each request of the load, and `step(ms)` every 10 ms.
template <class Arrive, class Step>
void play(load_result& result, Arrive arrive, Step step)
{
    std::uint64_t id = 1;
    for (int ms = 0; ms < end_ms; ++ms)
    {
        for (std::size_t i = 0; i < kinds.size(); ++i)
        {
            int const interval = kinds.at(i).interval_ms * (ms < busy_ms ? 1 : 9);
            if (ms % interval != 0)
                continue;
            ++result.sent.at(i);
            arrive(i, id++, ms);
        }
        if (ms % 10 == 0)
            step(ms);
    }
}

enum class simple_order
{
    no_queue,
    arrival,
    priority
};

/// Plays the load with requests that are refused when they cannot be paid at once, or
/// that wait in a plain order until their time is over.
load_result play_simple(simple_order order)
{
    struct item
    {
        std::size_t kind;
        int limit;
    };
    load_result result;
    hub_quota bank;
    bank.reset(1.0);
    std::map<std::pair<std::uint32_t, std::uint64_t>, item> queue;
    auto const step = [&](int ms)
    {
        while (!queue.empty())
        {
            auto const& [number, limit] = queue.begin()->second;
            if (limit >= ms)
            {
                if (bank.grant("org", terms, kinds.at(number).units, 0, at(ms)).units ==
                    0)
                    return;
                ++result.served.at(number);
            }
            queue.erase(queue.begin());
        }
    };
    auto const arrive = [&](std::size_t number, std::uint64_t id, int ms)
    {
        auto const& kind = kinds.at(number);
        auto const rank = order == simple_order::priority ? kind.priority : 0;
        queue.emplace(std::pair(rank, id), item{number, ms + kind.wait_ms});
        step(ms);
        if (order == simple_order::no_queue || kind.wait_ms == 0)
            queue.erase(std::pair(rank, id));
    };
    play(result, arrive, step);
    return result;
}

load_result play_queue()
{
    load_result result;
    hub_quota bank;
    quota_queue queue(bank);
    bank.reset(1.0);
    std::map<std::uint64_t, std::size_t> kind_of;
    auto const arrive = [&](std::size_t number, std::uint64_t id, int ms)
    {
        auto const& kind = kinds.at(number);
        std::string const instance(1, static_cast<char>('a' + id % 8));
        queue.heard(instance, 1, at(ms));
        kind_of[id] = number;
        auto const decision =
            queue.request({"org",
                           {instance, 1, id, kind.units, kind.priority, {}},
                           0,
                           milliseconds(kind.wait_ms)},
                          terms, at(ms));
        result.served.at(number) += decision.verdict == quota_verdict::granted ? 1 : 0;
    };
    auto const step = [&](int ms)
    {
        for (auto const& item : queue.settle(8, terms_of, at(ms)))
            result.served.at(kind_of[item.id]) += item.units > 0 ? 1 : 0;
    };
    play(result, arrive, step);
    return result;
}

// Guards against valuable requests that are refused although they can wait until the
// organisation sends less, and against kinds that starve.
TEST(quota_order_test, valuable_requests_are_served_and_no_kind_starves)
{
    auto const none = play_simple(simple_order::no_queue);
    auto const arrival = play_simple(simple_order::arrival);
    auto const priority = play_simple(simple_order::priority);
    auto const queue = play_queue();
    for (std::size_t i = 0; i < kinds.size(); ++i)
        std::printf("| %s | %.2f | %.2f | %.2f | %.2f |\n", kinds.at(i).name.data(),
                    none.share(i), arrival.share(i), priority.share(i), queue.share(i));
    EXPECT_GT(queue.share(0), 0.9);
    EXPECT_GT(queue.share(0), none.share(0) + 0.2);
    EXPECT_GT(queue.share(1), arrival.share(1) + 0.2);
    for (std::size_t i = 0; i < kinds.size(); ++i)
        EXPECT_GT(queue.share(i), 0.1) << kinds.at(i).name;
}

} // namespace
} // namespace carawayturn::entry
