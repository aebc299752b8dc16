#include "coordination/entry/placement_detail.hpp"

// The part of placement_planner that deals with runners in evacuated failure domains.
namespace carawayturn::entry
{

using namespace placement;

void placement_planner::set_evacuated(std::set<std::string> domains, time_point now)
{
    if (domains == evacuated_)
        return;
    evacuated_ = std::move(domains);
    for (auto& [id, runner] : runners_)
        update_evacuation(runner, now);
}

void placement_planner::update_evacuation(runner_state& runner, time_point now)
{
    bool const evacuated = evacuated_.count(runner.record.failure_domain) != 0;
    if (evacuated == runner.evacuated)
        return;
    runner.evacuated = evacuated;
    if (!evacuated)
    {
        // The runner may have finished orders or dropped models in the meantime.
        runner.wait_for_report(now);
        return;
    }
    runner.evacuated_at = now;
    runner.planned_load.reset();
    runner.models_to_unload.clear();
}

void placement_planner::drop_unobserved_loads(time_point now)
{
    for (auto& [id, runner] : runners_)
    {
        if (!runner.evacuated)
            continue;
        if (runner.current_load &&
            now > runner.current_load->started +
                      load_timeout_factor * runner.current_load->load_time)
            runner.current_load.reset();
        if (now > runner.evacuated_at + unobserved_order_time)
            runner.runs_previous_hub_order = false;
    }
}

} // namespace carawayturn::entry
