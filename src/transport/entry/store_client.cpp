#include "transport/entry/store_client.hpp"

#include "transport/entry/boot_clock.hpp"
#include "transport/entry/http_call.hpp"

namespace carawayturn::entry
{

void store_client::record_call_result(bool answered, unsigned status)
{
    if (answered == answering_)
        return;
    answering_ = answered;
    if (answered)
        regained_at_ = boot_now();
    services_.metrics.set_gauge("store_answering", answered ? 1 : 0);
    services_.log.write(
        answered ? entry_event::store_regained : entry_event::store_lost,
        {{"peer", services_.settings.store_address}, {"status", std::uint64_t{status}}});
}

void store_client::hub_reported_answering()
{
    record_call_result(true, 0);
}

task<std::optional<store_reply>> store_client::call(platform::store_call request,
                                                    duration timeout,
                                                    outage_tracking tracking)
{
    call_request http;
    // Names the address, so that no connection to a former store is used again.
    http.peer = "store " + services_.settings.store_address;
    http.address = services_.settings.store_address;
    http.method =
        request.post ? boost::beast::http::verb::post : boost::beast::http::verb::get;
    http.target = std::move(request.target);
    http.body = std::move(request.body);
    http.timeout = timeout;
    http.log = &services_.log;
    services_.metrics.count("store_calls_total");
    auto const answer = co_await http_call(services_.connections, std::move(http));
    bool const refused = answer && (answer->status == 503 || answer->status == 429);
    if (tracking == outage_tracking::on)
        record_call_result(answer && !refused, answer ? answer->status : 0);
    if (!answer)
        co_return std::nullopt;
    store_reply reply{answer->status, {}, false};
    if (reply.done() || reply.conflict())
    {
        auto decoded = platform::decode_store_answer(answer->body, request.part);
        if (!succeeded(decoded))
        {
            services_.log.write(entry_event::store_answer_unreadable,
                                {{"peer", services_.settings.store_address},
                                 {"detail", std::get<error>(decoded).detail}});
            reply.unreadable = true;
            co_return reply;
        }
        reply.answer = std::get<platform::store_answer>(std::move(decoded));
    }
    co_return reply;
}

} // namespace carawayturn::entry
