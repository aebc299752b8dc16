#include "transport/entry/http_call.hpp"

#include "platform/request_codec.hpp"
#include "transport/entry/backend_exchange.hpp"
#include "transport/entry/boot_clock.hpp"

namespace carawayturn::entry
{

namespace
{

/// Reads the body of the answer. If it exceeds the limits, empties `body` and returns
/// `more`.
task<read_outcome> read_call_body(backend_exchange& exchange,
                                  call_answer_limits const& limits, std::string& body)
{
    std::optional<byte_reservation> memory;
    if (limits.memory != nullptr)
        memory.emplace(*limits.memory, limits.free_bytes);
    for (;;)
    {
        auto const read = co_await exchange.read_body();
        if (read != read_outcome::more)
            co_return read;
        body.append(exchange.body());
        if (body.size() <= limits.max_bytes && (!memory || memory->grow_to(body.size())))
            continue;
        body = {};
        co_return read;
    }
}

/// Returns no answer. Logs the reason if the peer has sent bytes that are none.
std::optional<call_answer> fail_call(backend_exchange const& exchange,
                                     call_request const& request)
{
    if (exchange.malformed() && request.log != nullptr)
        request.log->write(entry_event::call_answer_malformed,
                           {{"peer", request.peer}, {"detail", exchange.failure()}});
    return std::nullopt;
}

} // namespace

task<std::optional<call_answer>> http_call(backend_connections& connections,
                                           call_request request)
{
    auto const deadline = boot_now() + request.timeout;
    backend_connection connection;
    if (request.dedicated_connection)
        connection = co_await connections.open(request.address, deadline);
    else
        connection =
            co_await connections.acquire(request.peer, request.address, deadline);
    if (!connection.socket)
        co_return std::nullopt;
    if (request.dedicated_connection)
        connection.socket->reset_on_close();
    if (request.may_send && !request.may_send())
        co_return std::nullopt;
    connection.socket->set_deadline(deadline);
    backend_exchange exchange(std::move(connection.socket), "");
    auto head = platform::encode_call(request.method, request.address, request.target,
                                      request.server_id);
    bool const sent = co_await exchange.send(std::move(head), request.body);
    if (!sent)
        co_return std::nullopt;
    auto const head_read = co_await exchange.read_head();
    if (head_read == read_outcome::failed)
        co_return fail_call(exchange, request);
    call_answer answer;
    answer.status = exchange.head().result_int();
    answer.notice = exchange.metadata().notice;
    answer.store_era = platform::decode_store_era(exchange.head());
    auto const read =
        co_await read_call_body(exchange, request.answer_limits, answer.body);
    if (read == read_outcome::failed)
        co_return fail_call(exchange, request);
    if (read == read_outcome::more || request.dedicated_connection)
        co_return answer;
    duration keep_alive{};
    if (auto kept = exchange.take_connection(keep_alive))
        connections.release(request.peer, std::move(kept), keep_alive, boot_now());
    co_return answer;
}

} // namespace carawayturn::entry
