#include "transport/caller_gateway.hpp"

#include "protocol/caller_codec.hpp"
#include "transport/caller_request_reader.hpp"
#include "transport/event_stream.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn
{

namespace
{

/// A model request that is sent later than this after its arrival waited for a replica:
/// one that finds a replica is sent within two ticks.
constexpr duration warm_dispatch_limit = 2 * tick_interval;

/// Suggested to callers whom an overloaded instance refuses.
constexpr duration overload_retry = std::chrono::seconds(1);

constexpr std::uint64_t microseconds_per_second = 1'000'000;

http_answer_head json_head(unsigned status, request_id const& request)
{
    http_answer_head head{status, {{"Content-Type", "application/json"}}};
    if (!request.empty())
        head.headers.push_back({"X-Request-Id", request.str()});
    return head;
}

/// Whole seconds, rounded up, at least one.
std::string print_retry_after(duration wait)
{
    auto const micros =
        static_cast<std::uint64_t>(std::max<duration::rep>(wait.count(), 1));
    return std::to_string((micros + microseconds_per_second - 1) /
                          microseconds_per_second);
}

refusal bad_request(std::string message)
{
    return {
        refusal_code::bad_request, execution::not_run, std::move(message), {}, {}, {}};
}

} // namespace

caller_gateway::caller_gateway(http_limits limits, std::string id_prefix,
                               event_sink& events, request_registry& registry,
                               metrics& counters)
    : id_prefix_(std::move(id_prefix)), events_(events), registry_(registry),
      metrics_(counters), server_(limits, *this)
{
}

caller_gateway::~caller_gateway()
{
    stop();
}

result<std::uint16_t> caller_gateway::listen(endpoint const& address)
{
    return server_.listen(address);
}

void caller_gateway::start()
{
    thread_ = std::thread([this] { server_.run(); });
}

void caller_gateway::stop()
{
    server_.stop();
    if (thread_.joinable())
        thread_.join();
}

void caller_gateway::on_request(std::shared_ptr<http_exchange> const& exchange)
{
    if (draining_)
        exchange->close_after();
    if (!serve_own_path(*exchange, path_of(exchange->request().target)))
        admit(exchange);
}

bool caller_gateway::serve_own_path(http_exchange& exchange, std::string_view path)
{
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    http_answer_head const text{ok, {{"Content-Type", "text/plain; version=0.0.4"}}};
    if (path == "/healthz")
        exchange.send(text, "ok\n");
    else if (path == "/readyz" && ready_)
        exchange.send(text, "ready\n");
    else if (path == "/readyz")
        exchange.send({unavailable, text.headers}, "not ready\n");
    else if (path == "/metrics")
        exchange.send(text, metrics_.print());
    else
        return false;
    return true;
}

void caller_gateway::admit(std::shared_ptr<http_exchange> const& exchange)
{
    auto const& request = exchange->request();
    auto const given = read_request_id(request.headers);
    if (!succeeded(given))
        return refuse_exchange(*exchange, make_id(),
                               bad_request(std::get<error>(given).detail));
    auto id = std::get<request_id>(given);
    if (id.empty())
        id = make_id();
    auto arrived = read_caller_request(request);
    if (!succeeded(arrived))
        return refuse_exchange(*exchange, id,
                               bad_request(std::get<error>(arrived).detail));
    auto& known = std::get<caller_request>(arrived);
    known.id = id;
    bool const chat = known.path == chat_path;
    raise_arrival(exchange, std::move(known), chat);
}

void caller_gateway::raise_arrival(std::shared_ptr<http_exchange> const& exchange,
                                   caller_request arrived, bool chat)
{
    auto const& request = exchange->request();
    auto const id = arrived.id;
    // Two open requests under one id could get each other's answers at an engine.
    if (!registry_.add(std::make_shared<request_content const>(request_content{
            id, request.method, request.target, forwardable(request.headers),
            request.body, chat, chat && arrived.stream})))
        return refuse_exchange(*exchange, id,
                               bad_request("a request with this X-Request-Id is open"));
    open_[id] = {exchange, monotonic_now(), 0, false, false, chat, 0};
    by_exchange_[exchange.get()] = id;
    if (events_.offer(request_arrived{std::move(arrived)}))
        return;
    answer_refusal({id,
                    {refusal_code::queue_full,
                     execution::not_run,
                     "the instance is overloaded",
                     overload_retry,
                     {},
                     {}}});
}

void caller_gateway::on_hangup(http_exchange const& exchange)
{
    auto const found = by_exchange_.find(&exchange);
    if (found == by_exchange_.end())
        return;
    auto const id = found->second;
    by_exchange_.erase(found);
    open_.erase(id);
    registry_.remove(id);
    events_.deliver(caller_gone{id});
}

void caller_gateway::on_busy_changed(std::size_t connections)
{
    if (draining_)
        events_.deliver(callers_busy{connections});
}

std::string caller_gateway::error_body(unsigned status, std::string_view reason)
{
    constexpr unsigned unavailable = 503;
    auto const busy = draining_ ? refusal_code::draining : refusal_code::queue_full;
    auto const code = status == unavailable ? busy : refusal_code::bad_request;
    metrics_.refused(code);
    return print_refusal(make_id(),
                         {code, execution::not_run, std::string(reason), {}, {}, {}});
}

void caller_gateway::refuse_exchange(http_exchange& exchange, request_id const& request,
                                     refusal const& reason)
{
    auto head = json_head(http_status(reason.code), request);
    if (reason.retry_after)
        head.headers.push_back({"Retry-After", print_retry_after(*reason.retry_after)});
    metrics_.refused(reason.code);
    exchange.send(std::move(head), print_refusal(request, reason));
}

void caller_gateway::expect_attempt(attempt_id const& current)
{
    server_.post([this, current] { note_attempt(current); });
}

void caller_gateway::refuse(refuse_request refused)
{
    server_.post([this, refused = std::move(refused)] { answer_refusal(refused); });
}

void caller_gateway::deliver(deliver_answer kept)
{
    server_.post([this, kept = std::move(kept)] { answer_kept(kept); });
}

void caller_gateway::set_ready(bool ready)
{
    ready_ = ready;
}

void caller_gateway::begin_drain()
{
    server_.post(
        [this]
        {
            draining_ = true;
            // The core must not end the drain before it knows of these connections.
            events_.deliver(callers_busy{server_.busy_connections()});
            events_.deliver(drain_requested{});
        });
}

void caller_gateway::whole_answer(attempt_id const& from, http_answer_head head,
                                  std::string body)
{
    server_.post([this, from, head = std::move(head), body = std::move(body)]() mutable
                 { answer_whole(from, std::move(head), std::move(body)); });
}

void caller_gateway::stream_head(attempt_id const& from, http_answer_head head)
{
    server_.post([this, from, head = std::move(head)]() mutable
                 { begin_stream(from, std::move(head)); });
}

void caller_gateway::stream_data(attempt_id const& from, std::string bytes,
                                 written_callback written)
{
    server_.post(
        [this, from, bytes = std::move(bytes), written = std::move(written)]() mutable
        { append_stream(from, std::move(bytes), written); });
}

void caller_gateway::stream_end(attempt_id const& from)
{
    server_.post([this, from] { finish_stream(from); });
}

void caller_gateway::note_attempt(attempt_id const& current)
{
    auto* const open = find(current.request);
    if (open == nullptr)
        return;
    open->attempt = current.attempt;
    auto const wait = monotonic_now() - open->arrived;
    if (open->chat && !open->dispatched && wait > warm_dispatch_limit)
        metrics_.cold_start_waited(wait);
    open->dispatched = true;
}

void caller_gateway::answer_refusal(refuse_request const& refused)
{
    auto* const open = find(refused.request);
    if (open == nullptr)
        return;
    if (open->streaming)
        return fail_stream(refused.request, refused.reason);
    auto const exchange = open->exchange;
    finish(refused.request, http_status(refused.reason.code));
    refuse_exchange(*exchange, refused.request, refused.reason);
}

void caller_gateway::fail_stream(request_id const& request, refusal const& reason)
{
    auto const* const open = find(request);
    auto const exchange = open->exchange;
    auto const status = open->status;
    finish(request, status);
    metrics_.refused(reason.code);
    exchange->write(print_error_event(print_refusal(request, reason)), [](bool) {});
    exchange->end_stream();
}

void caller_gateway::answer_kept(deliver_answer const& kept)
{
    auto const* const open = find(kept.request);
    if (open == nullptr)
        return;
    auto const exchange = open->exchange;
    finish(kept.request, kept.answer.status);
    http_answer_head head{kept.answer.status, {{"X-Request-Id", kept.request.str()}}};
    if (!kept.answer.content_type.empty())
        head.headers.push_back({"Content-Type", kept.answer.content_type});
    exchange->send(std::move(head), kept.answer.body);
}

void caller_gateway::answer_whole(attempt_id const& from, http_answer_head head,
                                  std::string body)
{
    auto const* const open = find_current(from);
    if (open == nullptr)
        return;
    if (open->streaming)
        return fail_stream(from.request, {refusal_code::backend_failed,
                                          execution::ran,
                                          "the stream could not be resumed",
                                          {},
                                          {},
                                          {}});
    auto const exchange = open->exchange;
    finish(from.request, head.status);
    head.headers.push_back({"X-Request-Id", from.request.str()});
    exchange->send(std::move(head), std::move(body));
}

void caller_gateway::begin_stream(attempt_id const& from, http_answer_head head)
{
    auto* const open = find_current(from);
    if (open == nullptr || open->streaming)
        return;
    open->streaming = true;
    open->status = head.status;
    head.headers.push_back({"X-Request-Id", from.request.str()});
    open->exchange->begin_stream(std::move(head));
}

void caller_gateway::append_stream(attempt_id const& from, std::string bytes,
                                   written_callback const& written)
{
    auto const* const open = find_current(from);
    if (open == nullptr || !open->streaming)
        return written(false);
    open->exchange->write(std::move(bytes), written);
}

void caller_gateway::finish_stream(attempt_id const& from)
{
    auto const* const open = find_current(from);
    if (open == nullptr || !open->streaming)
        return;
    auto const exchange = open->exchange;
    finish(from.request, open->status);
    exchange->end_stream();
}

void caller_gateway::finish(request_id const& request, unsigned status)
{
    auto const found = open_.find(request);
    metrics_.request_finished(status, monotonic_now() - found->second.arrived);
    by_exchange_.erase(found->second.exchange.get());
    open_.erase(found);
    registry_.remove(request);
}

caller_gateway::open_request* caller_gateway::find(request_id const& request)
{
    auto const found = open_.find(request);
    return found == open_.end() ? nullptr : &found->second;
}

caller_gateway::open_request* caller_gateway::find_current(attempt_id const& from)
{
    auto* const open = find(from.request);
    return open != nullptr && open->attempt == from.attempt ? open : nullptr;
}

request_id caller_gateway::make_id()
{
    return request_id(id_prefix_ + "-" + std::to_string(++made_ids_));
}

} // namespace carawayturn
