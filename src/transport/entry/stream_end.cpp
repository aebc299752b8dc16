#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow.hpp"
#include "transport/entry/server_crash.hpp"

// The end of a server's answer to a request for a stream. Its framing does not prove that
// the stream has ended: a server in trouble may end a body properly.
namespace carawayturn::entry
{

namespace
{

/// Status of a successful answer that has no body by its definition.
constexpr unsigned no_content = 204;

} // namespace

bool request_flow::holds_events(stream_continuation const& continuation) const
{
    auto const type = platform::decode_answer_form(answer_head_).content_type;
    return type.empty() || is_event_stream(type) || continuation.has_events() ||
           begins_event(events_.incomplete_event());
}

bool request_flow::head_announces_events() const
{
    auto const form = platform::decode_answer_form(answer_head_);
    return request_.method() != http::verb::head && form.status != no_content &&
           (form.content_type.empty() || is_event_stream(form.content_type));
}

bool request_flow::stream_cut_short(stream_continuation const& continuation)
{
    auto const rest = events_.incomplete_event();
    bool const inside_event = has_event_content(rest) || events_.ends_inside_line_end();
    bool const by_connection = exchange_->ends_with_connection();
    if (inside_event && holds_events(continuation))
    {
        if (by_connection)
            exchange_->set_cut("the connection ended inside an event");
        else
            exchange_->set_failure("the answer ended inside an event");
    }
    else if (inside_event || !continuation.run_without_event())
        return false;
    else if (by_connection && continuation.last_id().empty())
        exchange_->set_cut("the connection ended before an event");
    else
    {
        auto const fault = find_end_fault(continuation);
        if (fault == continuation_fault::none)
            return false;
        set_continuation_failure(fault);
    }
    services_.backends.note_failure(server_.id, boot_now());
    return true;
}

continuation_fault request_flow::find_end_fault(stream_continuation const& continuation)
{
    auto const& last_id = continuation.last_id();
    if (last_id.empty() && !head_announces_events())
        return continuation_fault::none;
    bool const ended =
        !exchange_->ends_with_connection() && end_.note_end(server_.id, last_id);
    return ended ? continuation_fault::none : continuation_fault::no_event;
}

task<bool> request_flow::server_ended_with_stream(stream_continuation const& continuation)
{
    if (!exchange_->ends_with_connection() || !continuation.has_events() ||
        services_.backends.is_leaving(server_.id) ||
        !services_.backends.may_send(server_, boot_now()))
        co_return false;
    auto const refused =
        co_await refuses_connections(services_, server_.id, server_.address, connecting_);
    if (!refused)
        co_return false;
    if (interrupted())
        co_return false;
    exchange_->set_cut("the server ended with the connection");
    services_.backends.note_failure(server_.id, boot_now());
    co_return true;
}

task<request_flow::attempt_outcome> request_flow::finish_stream()
{
    // A server that crashes may end its connection anywhere, so that is looked at first.
    if (exchange_->ends_with_connection() && stream_cut_short(continuation_))
        co_return failure_outcome();
    auto ended = continuation_;
    auto const accepted = ended.accept(events_.incomplete_event());
    if (accepted.fault != continuation_fault::none)
        co_return reject_continuation(accepted.fault);
    if (!exchange_->ends_with_connection() && stream_cut_short(ended))
        co_return failure_outcome();
    bool const gone = co_await server_ended_with_stream(ended);
    if (gone)
        co_return failure_outcome();
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
