#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow.hpp"
#include "transport/entry/request_flow_detail.hpp"

#include <algorithm>

// What a request does while its server is silent. A silence alone never ends an exchange:
// the server may go on, and another run may not be available.
namespace carawayturn::entry
{

using namespace flow;

namespace
{

/// Interval at which the silent server is checked for input while another one is asked to
/// take the request over.
constexpr duration handover_poll = std::chrono::milliseconds(50);
/// The same interval for a hedged request, whose first server is expected to answer.
constexpr duration hedge_poll = std::chrono::milliseconds(5);
/// Time in which a runner usually refuses a request that it does not take. If it has not
/// refused a request without a stream by then, the silent runner's connection is closed,
/// so that two runners do not work on the request for long.
constexpr duration refusal_time = std::chrono::milliseconds(200);
/// Longest wait for the next server's first event after its head. Two servers must work
/// on one request for less than 400 ms, and a deadline is noticed up to 50 ms late.
constexpr duration first_event_time = std::chrono::milliseconds(200);

} // namespace

time_point request_flow::first_byte_limit() const
{
    // Half of the remaining time is reserved for an attempt at another server.
    auto const now = boot_now();
    return now + std::max((start_deadline_ - now) / 2, min_stall_time);
}

time_point request_flow::stall_limit(time_point progress) const
{
    return progress + std::max(stall_gap_factor * route_->gap_objective, min_stall_time);
}

bool request_flow::is_silent(time_point silent_at)
{
    auto const now = boot_now();
    if (now < silent_at)
        return false;
    if (!exchange_->has_unread_input())
        return true;
    // After a pause of this process, events may have arrived that were not read yet. What
    // arrives without end, but is no event, counts as silence all the same.
    if (!unread_since_)
        unread_since_ = now;
    return now >= *unread_since_ + min_stall_time;
}

std::optional<backend_record> request_flow::find_next_server(time_point now) const
{
    auto requirements = criteria();
    requirements.excluded.insert(server_.id);
    auto const choice = services_.backends.choose(requirements, now);
    if (choice.outcome != choice_outcome::chosen ||
        services_.waiting.must_wait(admission_terms().terms,
                                    services_.admission.rule_for(choice), now))
        return std::nullopt;
    return *choice.backend;
}

repeat_denial request_flow::reserve_next_run(time_point now)
{
    auto const denial = find_repeat_denial(
        stream_begun_ ? attempt_outcome::broken_off : attempt_outcome::unknown, now);
    if (denial != repeat_denial::none)
        return denial;
    auto next = find_next_server(now);
    if (!next)
        return repeat_denial::no_server;
    if (!services_.retries.take(service_->name, now))
        return repeat_denial::retry_budget;
    reserved_server_ = std::move(next);
    return repeat_denial::none;
}

bool request_flow::may_leave_silent_server()
{
    auto const now = boot_now();
    auto const denial = reserve_next_run(now);
    // Other requests prefer other servers from now on.
    if (!logged_silence_ && denial != repeat_denial::none)
        services_.backends.note_failure(server_.id, now);
    if (logged_silence_ != denial)
        log_silence(denial, now);
    return denial == repeat_denial::none;
}

void request_flow::log_silence(repeat_denial denial, time_point now)
{
    logged_silence_ = denial;
    bool const leaves = denial == repeat_denial::none;
    if (denial == repeat_denial::retry_budget)
        services_.metrics.count("repeats_denied_total");
    services_.log.write(entry_event::server_silent,
                        {{"request", head_.id},
                         {"server", server_.id},
                         {"next_server", leaves ? std::string_view(reserved_server_->id)
                                                : std::string_view()},
                         {"not_repeated", entry::name_of(denial)},
                         {"silent_ms", to_ms(now - last_received_)},
                         {"elapsed_ms", to_ms(now - arrival_)}});
}

task<read_outcome> request_flow::read_answer_head()
{
    auto const began = boot_now();
    auto silent_at = silent_ ? began : first_byte_limit();
    for (;;)
    {
        bool const hedge_pending = !silent_ && !hedge_decided_;
        exchange_->set_idle_limit(hedge_pending ? std::min(silent_at, hedge_time())
                                                : silent_at);
        auto const read = co_await exchange_->read_head();
        if (read != read_outcome::idle)
        {
            exchange_->set_idle_limit(time_point::max());
            co_return read;
        }
        if (silent_)
        {
            bool const goes_on = co_await check_silent_server();
            if (goes_on)
                co_return read_outcome::idle;
        }
        else if (hedge_pending && boot_now() >= hedge_time())
        {
            bool const moved = co_await hedge();
            if (moved)
                co_return read_outcome::more;
            continue;
        }
        // Two runners must not work on one request for long. The next runner of a stream
        // begins to work when it sends the head; that of any other request may have begun
        // already. Two plain servers may both work on it.
        if (silent_ && service_->engine && route_->kind != request_kind::stream &&
            boot_now() - began >= refusal_time)
            silent_->exchange->close();
        if (!silent_ && is_silent(silent_at))
        {
            bool const moved = co_await hand_over();
            if (moved)
                co_return read_outcome::more;
        }
        auto const poll = hedging_ ? hedge_poll : handover_poll;
        silent_at = boot_now() + (silent_ ? poll : recheck_interval);
    }
}

task<bool> request_flow::hand_over()
{
    bool const leaving = may_leave_silent_server();
    if (!leaving)
        co_return false;
    co_return co_await ask_reserved_server();
}

task<bool> request_flow::ask_reserved_server()
{
    silent_.emplace(silent_attempt{std::move(server_), std::move(in_flight_),
                                   std::move(exchange_), last_received_,
                                   std::exchange(events_, {}), continuation_,
                                   answer_head_, run_begun_, resumed_after_});
    server_ = *std::exchange(reserved_server_, std::nullopt);
    in_flight_ =
        std::make_unique<in_flight_guard>(services_, server_.id, head_.model.str());
    if (stream_begun_)
        start_deadline_ = deadline_;
    auto const ended = co_await begin_attempt();
    bool const sent = ended != attempt_outcome::not_sent;
    if (sent)
        services_.metrics.count("repeats_total");
    else
        services_.retries.give_back(service_->name);
    if (hedging_ && sent)
        services_.metrics.count("hedges_total");
    else if (hedging_)
        services_.hedges.give_back(route_->name);
    bool accepted = !ended && accepts_answer();
    if (accepted && route_->kind == request_kind::stream)
    {
        begin_run();
        accepted = co_await receive_first_event();
    }
    auto silent = std::move(*silent_);
    silent_.reset();
    if (accepted)
        leave_server(silent);
    else
        return_to_server(silent, ended.value_or(attempt_outcome::unknown));
    co_return accepted;
}

task<bool> request_flow::receive_first_event()
{
    auto const limit = boot_now() + first_event_time;
    while (boot_now() < limit)
    {
        exchange_->set_idle_limit(std::min(limit, boot_now() + handover_poll));
        auto const read = co_await exchange_->read_body();
        if (read == read_outcome::more)
        {
            last_received_ = boot_now();
            events_.append(exchange_->body());
        }
        auto const accepted = check_first_events(read);
        if (accepted)
            co_return *accepted;
        // The head of the silent server's answer is no progress over the next one's.
        if (!silent_->exchange->head_read())
            continue;
        bool const goes_on = co_await check_silent_server();
        if (goes_on)
            co_return false;
    }
    co_return true;
}

std::optional<bool> request_flow::check_first_events(read_outcome read)
{
    if (read == read_outcome::failed || stream_exceeds_limits())
    {
        if (!interrupted())
            services_.backends.note_failure(server_.id, boot_now());
        return false;
    }
    bool const ended = read == read_outcome::complete;
    auto continuation = continuation_;
    auto fault = continuation.accept(events_.complete_events()).fault;
    if (ended && fault == continuation_fault::none)
        fault = continuation.accept(events_.incomplete_event()).fault;
    if (fault != continuation_fault::none)
    {
        set_continuation_failure(fault);
        services_.backends.note_failure(server_.id, boot_now());
        return false;
    }
    if (ended)
        return !stream_cut_short(continuation);
    if (events_.has_event_with_data())
        return true;
    return std::nullopt;
}

task<bool> request_flow::check_silent_server()
{
    auto& exchange = *silent_->exchange;
    bool goes_on = false;
    if (exchange.head_read())
        goes_on = co_await read_silent_stream(*silent_);
    else if (exchange.has_unread_input())
        goes_on = co_await read_silent_head(exchange);
    if (goes_on)
        exchange_->set_failure("the silent server went on");
    co_return goes_on;
}

task<bool> request_flow::read_silent_head(backend_exchange& exchange)
{
    exchange.set_idle_limit(boot_now());
    auto const read = co_await exchange.read_head();
    if (read != read_outcome::failed)
        co_return true;
    exchange.close();
    co_return false;
}

task<bool> request_flow::read_silent_stream(silent_attempt& silent)
{
    auto& exchange = *silent.exchange;
    // The limits also bound comments that arrive without end.
    while (exchange.has_unread_input() && !silent.events.exceeds_limit() &&
           reserve_answer_memory())
    {
        exchange.set_idle_limit(boot_now());
        auto const read = co_await exchange.read_body();
        if (read != read_outcome::more)
            break;
        silent.last_received = boot_now();
        silent.events.append(exchange.body());
    }
    co_return exchange.answer_read() || silent.events.has_event_with_data();
}

bool request_flow::accepts_answer() const
{
    auto const& metadata = exchange_->metadata();
    if (metadata.contradictory)
        return false;
    if (stream_begun_)
        return continues_stream();
    auto const status = exchange_->head().result_int();
    if (is_success(status))
        return metadata.signed_by_server && !metadata.encoded;
    return route_->kind != request_kind::stream && status < 500 &&
           !promises_not_run(status);
}

void request_flow::leave_server(silent_attempt& silent)
{
    if (!hedging_ || silent.exchange->malformed())
        services_.backends.note_failure(silent.server.id, boot_now());
    excluded_.insert(silent.server.id);
    log_attempt(attempt_outcome::handed_over,
                {silent.server, silent.last_received, silent.exchange.get(),
                 silent.events, silent.continuation, silent.resumed_after});
}

void request_flow::return_to_server(silent_attempt& silent, attempt_outcome outcome)
{
    note_broken_connection();
    log_attempt(outcome, {server_, last_received_, exchange_.get(), events_,
                          continuation_, resumed_after_});
    excluded_.insert(server_.id);
    server_ = std::move(silent.server);
    in_flight_ = std::move(silent.in_flight);
    exchange_ = std::move(silent.exchange);
    last_received_ = silent.last_received;
    events_ = std::move(silent.events);
    continuation_ = std::move(silent.continuation);
    answer_head_ = std::move(silent.answer_head);
    run_begun_ = silent.run_begun;
    resumed_after_ = std::move(silent.resumed_after);
}

} // namespace carawayturn::entry
