#include "transport/entry/request_flow.hpp"

#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow_detail.hpp"
#include "transport/entry/server_notice.hpp"

#include <algorithm>

// One attempt at a backend server: the exchange, and the answer or stream that results.
namespace carawayturn::entry
{

using namespace flow;

namespace
{

/// Whether a caller takes this status as a promise that its request has not run and never
/// will.
bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

bool request_flow::another_run_allowed() const
{
    return route_->retryable() && runs_ < route_->max_attempts;
}

time_point request_flow::stall_deadline(time_point progress) const
{
    // A stalled stream that no other server may continue is kept open until the deadline.
    if (!another_run_allowed())
        return deadline_;
    return progress + std::max(stall_gap_factor * route_->gap_objective, min_stall_time);
}

time_point request_flow::first_byte_deadline() const
{
    auto const now = boot_now();
    if (!another_run_allowed())
        return start_deadline_;
    // Half of the remaining time is reserved for an attempt at another server.
    return now + std::max((start_deadline_ - now) / 2, duration(1000));
}

/// Counts a request as in flight at a server for the lifetime of the guard.
class request_flow::in_flight_guard
{
public:
    in_flight_guard(entry_services& services, std::string server, std::string model)
        : services_(services), server_and_model_(std::move(server), std::move(model))
    {
        services_.backends.note_sent(server_and_model_.first);
        ++services_.in_flight[server_and_model_];
    }
    in_flight_guard(in_flight_guard const&) = delete;
    in_flight_guard& operator=(in_flight_guard const&) = delete;
    ~in_flight_guard()
    {
        services_.backends.note_finished(server_and_model_.first);
        auto const found = services_.in_flight.find(server_and_model_);
        if (found != services_.in_flight.end() && --found->second == 0)
            services_.in_flight.erase(found);
        services_.waiting.wake();
    }

private:
    entry_services& services_;
    std::pair<std::string, std::string> server_and_model_;
};

task<request_flow::attempt_outcome> request_flow::run_attempt()
{
    in_flight_guard const counted(services_, server_.id, head_.model.str());
    last_received_ = boot_now();
    auto connection = co_await services_.connections.acquire_for_request(
        server_.id, server_.address, head_.id, start_deadline_, connecting_);
    auto outcome = attempt_outcome::not_run;
    if (connection.socket && !interrupted())
    {
        outcome = co_await exchange_on(std::move(connection));
    }
    else if (!interrupted())
    {
        services_.backends.note_failure(server_.id, boot_now());
        services_.crashes.note_crash(server_.id, boot_now());
        excluded_.insert(server_.id);
    }
    std::string const detail = exchange_ ? exchange_->failure() : "no connection";
    exchange_.reset();
    services_.log.write(entry_event::attempt_ended,
                        {{"request", head_.id},
                         {"server", server_.id},
                         {"send", std::uint64_t{sends_}},
                         {"end", name_of(outcome)},
                         {"detail", detail},
                         {"silent_ms", to_ms(boot_now() - last_received_)},
                         {"elapsed_ms", to_ms(boot_now() - arrival_)}});
    co_return outcome;
}

task<request_flow::attempt_outcome>
request_flow::exchange_on(backend_connection connection)
{
    auto const now = boot_now();
    if (!services_.backends.may_send(server_, now))
        co_return attempt_outcome::not_sent;
    exchange_ =
        std::make_unique<backend_exchange>(std::move(connection.socket), head_.id);
    platform::attempt_parameters parameters;
    parameters.server_id = server_.id;
    parameters.organisation = organisation_ ? organisation_->name : "";
    parameters.time_left = deadline_ - now;
    parameters.priority = priority();
    if (stream_begun_)
        parameters.resume_after = events_.last_id();
    ++sends_;
    ++runs_;
    exchange_->set_deadline(first_byte_deadline());
    // A server may answer and close the connection before it has read the whole request,
    // so the answer is read even if sending failed.
    static_cast<void>(co_await exchange_->send(
        platform::encode_attempt(request_, parameters), request_.body()));
    auto const read = co_await exchange_->read_head();
    if (read == read_outcome::failed)
    {
        if (!interrupted())
        {
            services_.backends.note_failure(server_.id, boot_now());
            services_.crashes.note_broken_attempt(server_.id, signature_, boot_now());
        }
        co_return failure_outcome();
    }
    last_received_ = boot_now();
    auto const metadata = exchange_->metadata();
    if (metadata.load)
        services_.backends.set_reported_load(server_.id, *metadata.load, boot_now());
    apply_server_notice(services_, server_.id, server_.born_ms, metadata.notice);
    if (metadata.not_run)
        co_return handle_rejection(metadata);
    if (!metadata.notice.pause)
        services_.backends.note_answered(server_.id);
    co_return co_await receive_answer(metadata);
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

task<request_flow::attempt_outcome>
request_flow::receive_answer(platform::answer_metadata metadata)
{
    auto const status = exchange_->head().result_int();
    bool const success = status >= 200 && status < 300;
    if (metadata.contradictory ||
        (success && (!metadata.signed_by_server || metadata.encoded)))
    {
        services_.backends.note_failure(server_.id, boot_now());
        co_return failure_outcome();
    }
    if (success && route_->kind == request_kind::stream)
        co_return co_await relay_stream();
    // The server answered with a failure instead of continuing the stream.
    if (stream_begun_)
        co_return attempt_outcome::broken_off;
    exchange_->set_deadline(deadline_);
    answer_head_ = platform::encode_caller_answer(exchange_->head());
    answer_body_.clear();
    answer_buffered_ = false;
    auto read = read_outcome::more;
    while (read == read_outcome::more)
    {
        read = co_await exchange_->read_body();
        if (read == read_outcome::more)
            keep_piece();
        if (answer_body_.size() > max_buffered_answer)
            co_return co_await relay_answer();
    }
    if (read == read_outcome::failed)
    {
        services_.backends.note_failure(server_.id, boot_now());
        co_return failure_outcome();
    }
    // The caller would take this status as a promise that the request did not run, which
    // the server did not give, so the answer is not forwarded.
    if (promises_not_run(status))
    {
        release_connection();
        services_.backends.note_failure(server_.id, boot_now());
        co_return failure_outcome();
    }
    answer_buffered_ = true;
    if (status < 500)
        co_return handle_delivery();
    release_connection();
    services_.backends.note_failure(server_.id, boot_now());
    co_return attempt_outcome::server_failure;
}

void request_flow::keep_piece()
{
    last_received_ = boot_now();
    answer_body_.append(exchange_->body());
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
    services_.backends.note_success(server_.id, boot_now());
    services_.crashes.note_cleared(signature_);
    return attempt_outcome::delivered;
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
    std::size_t passed = 0;
    auto read = read_outcome::more;
    while (written && read == read_outcome::more && passed <= max_relayed_answer)
    {
        written = co_await writer_.append(answer_body_);
        passed += answer_body_.size();
        answer_body_.clear();
        read = co_await exchange_->read_body();
        if (read == read_outcome::more)
            keep_piece();
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
    bool const resuming = stream_begun_;
    if (!resuming)
        answer_head_ = platform::encode_caller_answer(exchange_->head());
    auto progress = boot_now();
    for (;;)
    {
        auto const limit =
            stream_begun_ ? stall_deadline(progress) : first_byte_deadline();
        exchange_->set_deadline(std::min(deadline_, limit));
        auto const read = co_await exchange_->read_body();
        if (read == read_outcome::failed)
        {
            services_.backends.note_failure(server_.id, boot_now());
            co_return failure_outcome();
        }
        if (read == read_outcome::complete)
            co_return co_await finish_stream();
        last_received_ = boot_now();
        events_.append(exchange_->body());
        if (events_.incomplete_event_too_long())
        {
            exchange_->set_failure("an event exceeds the size limit");
            services_.backends.note_failure(server_.id, boot_now());
            co_return failure_outcome();
        }
        auto const events = events_.take_events();
        if (events.empty())
            continue;
        if (events_.last_taken_has_data())
            progress = boot_now();
        if (!stream_begun_)
        {
            stream_begun_ = true;
            first_event_after_ = boot_now() - arrival_;
            last_event_ = boot_now();
            services_.metrics.observe_first_event_latency(first_event_after_);
            bool const begun = co_await writer_.begin(answer_head_, std::nullopt);
            if (!begun)
                co_return attempt_outcome::caller_gone;
        }
        longest_gap_ = std::max(longest_gap_, boot_now() - last_event_);
        last_event_ = boot_now();
        bool const written = co_await writer_.append(events);
        if (!written)
            co_return attempt_outcome::caller_gone;
    }
}

task<request_flow::attempt_outcome> request_flow::finish_stream()
{
    bool written = true;
    if (!stream_begun_)
        written = co_await writer_.begin(answer_head_, std::nullopt);
    stream_begun_ = true;
    if (written && !events_.incomplete_event().empty())
        written = co_await writer_.append(events_.incomplete_event());
    if (written)
        written = co_await writer_.end();
    if (!written)
        co_return attempt_outcome::caller_gone;
    co_return handle_delivery();
}

} // namespace carawayturn::entry
