#include "faults/fault.hpp"

namespace carawayturn::bench
{

namespace
{

using namespace std::chrono_literals;

void nothing(fleet&, std::size_t) {}

void kill(fleet& target, std::size_t instance)
{
    target.kill(instance);
}
void restart(fleet& target, std::size_t instance)
{
    target.restart(instance);
}
void pause_past_lease(fleet& target, std::size_t instance)
{
    target.pause(instance, 10s);
}
void pause_briefly(fleet& target, std::size_t instance)
{
    target.pause(instance, 1500ms);
}
void store_down(fleet& target, std::size_t)
{
    target.table().down = true;
}
void store_up(fleet& target, std::size_t)
{
    target.table().down = false;
}
void store_slow(fleet& target, std::size_t)
{
    target.table().latency = 400ms;
}
void store_fast(fleet& target, std::size_t)
{
    target.table().latency = 2ms;
}
void lose_answer(fleet& target, std::size_t)
{
    target.table().lose_answers = 1;
}
void lose_answers(fleet& target, std::size_t)
{
    target.table().lose_answers = 6;
}
void messages_lost(fleet& target, std::size_t)
{
    target.network().loss = 0.5;
}
void messages_doubled(fleet& target, std::size_t)
{
    target.network().duplication = 1;
}
void messages_reordered(fleet& target, std::size_t)
{
    target.network().jitter = 700ms;
}
void network_whole(fleet& target, std::size_t)
{
    target.network() = {};
}
void isolate(fleet& target, std::size_t instance)
{
    target.network().isolated.insert(instance_id("entry-" + std::to_string(instance)));
}
void isolate_majority(fleet& target, std::size_t instance)
{
    // The others lose the store and each other; only the striking instance keeps the
    // store.
    for (std::size_t index = 0; index < target.size(); ++index)
    {
        if (index != instance)
            target.network().isolated.insert(
                instance_id("entry-" + std::to_string(index)));
    }
}
void crash_runner(fleet& target, std::size_t)
{
    target.crash_engine(0, 3s);
}
void crash_all_runners(fleet& target, std::size_t)
{
    for (std::size_t index = 0; index < target.engines().size(); ++index)
        target.crash_engine(index, 3s);
}
void leave_runner(fleet& target, std::size_t)
{
    target.leave_engine(1);
}
void slow_weights(fleet& target, std::size_t)
{
    target.weights().slowdown = 10;
}
void fast_weights(fleet& target, std::size_t)
{
    target.weights().slowdown = 1;
}
void drain(fleet& target, std::size_t instance)
{
    target.drain(instance);
}

constexpr fault_kind kinds[] = {
    {"none", nothing, nothing, false},
    {"crash_before", kill, restart, false},
    {"crash_after", kill, restart, true},
    {"crash_for_good", kill, nothing, true},
    {"pause_past_lease", pause_past_lease, nothing, false},
    {"pause_past_lease_after", pause_past_lease, nothing, true},
    {"pause_briefly", pause_briefly, nothing, true},
    {"store_down", store_down, store_up, false},
    {"store_slow", store_slow, store_fast, false},
    {"answer_lost", lose_answer, nothing, false},
    {"answers_lost", lose_answers, nothing, false},
    {"messages_lost", messages_lost, network_whole, false},
    {"messages_doubled", messages_doubled, network_whole, false},
    {"messages_reordered", messages_reordered, network_whole, false},
    {"isolated", isolate, network_whole, false},
    {"majority_isolated", isolate_majority, network_whole, false},
    {"runner_crash", crash_runner, nothing, true},
    {"all_servers_crash", crash_all_runners, nothing, true},
    {"runner_leaves", leave_runner, nothing, false},
    {"weights_slow", slow_weights, fast_weights, false},
    {"drain", drain, restart, true},
};

} // namespace

std::span<fault_kind const> fault_kinds()
{
    return kinds;
}

} // namespace carawayturn::bench
