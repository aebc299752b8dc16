#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow.hpp"
#include "transport/entry/request_flow_detail.hpp"

#include <algorithm>
#include <cmath>

// What a request tells the admission control, and what follows from its decisions.
namespace carawayturn::entry
{

using namespace flow;

std::string request_flow::work_kind() const
{
    auto const* const model =
        service_->engine ? service_->engine->find(head_.model.model) : nullptr;
    if (model == nullptr)
        return service_->name;
    return service_->name + "/" + std::to_string(std::lround(model->memory_mb));
}

admission_request request_flow::admission_terms() const
{
    auto kind = work_kind();
    auto const lead_time = services_.starts.lead_time(kind);
    auto const deadline_start = start_deadline_ - lead_time;
    auto objective_start = deadline_start;
    if (route_->latency_objective > duration::zero())
        objective_start =
            std::min(deadline_start, arrival_ + route_->latency_objective - lead_time);
    return {{service_->name + "/" + head_.model.str(), priority(),
             organisation_ ? organisation_->name : std::string(), arrival_,
             objective_start, deadline_start},
            std::move(kind),
            deadline_,
            waiting_place_ ? &*waiting_place_ : nullptr};
}

duration request_flow::return_time(backend_choice const& choice, time_point now) const
{
    return services_.admission
        .return_time(choice, admission_terms(), services_.hub.instances(), now)
        .value_or(retry_later);
}

backend_choice request_flow::next_choice(time_point now)
{
    auto choice = services_.backends.choose(criteria(), now);
    auto request = admission_terms();
    auto const instances = services_.hub.instances();
    services_.admission.apply(choice, request, instances, now);
    if (choice.outcome == choice_outcome::paused && !waiting_place_)
    {
        expected_start_ =
            services_.admission.expected_start(choice, request, instances, now);
        waiting_place_.emplace(services_.waiting, std::move(request.terms),
                               services_.admission.rule_for(choice),
                               [this] { turn_signal_.notify(); });
        waiting_since_ = now;
    }
    if (choice.outcome != choice_outcome::paused)
        leave_queue(now);
    return choice;
}

void request_flow::leave_queue(time_point now)
{
    if (!waiting_place_)
        return;
    waiting_place_.reset();
    queue_wait_ += now - waiting_since_;
    services_.metrics.observe_queue_wait(now - waiting_since_);
}

std::optional<request_flow::refusal>
request_flow::queue_refusal(backend_choice const& last_choice, time_point now)
{
    if (!waiting_place_)
        return std::nullopt;
    // A process that was suspended may find that a waiting request's time has passed.
    if (now >= start_deadline_)
        return refusal{refusal_reason::deadline_unreachable,
                       return_time(last_choice, now)};
    if (waiting_place_->displaced())
        return refusal{refusal_reason::backends_full, return_time(last_choice, now)};
    return std::nullopt;
}

void request_flow::note_admission(std::optional<refusal> const& refused)
{
    auto const now = boot_now();
    leave_queue(now);
    auto const request = admission_terms();
    if (!refused)
        services_.waiting.note_dispatch(request.terms, now);
    else if (refused->reason == refusal_reason::backends_full ||
             refused->reason == refusal_reason::deadline_unreachable)
        services_.waiting.note_refusal(request.terms, now);
}

void request_flow::note_sending(time_point now)
{
    sent_at_ = now;
    occupancy_at_sending_ = {static_cast<double>(std::max(server_.slots, 1U)),
                             services_.backends.requests_at(server_.id, now),
                             services_.backends.load(server_.id).pace.at(now)};
}

void request_flow::note_run_time()
{
    // The times of a request that was sent more than once belong to several servers.
    if (sends_ != 1)
        return;
    auto const begun_at = route_->kind == request_kind::stream
                              ? arrival_ + first_event_after_
                              : head_received_at_;
    services_.starts.note_run(work_kind(), {begun_at - sent_at_, boot_now() - sent_at_},
                              occupancy_at_sending_);
}

} // namespace carawayturn::entry
