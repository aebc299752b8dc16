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

std::string_view name_of(version_gap gap)
{
    static constexpr std::array<std::string_view, 7> names{"",
                                                           "versions_unread",
                                                           "stream_unnamed",
                                                           "begin_unclear",
                                                           "record_unread",
                                                           "record_missing",
                                                           "version_unstated"};
    return names.at(static_cast<std::size_t>(gap));
}

std::string_view name_of(known_versions versions)
{
    static constexpr std::array<std::string_view, 3> names{"unread", "one", "several"};
    return names.at(static_cast<std::size_t>(versions));
}

version_knowledge stream_registry::knowledge(std::string const& service,
                                             time_point since) const
{
    auto const now = boot_now();
    version_knowledge known;
    if (history_.is_mixed(service, now))
        known.versions = known_versions::several;
    else if (history_.is_current(since))
        known.versions = known_versions::one;
    if (history_.confirmed_at() != time_point{})
        known.age = now - history_.confirmed_at();
    return known;
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
        co_return stream_lookup{*own, version_source::memory, version_gap::none};
    co_await wait_for_versions();
    auto const sole = co_await sole_version(service, asked_at);
    if (sole)
    {
        co_await wait_for_directory();
        co_return stream_lookup{
            {service, *sole}, version_source::sole_version, version_gap::none};
    }
    auto const unknown = [](version_gap gap) {
        return stream_lookup{{}, version_source::unknown, gap};
    };
    // Records are written only while a service has several versions.
    if (!history_.is_mixed(service, boot_now()))
        co_return unknown(version_gap::versions_unread);
    if (!named)
        co_return unknown(version_gap::stream_unnamed);
    if (streams_.is_unknown(key))
        co_return unknown(version_gap::begin_unclear);
    auto record = co_await find_record(key);
    if (record.source == version_source::unknown)
        co_return record;
    streams_.learn(key, record.origin, boot_now());
    co_await wait_for_directory();
    co_return record;
}

task<stream_lookup> stream_registry::find_record(stream_key key)
{
    auto record = co_await read_record(key);
    if (record.gap == version_gap::record_unread ||
        record.gap == version_gap::record_missing)
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

task<stream_lookup> stream_registry::read_record(stream_key key)
{
    stream_lookup found;
    found.gap = version_gap::record_unread;
    auto const name = key.str();
    auto const reply = co_await store_.call(
        platform::encode_row_read(platform::store_table::streams, name), lookup_timeout,
        outage_tracking::off);
    if (!reply || !reply->done())
        co_return found;
    found.gap = version_gap::record_missing;
    for (auto const& row : reply->answer.rows)
    {
        if (row.key != name)
            continue;
        auto decoded = platform::decode_version(row.value);
        if (!succeeded(decoded))
            continue;
        found.origin = std::get<server_version>(std::move(decoded));
        bool const stated = !found.origin.version.empty();
        found.source = stated ? version_source::store : version_source::unknown;
        found.gap = stated ? version_gap::none : version_gap::version_unstated;
        break;
    }
    co_return found;
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
