#include "coordination/entry/placement_detail.hpp"

namespace carawayturn::entry
{

using namespace placement;

void placement_planner::load_accepted(runner_state& runner, runner_order const& order,
                                      time_point now)
{
    if (!order.target.adapter.empty())
    {
        runner.loading_adapters[order.target] = now + adapter_load_time;
        return;
    }
    if (!runner.planned_load)
        return;
    runner.current_load = std::move(runner.planned_load);
    runner.planned_load.reset();
    runner.current_load->started = now;
    runner.current_load->concurrent_store_loads = pending_store_loads();
    runner.next_report = now + runner.current_load->load_time;
}

void placement_planner::unload_done(runner_state& runner, model_key const& target)
{
    runner.confirmed_at.erase(target);
    if (target.adapter.empty())
    {
        std::erase(runner.models_to_unload, target.model);
        std::erase_if(runner.confirmed_at, [&](auto const& entry)
                      { return entry.first.model == target.model; });
        std::erase_if(runner.record.models, [&](loaded_model const& held)
                      { return held.name == target.model; });
    }
    else if (auto* const held = find_held(runner.record, target.model))
    {
        std::erase(held->adapters, target.adapter);
    }
    changed_.insert(runner.record.id);
}

void placement_planner::record_order_outcome(runner_order const& order,
                                             order_outcome outcome, time_point now)
{
    auto const found = runners_.find(order.runner);
    if (found == runners_.end())
        return;
    auto& runner = found->second;
    if (!runner.order_pending)
        return;
    runner.order_pending = false;
    switch (outcome)
    {
    case order_outcome::accepted:
    case order_outcome::done:
        runner.order_count = order.expected_count + 1;
        runner.records_stale_until = now + record_delay;
        if (order.operation == runner_order::action::unload &&
            !order.target.adapter.empty() && outcome == order_outcome::accepted)
        {
            // A request is using the adapter, which keeps its slot until a report no
            // longer contains it.
            runner.wait_for_report(now + report_delay);
        }
        else if (order.operation == runner_order::action::unload)
        {
            unload_done(runner, order.target);
            if (order.target.adapter.empty())
                runner.orders_blocked_until = now + unload_time;
        }
        else
            load_accepted(runner, order, now);
        break;
    case order_outcome::conflict:
        runner.wait_for_report(now + report_interval);
        break;
    case order_outcome::unknown:
        runner.wait_for_report(now + report_delay);
        break;
    case order_outcome::rejected:
        runner.planned_load.reset();
        runner.models_to_unload.clear();
        runner.wait_for_report(now + report_delay);
        runner.orders_blocked_until = now + refusal_pause;
        break;
    }
}

std::vector<std::string> placement_planner::take_due_reports(time_point now)
{
    std::vector<std::string> wanted;
    for (auto& [id, runner] : runners_)
    {
        if (runner.evacuated || runner.report_pending || runner.order_pending ||
            now < runner.next_report)
            continue;
        if (!runner.state_unknown && !runner.current_load)
            continue;
        runner.report_pending = true;
        wanted.push_back(id);
    }
    return wanted;
}

void placement_planner::update_store_concurrency(load_task const& done, time_point now)
{
    if (!done.from_store || done.concurrent_store_loads == 0)
        return;
    double const seconds_taken = to_seconds(now - done.started - report_delay);
    double const ratio = seconds_taken / std::max(to_seconds(done.load_time), 0.1);
    if (ratio > slow_load_ratio)
        store_concurrency_ =
            std::clamp(done.concurrent_store_loads / ratio, 1.0, store_concurrency_);
    else if (done.concurrent_store_loads + 1 > store_concurrency_)
        store_concurrency_ =
            std::min(store_concurrency_ + store_concurrency_step, max_store_concurrency);
}

void placement_planner::load_done(runner_state& runner, time_point now)
{
    auto const done = *runner.current_load;
    runner.current_load.reset();
    update_store_concurrency(done, now);
    runner.confirmed_at[done.target] = now;
    if (!contains(runner.record.cached_on_disk, done.target.model))
        runner.record.cached_on_disk.push_back(done.target.model);
    changed_.insert(runner.record.id);
}

void placement_planner::apply_report(std::string const& id, runner_report const& report,
                                     time_point now)
{
    auto const found = runners_.find(id);
    if (found == runners_.end())
        return;
    auto& runner = found->second;
    runner.report_pending = false;
    runner.next_report = now + report_interval;
    if (report.born_ms && *report.born_ms != runner.record.born_ms)
    {
        auto record = runner.record;
        runner = {};
        runner.record = std::move(record);
        runner.record.born_ms = *report.born_ms;
        runner.record.models = report.models;
        runner.next_report = now + report_delay;
        update_evacuation(runner, now);
        changed_.insert(id);
        return;
    }
    bool const up_to_date = report.order_count >= runner.order_count;
    if (runner.state_unknown)
    {
        runner.runs_previous_hub_order = runner.never_reported && report.busy;
        if (report.busy || !up_to_date)
            return;
        runner.state_unknown = runner.never_reported = false;
        runner.order_count = report.order_count;
        runner.confirmed_at.clear();
        runner.loading_adapters.clear();
        set_models(runner, models_with_pending(report), now);
        if (runner.planned_load &&
            holds(runner.record, runner.planned_load->target.model))
            runner.planned_load.reset();
        if (!runner.planned_load)
            runner.models_to_unload.clear();
        std::erase_if(runner.models_to_unload, [&](std::string const& model)
                      { return !holds(runner.record, model); });
        return;
    }
    if (!runner.current_load || !up_to_date)
        return;
    auto const elapsed = now - runner.current_load->started;
    if (holds_model(report.models, runner.current_load->target.model))
    {
        load_done(runner, now);
        set_models(runner, report.models, now);
    }
    else
    {
        // An idle runner without the model has dropped the load; a busy one may still be
        // loading.
        auto const load_timeout =
            report.busy ? load_timeout_factor * runner.current_load->load_time
                        : runner.current_load->load_time;
        if (elapsed <= load_timeout + 2 * report_delay)
            return;
        runner.current_load.reset();
        runner.state_unknown = true;
    }
}

void placement_planner::record_report_failure(std::string const& id, time_point now)
{
    auto const found = runners_.find(id);
    if (found == runners_.end())
        return;
    found->second.report_pending = false;
    found->second.next_report = now + report_delay;
}

} // namespace carawayturn::entry
