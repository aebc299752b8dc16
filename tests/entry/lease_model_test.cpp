#include "entry/lease_model.hpp"

#include <cstdio>
#include <gtest/gtest.h>
#include <unordered_set>
#include <utility>

namespace carawayturn::entry::lease_model
{
namespace
{

struct exploration
{
    std::size_t states = 0;
    std::size_t steps = 0;
    /// The path to the first violation that was found, which is a shortest one.
    std::string violation;
};

class explorer
{
public:
    explicit explorer(model_scenario const& scenario) : scenario_(scenario) {}

    /// Breadth first, so that a violation has a shortest path.
    exploration explore()
    {
        std::vector<std::pair<checker_state, std::uint32_t>> frontier;
        frontier.emplace_back(checker_state(scenario_), 0);
        seen_.insert(frontier.front().first.state_digest());
        paths_.push_back({0, {}});
        for (int depth = 0; depth < scenario_.depth; ++depth)
        {
            std::vector<std::pair<checker_state, std::uint32_t>> next;
            for (auto const& [state, path] : frontier)
                for (auto const& step : state.steps())
                    if (!follow(state, path, step, depth + 1 < scenario_.depth, next))
                        return result_;
            frontier = std::move(next);
        }
        return result_;
    }

private:
    struct path_end
    {
        std::uint32_t before;
        step last;
    };

    bool follow(checker_state const& state, std::uint32_t path, step const& step,
                bool goes_on, std::vector<std::pair<checker_state, std::uint32_t>>& next)
    {
        auto after = state;
        after.apply(step);
        ++result_.steps;
        auto const wrong = after.violation();
        if (!wrong.empty())
        {
            result_.violation = describe_path(path, step) + "then: " + wrong;
            return false;
        }
        if (!seen_.insert(after.state_digest()).second)
            return true;
        ++result_.states;
        if (!goes_on)
            return true;
        paths_.push_back({path, step});
        next.emplace_back(std::move(after),
                          static_cast<std::uint32_t>(paths_.size() - 1));
        return true;
    }

    std::string describe_path(std::uint32_t path, step const& last) const
    {
        std::vector<step> steps{last};
        for (; path != 0; path = paths_[path].before)
            steps.push_back(paths_[path].last);
        checker_state replayed(scenario_);
        std::string out = scenario_.begins_with_holder
                              ? "A has just claimed the lease and all know it\n"
                              : "all start and there is no row\n";
        for (auto next = steps.rbegin(); next != steps.rend(); ++next)
        {
            out += replayed.describe(*next) + "\n";
            replayed.apply(*next);
        }
        return out;
    }

    model_scenario scenario_;
    exploration result_;
    std::unordered_set<std::uint64_t> seen_;
    std::vector<path_end> paths_;
};

void expect_no_violation(model_scenario const& scenario)
{
    auto const result = explorer(scenario).explore();
    testing::Test::RecordProperty("states", static_cast<int>(result.states));
    testing::Test::RecordProperty("steps", static_cast<int>(result.steps));
    std::printf("%zu states, %zu steps, depth %d\n", result.states, result.steps,
                scenario.depth);
    EXPECT_EQ(result.violation, "");
}

// The steps of time reach the moments that matter: a renewal is due after 0.8 s, the last
// order leaves before 1.9 s, the holder's right ends at 2.1 s, the term at 2.4 s, and
// others claim after 2.7 s.

// Guards against two holders at one time whose renewals and claims take effect or are
// answered late.
TEST(lease_model_test, slow_writes_one_holder_at_a_time)
{
    model_scenario scenario;
    scenario.lost_answers = true;
    scenario.slow_writes = true;
    scenario.time_steps = {milliseconds(300), milliseconds(2100)};
    scenario.depth = 9;
    expect_no_violation(scenario);
}

// Guards against two first holders, and against one that takes a lease of unknown state.
TEST(lease_model_test, first_start_one_holder_at_a_time)
{
    model_scenario scenario;
    scenario.begins_with_holder = false;
    scenario.lost_answers = true;
    scenario.slow_writes = true;
    scenario.restarts = 2;
    scenario.time_steps = {milliseconds(300), milliseconds(2100)};
    scenario.depth = 7;
    expect_no_violation(scenario);
}

// Guards against margins that do not cover clocks of different rates. With these rates
// the right ends at 2.28 s and the next claim comes at 2.50 s of true time.
TEST(lease_model_test, clocks_of_different_rates_one_holder_at_a_time)
{
    model_scenario scenario;
    scenario.clock_rate = {92, 108, 100};
    scenario.lost_answers = true;
    scenario.slow_writes = true;
    scenario.time_steps = {milliseconds(250), milliseconds(2250)};
    scenario.depth = 8;
    expect_no_violation(scenario);
}

// Guards against a process that gave its lease back and acts as holder, whatever became
// of its writes.
TEST(lease_model_test, terminations_and_restarts_one_holder_at_a_time)
{
    model_scenario scenario;
    scenario.lost_answers = true;
    scenario.slow_writes = true;
    scenario.terminations = 2;
    scenario.restarts = 2;
    scenario.orders = true;
    scenario.time_steps = {milliseconds(300), milliseconds(2100)};
    scenario.depth = 7;
    expect_no_violation(scenario);
}

// Guards against orders that leave or arrive after the next holder's.
TEST(lease_model_test, slow_orders_arrive_in_fencing_order)
{
    model_scenario scenario;
    scenario.terminations = 2;
    scenario.orders = true;
    scenario.slow_orders = true;
    scenario.time_steps = {milliseconds(200), milliseconds(700), milliseconds(1800)};
    scenario.depth = 8;
    expect_no_violation(scenario);
}

// Guards against an order of an earlier holding that leaves after the lease was lost and
// claimed again.
TEST(lease_model_test, lease_claimed_again_orders_arrive_in_fencing_order)
{
    model_scenario scenario;
    scenario.orders = true;
    scenario.slow_orders = true;
    scenario.immediate_reads = true;
    scenario.time_steps = {milliseconds(300), milliseconds(2700)};
    scenario.depth = 9;
    expect_no_violation(scenario);
}

// Guards against instances that believe another one's word on the lease's end too much.
TEST(lease_model_test, rows_told_by_others_orders_arrive_in_fencing_order)
{
    model_scenario scenario;
    scenario.lost_answers = true;
    scenario.told_rows = true;
    scenario.orders = true;
    scenario.slow_orders = true;
    scenario.time_steps = {milliseconds(300), milliseconds(900)};
    scenario.depth = 9;
    expect_no_violation(scenario);
}

// Guards against an answer to an old write that makes an instance the holder again after
// it heard of the next one.
TEST(lease_model_test, rows_told_and_slow_writes_one_holder_at_a_time)
{
    model_scenario scenario;
    scenario.slow_writes = true;
    scenario.told_rows = true;
    scenario.time_steps = {milliseconds(900), milliseconds(2700)};
    scenario.depth = 8;
    expect_no_violation(scenario);
}

// Guards against orders of a process that was killed which arrive after another
// instance's.
TEST(lease_model_test, killed_holder_orders_arrive_in_fencing_order)
{
    model_scenario scenario;
    scenario.terminations = 1;
    scenario.restarts = 1;
    scenario.orders = true;
    scenario.slow_orders = true;
    scenario.immediate_reads = true;
    scenario.time_steps = {milliseconds(700), milliseconds(1800)};
    scenario.depth = 7;
    expect_no_violation(scenario);
}

// Guards against machines that take turns while they are cut off or restarted one after
// another.
TEST(lease_model_test, restarts_in_turn_holders_do_not_alternate)
{
    model_scenario scenario;
    scenario.terminations = 2;
    scenario.restarts = 2;
    scenario.orders = true;
    scenario.immediate_reads = true;
    scenario.time_steps = {milliseconds(300), milliseconds(2700)};
    scenario.depth = 8;
    expect_no_violation(scenario);
}

} // namespace
} // namespace carawayturn::entry::lease_model
