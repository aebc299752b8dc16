#include "transport/entry/request_flow.hpp"

#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow_detail.hpp"
#include "transport/entry/server_crash.hpp"
#include "transport/entry/server_notice.hpp"

#include <algorithm>

// One attempt at a backend server: the exchange, and the answer or stream that results.
namespace carawayturn::entry
{

using namespace flow;

task<request_flow::attempt_outcome> request_flow::run_attempt()
{
    in_flight_ =
        std::make_unique<in_flight_guard>(services_, server_.id, head_.model.str());
    auto const ended = co_await begin_attempt();
    auto outcome = ended.value_or(attempt_outcome::unknown);
    if (!ended)
        outcome = co_await receive_answer();
    note_broken_connection();
    log_attempt(outcome, {server_, last_received_, exchange_.get(), events_,
                          continuation_, resumed_after_});
    exchange_.reset();
    in_flight_.reset();
    co_return outcome;
}

void request_flow::note_broken_connection()
{
    auto const now = boot_now();
    // A server that is leaving may end under any request.
    if (!exchange_ || !exchange_->connection_broken() || interrupted() ||
        exchange_->time_since_content(now) > max_crash_delay ||
        services_.backends.is_leaving(server_.id))
        return;
    services_.backends.cold().note_broken(server_, now);
    if (services_.crashes.note_broken_attempt(server_.id, crash_signatures_, now))
        services_.tasks.run("check server", server_.id,
                            check_for_crash(services_, server_.id, server_.address));
}

void request_flow::log_attempt(attempt_outcome outcome, ended_attempt const& attempt)
{
    auto const now = boot_now();
    auto const* const exchange = attempt.exchange;
    auto const framing = exchange ? exchange->framing() : body_framing::unknown;
    auto const incomplete = attempt.events.incomplete_event().size();
    services_.log.write(
        entry_event::attempt_ended,
        {{"request", head_.id},
         {"server", attempt.server.id},
         {"server_version", attempt.server.software_version},
         {"send", std::uint64_t{sends_}},
         {"end", name_of(outcome)},
         {"detail", exchange ? std::string_view(exchange->failure()) : "no connection"},
         {"framing", entry::name_of(framing)},
         {"body_bytes", exchange ? exchange->body_bytes() : 0},
         {"incomplete_bytes", std::uint64_t{incomplete}},
         {"resumed_after", attempt.resumed_after},
         {"last_event_id", attempt.continuation.last_id()},
         {"begun_ms", exchange ? to_ms(exchange->time_since_head(now)) : 0},
         {"content_ms", exchange ? to_ms(exchange->time_since_content(now)) : 0},
         {"silent_ms", to_ms(now - attempt.last_received)},
         {"elapsed_ms", to_ms(now - arrival_)}});
}

task<std::optional<request_flow::attempt_outcome>> request_flow::begin_attempt()
{
    last_received_ = boot_now();
    logged_silence_.reset();
    unread_since_.reset();
    run_begun_ = false;
    resumed_after_.clear();
    bool const required_version = co_await has_required_version();
    if (!required_version)
        co_return attempt_outcome::not_sent;
    auto connection = co_await services_.connections.acquire_for_request(
        server_.id, server_.address, head_.id, start_deadline_, connecting_);
    if (interrupted())
        co_return attempt_outcome::not_run;
    if (connection.socket)
        co_return co_await exchange_heads(std::move(connection));
    services_.backends.note_failure(server_.id, boot_now());
    services_.backends.cold().note_broken(server_, boot_now());
    note_server_crash(services_, server_.id);
    excluded_.insert(server_.id);
    co_return attempt_outcome::not_run;
}

bool request_flow::use_cold_slot(time_point now)
{
    in_flight_->release_slot();
    auto const decision = services_.backends.cold().spend(server_, now);
    if (decision == cold_decision::slot_used)
        services_.metrics.count("cold_requests_total");
    else if (decision == cold_decision::no_slot)
        services_.metrics.count("cold_requests_without_slot_total");
    return decision != cold_decision::no_slot;
}

task<std::optional<request_flow::attempt_outcome>>
request_flow::exchange_heads(backend_connection connection)
{
    auto const now = boot_now();
    if (!services_.backends.may_send(server_, now) || !use_cold_slot(now))
        co_return attempt_outcome::not_sent;
    exchange_ =
        std::make_unique<backend_exchange>(std::move(connection.socket), head_.id);
    platform::attempt_parameters parameters;
    parameters.server_id = server_.id;
    parameters.organisation = organisation_ ? organisation_->name : "";
    parameters.time_left = deadline_ - now;
    parameters.priority = priority();
    if (stream_begun_)
        parameters.resume_after = continuation_.last_id();
    resumed_after_ = stream_begun_ ? parameters.resume_after : head_.resume_after;
    ++sends_;
    ++runs_;
    note_sending(now);
    exchange_->set_deadline(start_deadline_);
    // A server may answer and close the connection before it has read the whole request,
    // so the answer is read even if sending failed.
    static_cast<void>(co_await exchange_->send(
        platform::encode_attempt(request_, parameters), request_.body()));
    auto const asked = server_.id;
    auto const read = co_await read_answer_head();
    if (read == read_outcome::idle)
        co_return attempt_outcome::unknown;
    // The head of the server that took the request over has been handled already.
    if (server_.id != asked)
        co_return std::nullopt;
    if (read == read_outcome::failed)
    {
        if (!interrupted())
            services_.backends.note_failure(server_.id, boot_now());
        co_return failure_outcome();
    }
    last_received_ = boot_now();
    if (may_be_hedged())
        services_.hedges.note_answered(route_->name, server_.id,
                                       last_received_ - in_flight_->began(),
                                       last_received_);
    head_received_at_ = last_received_;
    auto const& metadata = exchange_->metadata();
    if (metadata.load)
        services_.backends.set_reported_load(server_.id, *metadata.load, boot_now());
    apply_server_notice(services_, server_.id, server_.born_ms, metadata.notice);
    if (metadata.not_run)
        co_return handle_rejection(metadata);
    if (!metadata.notice.pause)
        services_.backends.note_answered(server_.id);
    co_return std::nullopt;
}

request_flow::attempt_outcome request_flow::failure_outcome() const
{
    if (abandoned_)
        return attempt_outcome::caller_gone;
    if (boot_now() >= start_deadline_ && !stream_begun_)
        return attempt_outcome::late;
    return stream_begun_ ? attempt_outcome::broken_off : attempt_outcome::unknown;
}

request_flow::attempt_outcome
request_flow::handle_rejection(platform::answer_metadata const& metadata)
{
    --runs_;
    auto const now = boot_now();
    bool const model_denied = metadata.wrong_server && !head_.model.model.empty() &&
                              metadata.request_id == head_.id;
    if (model_denied)
    {
        services_.backends.avoid_model(server_.id, head_.model.str(),
                                       now + model_denied_pause);
    }
    else if (metadata.wrong_server)
    {
        services_.backends.avoid(server_.id, now + wrong_server_pause);
        services_.connections.drop(server_.id);
    }
    else
    {
        services_.backends.note_failure(server_.id, now);
        excluded_.insert(server_.id);
    }
    return attempt_outcome::not_run;
}

task<request_flow::attempt_outcome> request_flow::receive_answer()
{
    auto const& metadata = exchange_->metadata();
    auto const status = exchange_->head().result_int();
    bool const success = is_success(status);
    if (stream_begun_ && !continues_stream())
    {
        if (success)
            services_.backends.note_failure(server_.id, boot_now());
        co_return attempt_outcome::broken_off;
    }
    if (metadata.contradictory ||
        (success && (!metadata.signed_by_server || metadata.encoded)))
    {
        services_.backends.note_failure(server_.id, boot_now());
        co_return failure_outcome();
    }
    if (success && route_->kind == request_kind::stream)
        co_return co_await relay_stream();
    if (promises_not_run(status))
        co_return co_await reject_promise();
    exchange_->set_deadline(deadline_);
    answer_head_ = platform::encode_caller_answer(exchange_->head());
    auto const read = co_await buffer_body();
    bool const replaceable = read == read_outcome::more && is_server_failure(status) &&
                             another_server_can_run();
    if (read == read_outcome::failed || replaceable)
    {
        services_.backends.note_failure(server_.id, boot_now());
        co_return failure_outcome();
    }
    if (read == read_outcome::more)
        co_return co_await relay_answer();
    if (!is_server_failure(status))
        co_return handle_delivery();
    failure_answer_ = {answer_head_, std::move(answer_body_)};
    release_connection();
    services_.backends.note_failure(server_.id, boot_now());
    co_return attempt_outcome::server_failure;
}

task<read_outcome> request_flow::buffer_body()
{
    answer_body_.clear();
    for (;;)
    {
        auto const read = co_await exchange_->read_body();
        if (read != read_outcome::more)
            co_return read;
        last_received_ = boot_now();
        if (!exchange_->body().empty())
            exchange_->note_content(last_received_);
        answer_body_.append(exchange_->body());
        if (answer_body_.size() > max_buffered_answer || !reserve_answer_memory())
            co_return read;
    }
}

task<request_flow::attempt_outcome> request_flow::reject_promise()
{
    auto const outcome = failure_outcome();
    exchange_->set_failure("the status promises that the request has not run");
    services_.backends.note_failure(server_.id, boot_now());
    co_await discard_body();
    co_return outcome;
}

task<void> request_flow::discard_body()
{
    if (exchange_->length().value_or(0) > max_discarded_body)
        co_return;
    exchange_->set_idle_limit(boot_now() + max_discard_time);
    while (exchange_->body_bytes() <= max_discarded_body)
    {
        auto const read = co_await exchange_->read_body();
        if (read == read_outcome::complete)
            release_connection();
        if (read != read_outcome::more)
            co_return;
    }
}

bool request_flow::continues_stream() const
{
    auto const fault = find_head_fault(platform::decode_answer_form(answer_head_),
                                       platform::decode_answer_form(exchange_->head()));
    if (fault == continuation_fault::none)
        return true;
    set_continuation_failure(fault);
    return false;
}

void request_flow::set_continuation_failure(continuation_fault fault) const
{
    exchange_->set_failure("no continuation: " + std::string(entry::name_of(fault)));
}

bool request_flow::reserve_answer_memory()
{
    auto held = answer_body_.capacity() + events_.allocated_bytes();
    if (failure_answer_)
        held += failure_answer_->body.capacity();
    if (silent_)
        held += silent_->events.allocated_bytes();
    return answer_memory_.resize(held);
}

bool request_flow::stream_exceeds_limits()
{
    if (exchange_->body_bytes() > max_relayed_answer)
        exchange_->set_failure("the stream exceeds the size limit");
    else if (events_.exceeds_limit())
        exchange_->set_failure("an event exceeds the size limit");
    else if (!reserve_answer_memory())
        exchange_->set_failure("no memory for the rest of an event");
    else
        return false;
    return true;
}

void request_flow::release_connection()
{
    duration keep_alive{};
    if (auto kept = exchange_->take_connection(keep_alive))
        services_.connections.release(server_.id, std::move(kept), keep_alive,
                                      boot_now());
}

request_flow::attempt_outcome request_flow::handle_delivery()
{
    release_connection();
    auto const status = answer_head_.result_int();
    if (is_server_failure(status))
    {
        services_.backends.note_failure(server_.id, boot_now());
        return attempt_outcome::delivered;
    }
    note_run_time();
    services_.backends.note_success(server_.id, boot_now());
    note_complete_answer(is_success(status));
    return attempt_outcome::delivered;
}

void request_flow::note_complete_answer(bool success)
{
    auto const now = boot_now();
    if (!exchange_->ends_with_connection())
    {
        services_.crashes.note_answered(crash_signatures_, success, now);
        return;
    }
    bool const suspect = exchange_->time_since_content(now) <= max_crash_delay &&
                         !services_.backends.is_leaving(server_.id);
    if (services_.crashes.note_unproven_end(server_.id, crash_signatures_, success,
                                            suspect, now))
        services_.tasks.run("check ended server", server_.id,
                            check_ended_answers(services_, server_));
}

task<request_flow::attempt_outcome> request_flow::relay_answer()
{
    auto const length = exchange_->length();
    if (length.value_or(0) > max_relayed_answer)
    {
        services_.backends.note_failure(server_.id, boot_now());
        co_return failure_outcome();
    }
    answer_begun_ = true;
    bool written = co_await writer_.begin(answer_head_, length);
    if (written)
        written = co_await writer_.append(answer_body_);
    // An assignment would keep the memory.
    std::string().swap(answer_body_);
    failure_answer_.reset();
    static_cast<void>(reserve_answer_memory());
    auto read = read_outcome::more;
    while (written && read == read_outcome::more &&
           exchange_->body_bytes() <= max_relayed_answer)
    {
        read = co_await exchange_->read_body();
        if (read != read_outcome::more)
            break;
        last_received_ = boot_now();
        written = co_await writer_.append(exchange_->body());
    }
    if (written && read == read_outcome::complete)
        written = co_await writer_.end();
    if (!written)
        co_return attempt_outcome::caller_gone;
    if (read == read_outcome::complete)
        co_return handle_delivery();
    services_.backends.note_failure(server_.id, boot_now());
    co_return attempt_outcome::broken_off;
}

task<request_flow::attempt_outcome> request_flow::relay_stream()
{
    // A run that took the stream over has begun already.
    if (!run_begun_)
        begin_run();
    auto silent_at = stream_begun_ ? stall_limit(boot_now()) : first_byte_limit();
    for (;;)
    {
        // Checked also after a read, because comments and parts of events may arrive.
        if (is_silent(silent_at))
        {
            bool const moved = co_await hand_over();
            silent_at = boot_now() + recheck_interval;
            if (moved)
                silent_at = stream_begun_ ? stall_limit(boot_now()) : first_byte_limit();
        }
        // The attempt to move the stream may have read events already.
        if (events_.complete_events().empty())
        {
            exchange_->set_deadline(stream_begun_ ? deadline_ : start_deadline_);
            exchange_->set_idle_limit(silent_at);
            auto const read = co_await exchange_->read_body();
            if (read == read_outcome::idle)
                continue;
            if (read == read_outcome::failed)
            {
                services_.backends.note_failure(server_.id, boot_now());
                co_return failure_outcome();
            }
            if (read == read_outcome::complete)
                co_return co_await finish_stream();
            last_received_ = boot_now();
            events_.append(exchange_->body());
            if (stream_exceeds_limits())
            {
                services_.backends.note_failure(server_.id, boot_now());
                co_return failure_outcome();
            }
        }
        auto events = events_.take_events();
        if (events.empty())
            continue;
        auto const accepted = continuation_.accept(events);
        if (accepted.bytes == 0)
            co_return reject_continuation(accepted.fault);
        events.resize(accepted.bytes);
        if (events_.last_taken_has_data())
        {
            exchange_->note_content(last_received_);
            silent_at = stall_limit(boot_now());
            unread_since_.reset();
        }
        // Nothing is read while the caller takes the events, so the server is not silent.
        exchange_->set_deadline(deadline_);
        if (!stream_begun_)
        {
            bool const begun = co_await begin_stream();
            if (!begun)
                co_return attempt_outcome::caller_gone;
        }
        longest_gap_ = std::max(longest_gap_, boot_now() - last_event_);
        last_event_ = boot_now();
        bool const written = co_await writer_.append(events);
        if (!written)
            co_return attempt_outcome::caller_gone;
        if (accepted.fault != continuation_fault::none)
            co_return reject_continuation(accepted.fault);
        silent_at += boot_now() - last_event_;
    }
}

void request_flow::begin_run()
{
    run_begun_ = true;
    // The head is taken before the body is read, because trailers are added to it.
    continuation_.begin_run();
    if (!stream_begun_)
        answer_head_ = platform::encode_caller_answer(exchange_->head());
}

task<bool> request_flow::begin_stream()
{
    stream_begun_ = true;
    note_stream_begun();
    first_event_after_ = boot_now() - arrival_;
    last_event_ = boot_now();
    services_.metrics.observe_first_event_latency(first_event_after_);
    co_return co_await writer_.begin(answer_head_, std::nullopt);
}

request_flow::attempt_outcome request_flow::reject_continuation(continuation_fault fault)
{
    set_continuation_failure(fault);
    services_.backends.note_failure(server_.id, boot_now());
    return failure_outcome();
}

} // namespace carawayturn::entry
