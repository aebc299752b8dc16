#include "transport/entry/store_client.hpp"

#include "transport/entry/boot_clock.hpp"

#include <utility>

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

bool store_client::judge_era(call_answer const& answer)
{
    auto const former = era_.current();
    auto const restorations = era_.restorations();
    auto const verdict = era_.judge_answer(answer.store_era, boot_now());
    if (verdict == era_verdict::rejected)
    {
        services_.metrics.count("store_answers_rejected_total");
        if (!std::exchange(rejecting_, true))
            services_.log.write(
                entry_event::store_answer_rejected,
                {{"peer", services_.settings.store_address},
                 {"names_era", std::int64_t{answer.store_era.has_value()}},
                 {"answer_era", answer.store_era.value_or(0)},
                 {"era", former}});
        return false;
    }
    rejecting_ = false;
    if (verdict == era_verdict::changed)
        services_.metrics.set_gauge("store_era", static_cast<double>(era_.current()));
    if (era_.restorations() != restorations)
        log_restoration(former, "store");
    return true;
}

void store_client::note_told_era(std::uint64_t era)
{
    auto const former = era_.newest_known();
    auto const restorations = era_.restorations();
    era_.note_told(era, boot_now());
    if (era_.restorations() != restorations)
        log_restoration(former, "instance");
}

void store_client::log_restoration(std::uint64_t former_era, std::string_view source)
{
    // Rows of live servers that the copy lacks are written again like those that expire
    // in an outage.
    regained_at_ = boot_now();
    services_.metrics.count("store_restorations_total");
    services_.log.write(
        entry_event::store_restored,
        {{"era", era_.newest_known()}, {"former_era", former_era}, {"source", source}});
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
    // A refusal tells nothing about the rows.
    bool const believed = answer && (refused || judge_era(*answer));
    if (tracking == outage_tracking::on)
        record_call_result(believed && !refused, answer ? answer->status : 0);
    if (!believed)
        co_return std::nullopt;
    store_reply reply{answer->status, {}, era_.current(), false};
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
