#include "transport/entry/request_flow.hpp"

#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow_detail.hpp"

#include <algorithm>

namespace carawayturn::entry
{

using namespace flow;

std::string_view request_flow::name_of(attempt_outcome outcome)
{
    static constexpr std::array<std::string_view, 9> names{
        "delivered",      "caller_gone", "not_run", "not_sent",   "unknown",
        "server_failure", "broken_off",  "late",    "handed_over"};
    return names.at(static_cast<std::size_t>(outcome));
}

request_flow::request_flow(entry_services& services,
                           http::request<http::string_body>& request,
                           answer_writer& writer, time_point arrival)
    : services_(services), request_(request), writer_(writer), arrival_(arrival),
      head_(platform::decode_request(request)), turn_signal_(services.io),
      answer_memory_(services.answers, free_answer_bytes)
{
}

void request_flow::interrupt()
{
    if (exchange_)
        exchange_->close();
    if (silent_)
        silent_->exchange->close();
    if (auto const socket = connecting_.lock())
        socket->close();
    turn_signal_.notify();
    services_.changes.notify();
}

void request_flow::abandon()
{
    abandoned_ = true;
    interrupt();
}

void request_flow::stop()
{
    stopped_ = true;
    interrupt();
}

std::optional<request_flow::refusal> request_flow::admit()
{
    auto const now = boot_now();
    auto& authority = services_.authority;
    config_ = authority.current();
    if (!config_ || !services_.backends.evacuated().known())
        return refusal{refusal_reason::no_configuration, retry_soon};
    // Without an id, an answer to this request could not be distinguished from answers to
    // other requests.
    if (head_.id.empty())
        return refusal{refusal_reason::request_id_missing, {}};
    // An unknown route or key is reported as such only if the newest configuration is in
    // force. Otherwise the caller is asked to retry.
    bool const current = authority.may_serve_keyed(now) && !authority.outdated();
    route_ = config_->find_route(head_.host, head_.path);
    if (route_ == nullptr)
        return current ? refusal{refusal_reason::route_unknown, {}}
                       : refusal{refusal_reason::configuration_stale, retry_soon};
    if (config_->keys_required() && !route_->is_public)
    {
        if (!authority.may_serve_keyed(now))
            return refusal{refusal_reason::configuration_stale, retry_later};
        organisation_ = config_->find_organisation_by_key(head_.key);
        if (organisation_ == nullptr)
            return current ? refusal{refusal_reason::key_unknown, {}}
                           : refusal{refusal_reason::configuration_stale, retry_soon};
    }
    std::uint32_t total = 0;
    for (auto const& target : route_->targets)
        total += target.weight;
    auto pick = services_.random() % std::max(total, 1U);
    for (auto const& target : route_->targets)
    {
        service_ = config_->find_service(target.service);
        if (pick < target.weight)
            break;
        pick -= target.weight;
    }
    if (service_ == nullptr)
        return refusal{refusal_reason::service_unknown, retry_later};
    set_crash_signatures();
    if (blocked_for_crashes())
        return refusal{refusal_reason::request_crashes_servers, {}};
    if (!service_->engine)
        head_.model = {};
    if (route_->kind == request_kind::stream && route_->resumable)
    {
        continuation_.take_up(head_.resume_after);
        resumes_stream_ = !continuation_.last_id().empty();
    }
    set_deadlines();
    if (start_deadline_ <= now)
        return refusal{refusal_reason::deadline_unreachable, {}};
    if (services_.draining() && route_->kind == request_kind::stream &&
        !services_.shutdown->may_begin_stream(arrival_, deadline_))
        return refusal{refusal_reason::draining, retry_elsewhere};
    return std::nullopt;
}

void request_flow::set_crash_signatures()
{
    crash_signatures_.request =
        request_signature({request_.target().data(), request_.target().size()},
                          organisation_ ? organisation_->name : "", request_.body());
    auto const count = std::min(head_.shared_parts.size(), max_tracked_parts);
    for (std::size_t i = 0; i < count; ++i)
        crash_signatures_.parts.push_back(
            part_signature(service_->name, head_.shared_parts[i]));
}

bool request_flow::blocked_for_crashes() const
{
    if (!services_.crashes.is_blocked(crash_signatures_))
        return false;
    services_.crashes.note_refused(crash_signatures_, boot_now());
    return true;
}

void request_flow::set_deadlines()
{
    auto const budget =
        std::min(head_.deadline.value_or(default_deadline), route_->timeout);
    deadline_ = arrival_ + budget - answer_margin;
    start_deadline_ = deadline_;
    if (route_->kind == request_kind::stream)
    {
        auto const patience = std::max(
            {min_abandon_time, abandon_latency_factor * route_->latency_objective,
             abandon_gap_factor * route_->gap_objective});
        start_deadline_ = std::min(deadline_, arrival_ + patience - answer_margin);
    }
}

task<void> request_flow::wait_for_initial_state()
{
    auto const budget = head_.deadline.value_or(default_deadline) / 2;
    auto const limit = arrival_ + std::min(budget, initial_state_timeout);
    while ((!services_.authority.current() || services_.backends.all().empty() ||
            !services_.backends.evacuated().known()) &&
           !interrupted() && boot_now() < limit)
        co_await services_.changes.wait(limit - boot_now());
}

task<bool> request_flow::run()
{
    if (arrival_ - services_.started_at <= initial_state_timeout)
        co_await wait_for_initial_state();
    if (auto refused = admit())
        co_return co_await refuse(*refused);
    if (auto refused = co_await find_stream_version(); refused && !abandoned_)
        co_return co_await refuse(*refused);
    auto const over_quota = co_await charge_quota();
    if (abandoned_)
    {
        log_caller_gone();
        co_return false;
    }
    if (over_quota)
        co_return co_await refuse(*over_quota);
    services_.retries.count_request(service_->name, boot_now());
    if (may_be_hedged())
        services_.hedges.count_request(route_->name);
    if (!head_.model.model.empty())
        services_.demand.arrived(service_->name, head_.model);
    bool const usable = co_await run_attempts();
    refund_quota();
    co_return usable;
}

task<bool> request_flow::run_attempts()
{
    for (;;)
    {
        auto refused = co_await refresh_evacuations();
        if (!refused)
            refused = co_await choose_server();
        // The request may have been blocked while it waited for a server.
        if (!refused && blocked_for_crashes())
            refused = refusal{refusal_reason::request_crashes_servers, {}};
        if (refused)
        {
            if (abandoned_)
                co_return false;
            denial_ = denial_after(refused->reason);
            if (runs_ > 0 || stream_begun_)
                co_return co_await answer_after(attempt_outcome::unknown);
            co_return co_await refuse(*refused);
        }
        auto const outcome = co_await run_attempt();
        if (abandoned_)
        {
            log_caller_gone();
            co_return false;
        }
        if (!may_repeat(outcome))
            co_return co_await answer_after(outcome);
    }
}

repeat_denial request_flow::denial_after(refusal_reason reason) const
{
    if (reason == refusal_reason::request_crashes_servers)
        return repeat_denial::crashes_servers;
    return stopped_ ? repeat_denial::stopping : repeat_denial::no_server;
}

backend_requirements request_flow::criteria() const
{
    return {service_->name,
            head_.model,
            head_.affinity,
            excluded_,
            services_.starts.queue_limit(work_kind()),
            version_ ? std::string_view(*version_) : std::string_view()};
}

task<void> request_flow::wait_for_change(backend_choice const& choice, time_point now)
{
    bool const behind = waiting_place_ && !waiting_place_->is_first(now);
    auto longest = std::min(start_deadline_ - now,
                            behind ? queued_recheck_interval : recheck_interval);
    if (waiting_place_ && !behind && choice.pause_ends_at > now)
        longest = std::min(longest, choice.pause_ends_at - now);
    auto& signal = waiting_place_ ? turn_signal_ : services_.changes;
    co_await signal.wait(std::max(longest, min_recheck_wait));
}

std::uint32_t request_flow::priority() const
{
    return organisation_ && organisation_->priority ? *organisation_->priority
                                                    : route_->priority;
}

std::optional<request_flow::refusal>
request_flow::waiting_refusal(backend_choice const& choice, time_point waiting_since,
                              time_point now) const
{
    auto const outcome = choice.outcome;
    if (now >= start_deadline_)
        return refusal{refusal_reason::deadline_unreachable, return_time(choice, now)};
    // Another instance can wait longer for a server than this one, which shuts down. A
    // request that may have run, or whose answer has begun, cannot be sent to another
    // instance.
    if (services_.draining() && runs_ == 0 && !stream_begun_)
        return refusal{refusal_reason::draining, retry_elsewhere};
    if (outcome == choice_outcome::paused && choice.pause_ends_at >= start_deadline_)
        return refusal{refusal_reason::servers_paused, choice.pause_ends_at - now};
    if (outcome == choice_outcome::full)
        return refusal{refusal_reason::backends_full, return_time(choice, now)};
    if (outcome == choice_outcome::version_absent)
        return refusal{refusal_reason::stream_version_unavailable, {}};
    if (outcome == choice_outcome::no_backend)
        return refusal{refusal_reason::no_backend, retry_later};
    if (outcome != choice_outcome::model_absent)
        return std::nullopt;
    auto const ready = services_.demand.ready_in(service_->name, head_.model.model, now);
    if (ready && now + *ready > start_deadline_)
        return refusal{refusal_reason::model_too_late, *ready};
    auto const asked_since =
        std::max(waiting_since, services_.hub.last_without_valid_hub());
    if (!ready && now - asked_since > estimate_timeout)
        return refusal{refusal_reason::model_not_placed, retry_later};
    return std::nullopt;
}

task<std::optional<request_flow::refusal>> request_flow::choose_server()
{
    auto const began = boot_now();
    bool waiting = false;
    std::optional<refusal> refused;
    backend_choice choice;
    for (;;)
    {
        auto const now = boot_now();
        if (stopped_)
        {
            refused = refusal{refusal_reason::draining, retry_elsewhere};
            break;
        }
        refused = queue_refusal(choice, now);
        if (refused)
            break;
        choice = next_choice(now);
        if (choice.outcome == choice_outcome::chosen)
        {
            server_ = *choice.backend;
            break;
        }
        // All servers are excluded after earlier attempts of this request. Trying them
        // again is better than refusing the request.
        if (choice.outcome == choice_outcome::full && !excluded_.empty() &&
            choice.backend == nullptr)
        {
            excluded_.clear();
            co_await services_.changes.wait(model_denied_pause);
            if (!abandoned_ && boot_now() < start_deadline_)
                continue;
        }
        refused = waiting_refusal(choice, began, now);
        if (!refused && abandoned_)
            refused = refusal{refusal_reason::caller_gone, {}};
        if (refused)
            break;
        // A request that waits for room is no demand for its model, which is loaded.
        if (!waiting && !choice.queued)
        {
            waiting = true;
            if (choice.lacks_slot)
                services_.metrics.count("cold_requests_without_slot_total");
            services_.demand.waiting_began(service_->name, head_.model);
            services_.hub.send_status_soon();
        }
        co_await wait_for_change(choice, now);
    }
    note_admission(refused);
    if (waiting)
    {
        services_.demand.waiting_ended(service_->name, head_.model);
        services_.metrics.observe_model_wait(boot_now() - began);
    }
    co_return refused;
}

task<bool> request_flow::answer_after(attempt_outcome outcome)
{
    // The head of the answer has been sent, so only the rest of that answer may follow.
    if ((stream_begun_ || answer_begun_) && outcome != attempt_outcome::delivered)
    {
        log_end(stream_begun_ ? "stream_broken" : "answer_broken", 0);
        co_return false;
    }
    // The complete answer of an earlier attempt tells the caller more than a refusal.
    if (failure_answer_ && outcome != attempt_outcome::delivered &&
        outcome != attempt_outcome::caller_gone)
    {
        outcome = attempt_outcome::server_failure;
        answer_head_ = std::move(failure_answer_->head);
        answer_body_ = std::move(failure_answer_->body);
    }
    switch (outcome)
    {
    case attempt_outcome::delivered:
    case attempt_outcome::server_failure:
    {
        services_.metrics.observe_answer_latency(boot_now() - arrival_);
        if (stream_begun_ || answer_begun_)
        {
            log_end(stream_begun_ ? "streamed" : "passed_on", answer_head_.result_int());
            co_return true;
        }
        log_end("answered", answer_head_.result_int());
        co_return co_await writer_.write(answer_head_, std::move(answer_body_));
    }
    case attempt_outcome::caller_gone:
        log_caller_gone();
        co_return false;
    case attempt_outcome::not_sent:
    case attempt_outcome::not_run:
        if (runs_ == 0 && stopped_)
            co_return co_await refuse_unserved(refusal_reason::draining);
        if (runs_ == 0)
            co_return co_await refuse({refusal_reason::not_run_by_backends, retry_soon});
        co_return co_await refuse_unknown_outcome();
    case attempt_outcome::late:
        co_return co_await refuse({refusal_reason::deadline_passed, {}});
    case attempt_outcome::unknown:
    case attempt_outcome::handed_over:
        co_return co_await refuse_unknown_outcome();
    case attempt_outcome::broken_off:
        log_end("answer_broken", 0);
        co_return false;
    }
    co_return false;
}

task<bool> request_flow::refuse_unknown_outcome()
{
    return refuse(
        {stopped_ ? refusal_reason::instance_stopped : refusal_reason::backend_failed,
         {}});
}

task<bool> request_flow::refuse_unserved(refusal_reason reason)
{
    return refuse(
        {reason, reason == refusal_reason::draining ? retry_elsewhere : retry_later});
}

task<bool> request_flow::refuse(refusal why)
{
    http::response_header<> head;
    head.result(status_of(why.reason));
    head.set(http::field::content_type, "application/json");
    platform::set_request_id(head, head_.id);
    if (why.retry_after > duration::zero())
    {
        // Random jitter keeps the callers from retrying all at the same time.
        double const jitter =
            1.0 + static_cast<double>(services_.random() % 250) / 1000.0;
        auto const promised = from_seconds(to_seconds(why.retry_after) * jitter);
        platform::set_retry_after(head, promised);
        services_.metrics.observe_promised_return(promised);
    }
    std::string const name(entry::name_of(why.reason));
    std::string body = R"({"error":{"code":")" + name + R"("}})";
    services_.metrics.count("refused_total{reason=\"" + name + "\"}");
    log_end(name, status_of(why.reason));
    co_return co_await writer_.write(std::move(head), std::move(body));
}

void request_flow::log_caller_gone()
{
    log_end(writer_.timed_out() ? "caller_timed_out" : "caller_gone", 0);
}

void request_flow::log_end(std::string_view outcome, unsigned status)
{
    auto const now = boot_now();
    auto const model = head_.model.str();
    services_.log.write(
        entry_event::request_ended,
        {{"request", head_.id},
         {"outcome", outcome},
         {"status", std::uint64_t{status}},
         {"route", route_ ? std::string_view(route_->name) : std::string_view()},
         {"organisation",
          organisation_ ? std::string_view(organisation_->name) : std::string_view()},
         {"quota_units", static_cast<std::int64_t>(units_)},
         {"quota_rate",
          static_cast<std::int64_t>(organisation_ ? organisation_->rate : 0)},
         {"quota_wait_ms", to_ms(quota_wait_)},
         {"resumes_stream", std::uint64_t{resumes_stream_ ? 1U : 0U}},
         {"model", model},
         {"server", server_.id},
         {"sends", std::uint64_t{sends_}},
         {"resumes", std::string_view(head_.begun_as).substr(0, max_logged_id)},
         {"resume_after", std::string_view(head_.resume_after).substr(0, max_logged_id)},
         {"stream_version", version_ ? std::string_view(*version_) : std::string_view()},
         {"version_source",
          version_source_ ? entry::name_of(*version_source_) : std::string_view()},
         {"not_repeated", entry::name_of(denial_)},
         {"first_event_ms", to_ms(first_event_after_)},
         {"longest_gap_ms", to_ms(longest_gap_)},
         {"expected_start_ms", expected_start_ ? to_ms(*expected_start_) : -1},
         {"queue_wait_ms", to_ms(queue_wait_)},
         {"elapsed_ms", to_ms(now - arrival_)},
         {"config_version", services_.authority.version()},
         {"config_age_ms", to_ms(services_.authority.confirmation_age(now))}});
}

} // namespace carawayturn::entry
