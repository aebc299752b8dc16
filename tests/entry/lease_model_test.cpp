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
    /// The steps to the first violation found, by a shortest path; empty if there is
    /// none.
    std::string violation;
};

class explorer
{
public:
    explicit explorer(model_scenario const& scenario) : scenario_(scenario) {}

    /// Searches breadth-first, so that the path to a violation is as short as possible.
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
                    if (!take_step(state, path, step, depth + 1 < scenario_.depth, next))
                        return result_;
            frontier = std::move(next);
        }
        return result_;
    }

private:
    struct path_end
    {
        std::uint32_t previous;
        step last;
    };

    bool take_step(checker_state const& state, std::uint32_t path, step const& step,
                   bool extend_path,
                   std::vector<std::pair<checker_state, std::uint32_t>>& next)
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
        if (!extend_path)
            return true;
        paths_.push_back({path, step});
        next.emplace_back(std::move(after),
                          static_cast<std::uint32_t>(paths_.size() - 1));
        return true;
    }

    std::string describe_path(std::uint32_t path, step const& last) const
    {
        std::vector<step> steps{last};
        for (; path != 0; path = paths_[path].previous)
            steps.push_back(paths_[path].last);
        checker_state replayed(scenario_);
        std::string out = scenario_.begins_with_holder
                              ? "A has just claimed the lease and all instances know it\n"
                              : "all instances start and the store has no lease row\n";
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

// The time steps of the scenarios reach the relevant times after a renewal: the next
// renewal is due after 0.8 s, the last order is sent before 1.9 s, the holder's lease
// ends at 2.1 s, the term ends at 2.4 s, and other instances may claim after 2.7 s.

// Guards against two holders at the same time when renewals and claims take effect or are
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

// Guards against two first holders, and against a holder that claims a lease whose state
// it does not know.
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

// Guards against margins that do not cover clocks of different rates. With these rates,
// in true time, the holder's lease ends at 2.28 s and the next claim is possible at 2.50
// s.
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

// Guards against a process that acts as holder after it released the lease, whether its
// writes took effect or not.
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

// Guards against orders that are sent or arrive after those of the next holder.
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

// Guards against an order that was prepared under an earlier lease and is sent after this
// lease was lost and claimed again.
TEST(lease_model_test, lease_claimed_again_orders_arrive_in_fencing_order)
{
    model_scenario scenario;
    scenario.orders = true;
    scenario.slow_orders = true;
    scenario.immediate_reactions = true;
    scenario.time_steps = {milliseconds(300), milliseconds(2700)};
    scenario.depth = 9;
    expect_no_violation(scenario);
}

// Guards against instances that trust the remaining time that another instance states for
// longer than the lease lasts.
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

// Guards against a late answer to an old write that makes an instance the holder again
// after it received the row of the next holder.
TEST(lease_model_test, rows_told_and_slow_writes_one_holder_at_a_time)
{
    model_scenario scenario;
    scenario.slow_writes = true;
    scenario.told_rows = true;
    scenario.time_steps = {milliseconds(900), milliseconds(2700)};
    scenario.depth = 8;
    expect_no_violation(scenario);
}

// Guards against orders of a killed process that arrive after those of another instance.
TEST(lease_model_test, killed_holder_orders_arrive_in_fencing_order)
{
    model_scenario scenario;
    scenario.terminations = 1;
    scenario.restarts = 1;
    scenario.orders = true;
    scenario.slow_orders = true;
    scenario.immediate_reactions = true;
    scenario.time_steps = {milliseconds(700), milliseconds(1800)};
    scenario.depth = 7;
    expect_no_violation(scenario);
}

// Guards against instances that alternate as holders while they are cut off or restarted
// one after another.
TEST(lease_model_test, restarts_in_turn_holders_do_not_alternate)
{
    model_scenario scenario;
    scenario.terminations = 2;
    scenario.restarts = 2;
    scenario.orders = true;
    scenario.immediate_reactions = true;
    scenario.time_steps = {milliseconds(300), milliseconds(2700)};
    scenario.depth = 8;
    expect_no_violation(scenario);
}

} // namespace
} // namespace carawayturn::entry::lease_model
