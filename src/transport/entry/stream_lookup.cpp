#include "platform/server_codec.hpp"
#include "platform/version_codec.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/http_call.hpp"
#include "transport/entry/server_notice.hpp"
#include "transport/entry/stream_registry.hpp"

#include <array>

// Finds the version at which a stream began, and whether a server still has it. What is
// not known as of the request is asked for, and is not guessed if nobody tells.
namespace carawayturn::entry
{

namespace
{

/// A caller that takes a stream up is not kept waiting for the store longer than this.
constexpr duration lookup_timeout = std::chrono::milliseconds(400);
/// The instance that began a stream writes its record within this time.
constexpr duration second_lookup_delay = std::chrono::milliseconds(150);
/// For this long after its start, an instance may not know the versions in service yet.
constexpr duration initial_versions_timeout = std::chrono::milliseconds(1500);
constexpr duration initial_versions_poll = std::chrono::milliseconds(20);
constexpr duration check_poll = std::chrono::milliseconds(5);
/// An instance whose directory lacks a server reads the servers within this time.
constexpr duration directory_timeout = std::chrono::milliseconds(500);
constexpr duration report_timeout = std::chrono::milliseconds(300);
constexpr std::size_t max_report_bytes = std::size_t{256} * 1024;

} // namespace

std::string_view name_of(version_source source)
{
    static constexpr std::array<std::string_view, 4> names{"unknown", "memory",
                                                           "sole_version", "store"};
    return names.at(static_cast<std::size_t>(source));
}

bool stream_registry::versions_unstated(std::string const& service) const
{
    return history_.sole(service, boot_now(), time_point{}) == "";
}

task<bool> stream_registry::versions_unstated_since(std::string service, time_point since)
{
    if (!versions_unstated(service))
        co_return false;
    auto const sole = co_await sole_version(std::move(service), since);
    co_return sole == "";
}

task<std::optional<std::string>> stream_registry::sole_version(std::string service,
                                                               time_point since)
{
    if (history_.is_mixed(service, boot_now()))
        co_return std::nullopt;
    if (!history_.is_current(since))
        static_cast<void>(co_await reader_.read_since(since));
    co_return history_.sole(service, boot_now(), since);
}

task<bool> stream_registry::is_begin_confirmed(std::string request_id)
{
    auto const found = co_await find_own(stream_key::of(request_id));
    co_return found.has_value();
}

task<std::optional<server_version>> stream_registry::find_own(stream_key key)
{
    co_await wait_for_check(key);
    auto const begun_at = streams_.unconfirmed_since(key);
    if (begun_at && streams_.find(key) && history_.confirmed_at() < *begun_at)
        static_cast<void>(co_await reader_.read_since(*begun_at));
    if (begun_at && history_.confirmed_at() < *begun_at)
        co_return std::nullopt;
    co_return streams_.find(key);
}

task<stream_lookup> stream_registry::find(std::string begun_as, std::string service,
                                          time_point asked_at)
{
    auto const key = stream_key::of(begun_as);
    bool const named = !begun_as.empty();
    std::optional<server_version> own;
    if (named)
        own = co_await find_own(key);
    if (own)
        co_return stream_lookup{*own, version_source::memory};
    co_await wait_for_versions();
    auto const sole = co_await sole_version(service, asked_at);
    if (sole)
    {
        co_await wait_for_directory();
        co_return stream_lookup{{service, *sole}, version_source::sole_version};
    }
    // Records are written only while a service has several versions.
    if (!named || streams_.is_unknown(key) || !history_.is_mixed(service, boot_now()))
        co_return stream_lookup{};
    auto const record = co_await find_record(key);
    if (!record || record->version.empty())
        co_return stream_lookup{};
    streams_.learn(key, *record, boot_now());
    co_await wait_for_directory();
    co_return stream_lookup{*record, version_source::store};
}

task<std::optional<server_version>> stream_registry::find_record(stream_key key)
{
    auto record = co_await read_record(key);
    if (!record)
    {
        steady_timer timer(services_.io);
        timer.expires_after(second_lookup_delay);
        co_await timer.async_wait(use_task);
        record = co_await read_record(key);
    }
    co_return record;
}

task<void> stream_registry::wait_for_directory()
{
    auto const limit = boot_now() + directory_timeout;
    while (directory_behind() && boot_now() < limit)
        co_await services_.changes.wait(limit - boot_now());
}

task<void> stream_registry::wait_for_versions()
{
    auto const limit = services_.started_at + initial_versions_timeout;
    while (!history_.is_current(services_.started_at) && boot_now() < limit)
        co_await services_.changes.wait(initial_versions_poll);
}

task<std::optional<server_version>> stream_registry::read_record(stream_key key)
{
    auto const name = key.str();
    auto const reply = co_await store_.call(
        platform::encode_row_read(platform::store_table::streams, name), lookup_timeout,
        outage_tracking::off);
    if (!reply || !reply->done())
        co_return std::nullopt;
    for (auto const& row : reply->answer.rows)
        if (row.key == name)
            if (auto decoded = platform::decode_version(row.value); succeeded(decoded))
                co_return std::get<server_version>(std::move(decoded));
    co_return std::nullopt;
}

task<std::optional<std::int64_t>>
stream_registry::ask_start_time(backend_record const& record)
{
    call_request call;
    call.peer = record.id;
    call.address = record.address;
    call.target = platform::report_target;
    call.server_id = record.id;
    call.timeout = report_timeout;
    call.answer_limits.max_bytes = max_report_bytes;
    call.log = &services_.log;
    call.may_send = [this, &record]
    { return services_.backends.may_send(record, boot_now()); };
    auto const answer = co_await http_call(services_.connections, std::move(call));
    if (answer)
        apply_server_notice(services_, record.id, record.born_ms, answer->notice);
    if (!answer || answer->status != 200)
        co_return std::nullopt;
    auto const report = platform::decode_report(record.id, answer->body);
    if (!succeeded(report))
        co_return std::nullopt;
    co_return std::get<runner_report>(report).born_ms.value_or(0);
}

task<bool> stream_registry::is_recorded_process(backend_record record, time_point since)
{
    if (history_.sole(record.service, boot_now(), since))
        co_return true;
    auto const started = co_await ask_start_time(record);
    if (started)
        co_return started == record.born_ms;
    auto const sole = co_await sole_version(record.service, since);
    co_return sole.has_value();
}

task<void> stream_registry::check_begin(std::string request_id, backend_record server)
{
    auto const key = stream_key::of(request_id);
    auto const started = co_await ask_start_time(server);
    checked_.erase(key);
    if (started == server.born_ms)
        streams_.confirm(key);
    if (!started || *started == server.born_ms)
        co_return;
    streams_.forget(key);
    begun_.notify();
}

task<void> stream_registry::wait_for_check(stream_key key)
{
    auto const limit = boot_now() + report_timeout;
    while (checked_.count(key) != 0 && boot_now() < limit)
        co_await services_.changes.wait(check_poll);
}

} // namespace carawayturn::entry
