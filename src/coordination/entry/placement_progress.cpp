#include "coordination/entry/placement_detail.hpp"

namespace carawayturn::entry
{

using namespace placement;

void placement_planner::load_accepted(runner_state& runner, runner_order const& order,
                                      time_point now)
{
    if (!order.target.adapter.empty())
    {
        runner.arriving[order.target] = now + adapter_arrival;
        return;
    }
    if (!runner.goal)
        return;
    runner.loading = std::move(runner.goal);
    runner.goal.reset();
    runner.loading->started = now;
    runner.loading->store_width = store_loads();
    runner.next_report = now + runner.loading->load_time;
}

void placement_planner::unload_done(runner_state& runner, model_key const& target)
{
    runner.confirmed.erase(target);
    if (target.adapter.empty())
    {
        std::erase(runner.victims, target.model);
        std::erase_if(runner.confirmed, [&](auto const& entry)
                      { return entry.first.model == target.model; });
        std::erase_if(runner.record.models,
                      [&](held_model const& held) { return held.name == target.model; });
    }
    else if (auto* const held = find_held(runner.record, target.model))
    {
        std::erase(held->adapters, target.adapter);
    }
    changed_.insert(runner.record.id);
}

void placement_planner::order_answered(runner_order const& order, order_outcome outcome,
                                       time_point now)
{
    auto const found = runners_.find(order.runner);
    if (found == runners_.end())
        return;
    auto& runner = found->second;
    if (!runner.order_out)
        return;
    runner.order_out = false;
    switch (outcome)
    {
    case order_outcome::accepted:
    case order_outcome::done:
        runner.order_count = order.expected_count + 1;
        runner.records_old_until = now + record_lag;
        if (order.what == runner_order::action::unload && !order.target.adapter.empty() &&
            outcome == order_outcome::accepted)
        {
            // A request uses the adapter; it keeps its place until a report lacks it.
            runner.doubt_until_report(now + report_lag);
        }
        else if (order.what == runner_order::action::unload)
        {
            unload_done(runner, order.target);
            if (order.target.adapter.empty())
                runner.not_before = now + unload_time;
        }
        else
            load_accepted(runner, order, now);
        break;
    case order_outcome::conflict:
        runner.doubt_until_report(now + report_interval);
        break;
    case order_outcome::unknown:
        runner.doubt_until_report(now + report_lag);
        break;
    case order_outcome::rejected:
        runner.goal.reset();
        runner.victims.clear();
        runner.doubt_until_report(now + report_lag);
        runner.not_before = now + refusal_pause;
        break;
    }
}

std::vector<std::string> placement_planner::wanted_reports(time_point now)
{
    std::vector<std::string> wanted;
    for (auto& [id, runner] : runners_)
    {
        if (runner.report_out || runner.order_out || now < runner.next_report)
            continue;
        if (!runner.unsure && !runner.loading)
            continue;
        runner.report_out = true;
        wanted.push_back(id);
    }
    return wanted;
}

void placement_planner::learn_store_width(job const& done, time_point now)
{
    if (!done.from_store || done.store_width == 0)
        return;
    double const took = to_seconds(now - done.started - report_lag);
    double const ratio = took / std::max(to_seconds(done.load_time), 0.1);
    if (ratio > shared_load_ratio)
        store_width_ = std::clamp(done.store_width / ratio, 1.0, store_width_);
    else if (done.store_width + 1 > store_width_)
        store_width_ = std::min(store_width_ + store_width_step, max_store_width);
}

void placement_planner::load_done(runner_state& runner, time_point now)
{
    auto const done = *runner.loading;
    runner.loading.reset();
    learn_store_width(done, now);
    runner.confirmed[done.target] = now;
    if (!contains(runner.record.cached_on_disk, done.target.model))
        runner.record.cached_on_disk.push_back(done.target.model);
    changed_.insert(runner.record.id);
}

void placement_planner::reported(std::string const& id, runner_report const& report,
                                 time_point now)
{
    auto const found = runners_.find(id);
    if (found == runners_.end())
        return;
    auto& runner = found->second;
    runner.report_out = false;
    runner.next_report = now + report_interval;
    if (report.born_ms && *report.born_ms != runner.record.born_ms)
    {
        auto record = runner.record;
        runner = {};
        runner.record = std::move(record);
        runner.record.born_ms = *report.born_ms;
        runner.record.models = report.models;
        runner.next_report = now + report_lag;
        changed_.insert(id);
        return;
    }
    bool const current = report.order_count >= runner.order_count;
    if (runner.unsure)
    {
        runner.inherited_order = runner.inherited && report.busy;
        if (report.busy || !current)
            return;
        runner.unsure = runner.inherited = false;
        runner.order_count = report.order_count;
        runner.confirmed.clear();
        runner.arriving.clear();
        adopt(runner, models_with_pending(report), now);
        if (runner.goal && holds(runner.record, runner.goal->target.model))
            runner.goal.reset();
        if (!runner.goal)
            runner.victims.clear();
        std::erase_if(runner.victims, [&](std::string const& model)
                      { return !holds(runner.record, model); });
        return;
    }
    if (!runner.loading || !current)
        return;
    auto const taken = now - runner.loading->started;
    if (holds_model(report.models, runner.loading->target.model))
    {
        load_done(runner, now);
        adopt(runner, report.models, now);
    }
    else
    {
        // An idle runner without the model has dropped the load; a busy one may be slow.
        auto const patience = report.busy ? give_up_factor * runner.loading->load_time
                                          : runner.loading->load_time;
        if (taken <= patience + 2 * report_lag)
            return;
        runner.loading.reset();
        runner.unsure = true;
    }
}

void placement_planner::report_failed(std::string const& id, time_point now)
{
    auto const found = runners_.find(id);
    if (found == runners_.end())
        return;
    found->second.report_out = false;
    found->second.next_report = now + report_lag;
}

} // namespace carawayturn::entry
