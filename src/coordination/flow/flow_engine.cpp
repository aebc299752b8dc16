#include "coordination/flow/flow_engine.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace carawayturn::flow
{

namespace
{

/// Finished requests that operators can still ask about.
constexpr std::size_t max_recent = 1000;
/// Engines report load with a lag; dispatches of the last half second are counted on top.
constexpr duration assumed_report_lag = std::chrono::milliseconds(500);
/// How often waiting requests are compared with the current estimates.
constexpr duration hopeless_check_interval = std::chrono::milliseconds(250);

std::int64_t milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

boost::json::object describe(open_request const& entry)
{
    boost::json::array steps;
    for (auto const& step : entry.history)
        steps.push_back(
            {{"at_ms", milliseconds(step.at - entry.arrived)}, {"step", step.text}});
    return {
        {"request", entry.request.id.str()}, {"organisation", entry.organisation.str()},
        {"pool", entry.goal.pool.str()},     {"model", entry.request.model},
        {"attempts", entry.attempt},         {"phase", std::string(name_of(entry.phase))},
        {"history", std::move(steps)}};
}

} // namespace

std::string_view name_of(request_phase phase)
{
    static constexpr std::array<std::string_view, 5> names{
        "checking_idempotency", "awaiting_budget", "waiting", "dispatched",
        "verifying_break"};
    return names.at(static_cast<std::size_t>(phase));
}

flow_engine::flow_engine(instance_identity identity, parts collaborators,
                         flow_limits limits)
    : identity_(std::move(identity)), parts_(collaborators), limits_(limits),
      chooser_(identity_.seed, {limits.max_in_flight_per_backend})
{
}

/// Routes each event to the member function that takes it.
struct flow_event_handler
{
    flow_engine& flow;
    time_point now;
    actions& out;

    void operator()(tick const&) const
    {
        flow.expire_deadlines(now, out);
        flow.expire_verification(now, out);
        if (now - flow.hopeless_checked_ >= hopeless_check_interval)
        {
            flow.hopeless_checked_ = now;
            flow.refuse_hopeless(now, out);
        }
    }
    void operator()(request_arrived const& input) const
    {
        flow.arrive(now, input.request, out);
    }
    void operator()(caller_gone const& input) const
    {
        flow.caller_left(now, input.request, out);
    }
    void operator()(dispatch_started const& input) const { flow.attempt_started(input); }
    void operator()(dispatch_progress const& input) const
    {
        flow.attempt_progressed(input);
    }
    void operator()(dispatch_ended const& input) const
    {
        flow.attempt_ended(now, input, out);
    }
    void operator()(budget_decided const& input) const
    {
        flow.decide_budget(now, input, out);
    }
    void operator()(idempotency_decided const& input) const
    {
        flow.decide_idempotency(now, input, out);
    }
    void operator()(config_changed const&) const { flow.recheck_permissions(now, out); }
    void operator()(replicas_changed const&) const { flow.refuse_hopeless(now, out); }
    void operator()(backend_crashed const& input) const
    {
        flow.backend_crash(now, input.backend, out);
    }
    void operator()(report_received const& input) const
    {
        flow.chooser_.note_report(input.report.backend, now - assumed_report_lag);
        flow.backend_alive(now, input.report.backend, out);
    }
    template <class Other>
    void operator()(Other const&) const
    {
    }
};

void flow_engine::handle(time_point now, event const& input, actions& out)
{
    std::visit(flow_event_handler{*this, now, out}, input);
    serve_waiting(now, out);
    report_demand(now, out);
}

open_request* flow_engine::find(request_id const& id)
{
    auto const found = open_.find(id);
    return found == open_.end() ? nullptr : &found->second;
}

open_request* flow_engine::find_attempt(request_id const& id, std::uint32_t attempt)
{
    auto* const entry = find(id);
    return entry != nullptr && entry->attempt == attempt ? entry : nullptr;
}

std::vector<request_id> flow_engine::ids() const
{
    std::vector<request_id> all;
    all.reserve(open_.size());
    for (auto const& [id, entry] : open_)
        all.push_back(id);
    // The map's order depends on the hash function; a fixed order keeps replays
    // identical.
    std::sort(all.begin(), all.end());
    return all;
}

void flow_engine::leave_line(open_request& entry)
{
    if (entry.phase != request_phase::waiting)
        return;
    line_.remove(entry.goal, entry.request.id);
    mark_demand(entry.goal);
}

void flow_engine::report_demand(time_point now, actions& out)
{
    for (auto const& goal : changed_demand_)
    {
        if (!goal.is_plain())
            parts_.placement.set_demand(now, demand_of(goal), out);
    }
    changed_demand_.clear();
}

local_demand flow_engine::demand_of(target const& goal) const
{
    local_demand demand;
    demand.model = goal.model;
    demand.adapter = goal.adapter;
    auto const waiting = line_.ordered(goal);
    demand.waiting = static_cast<std::uint32_t>(waiting.size());
    if (auto const found = arrivals_.find(goal); found != arrivals_.end())
        demand.arrivals = found->second;
    if (waiting.empty())
        return demand;
    auto const oldest = std::min_element(waiting.begin(), waiting.end(),
                                         [](auto const& left, auto const& right)
                                         { return left.since < right.since; });
    auto const tightest = std::min_element(waiting.begin(), waiting.end(),
                                           [](auto const& left, auto const& right)
                                           { return left.deadline < right.deadline; });
    demand.oldest = oldest->since;
    demand.organisation = oldest->organisation;
    demand.tightest_deadline = tightest->deadline;
    return demand;
}

void flow_engine::note(open_request& entry, time_point now, std::string text)
{
    constexpr std::size_t max_history = 40;
    if (entry.history.size() < max_history)
        entry.history.push_back({now, std::move(text)});
}

void flow_engine::remember(open_request& entry, std::string const& outcome,
                           time_point now)
{
    note(entry, now, outcome);
    auto explanation = describe(entry);
    explanation["outcome"] = outcome;
    recent_.push_back({entry.request.id, boost::json::serialize(explanation)});
    if (recent_.size() > max_recent)
        recent_.pop_front();
}

std::string flow_engine::explain(request_id const& request) const
{
    if (auto const found = open_.find(request); found != open_.end())
        return boost::json::serialize(describe(found->second));
    auto const found =
        std::find_if(recent_.rbegin(), recent_.rend(),
                     [&](auto const& entry) { return entry.id == request; });
    return found == recent_.rend() ? std::string{} : found->explanation;
}

std::string flow_engine::dump(time_point now) const
{
    boost::json::array open;
    for (auto const& id : ids())
    {
        auto const& entry = open_.at(id);
        open.push_back({{"request", id.str()},
                        {"organisation", entry.organisation.str()},
                        {"pool", entry.goal.pool.str()},
                        {"model", entry.request.model},
                        {"phase", std::string(name_of(entry.phase))},
                        {"backend", entry.backend.str()},
                        {"age_ms", milliseconds(now - entry.arrived)},
                        {"left_ms", milliseconds(entry.deadline - now)}});
    }
    return boost::json::serialize(boost::json::object{
        {"accepting", accepting_}, {"waiting", line_.size()}, {"open", std::move(open)}});
}

} // namespace carawayturn::flow

namespace carawayturn
{

std::unique_ptr<request_flow>
request_flow::create(instance_identity identity, parts collaborators, flow_limits limits)
{
    return std::make_unique<flow::flow_engine>(std::move(identity), collaborators,
                                               limits);
}

} // namespace carawayturn
