#include "transport/entry/stream_registry.hpp"

#include "platform/version_codec.hpp"
#include "transport/entry/boot_clock.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace carawayturn::entry
{

namespace
{

constexpr duration write_timeout = std::chrono::milliseconds(1000);
/// While a service has one version as of this long ago, the server that begins a stream
/// is not asked which process it is. The next reading of the servers tells.
constexpr duration unchecked_begin_age = std::chrono::seconds(3);
constexpr duration retry_interval = std::chrono::milliseconds(500);
constexpr duration max_retry_interval = std::chrono::milliseconds(4000);
constexpr duration min_write_interval = std::chrono::milliseconds(100);
/// Interval for each instance, so that all together write 100 times a second at most,
/// half of what a part of the store does.
constexpr duration write_interval_per_instance = std::chrono::milliseconds(10);
/// How often an instance looks for records to remove.
constexpr duration idle_interval = std::chrono::seconds(5);
constexpr duration keep_interval = std::chrono::seconds(1);
/// The rows of the versions are written again after this time, because the store may come
/// back from a copy that lacks them.
constexpr duration rewrite_interval = std::chrono::seconds(30);
/// An instance that ends leaves the records of its streams in the store.
constexpr duration sweep_interval = std::chrono::minutes(5);
/// Changes of streams in one call, and versions in service that are kept. Both together
/// fit into one call.
constexpr std::size_t max_batch = 70;
constexpr std::size_t max_stored_versions = 24;

/// Only runners of models answer calls for a report.
bool server_is_runner(backend_record const& server)
{
    return !server.models.empty();
}

platform::row_change version_row(server_version const& version)
{
    return {platform::store_table::versions, platform::version_key(version),
            platform::encode_version(version)};
}

} // namespace

stream_registry::stream_registry(entry_services& services, store_client& store)
    : services_(services), store_(store), reader_(services, store, *this),
      begun_(services.io), restored_(services.io), swept_at_(boot_now())
{
}

void stream_registry::start()
{
    services_.tasks.run("load versions", "store", load_versions());
    services_.tasks.run_with_restart("write streams", [this] { return write_streams(); });
    services_.tasks.run_with_restart("keep versions", [this] { return keep_versions(); });
}

void stream_registry::server_put(backend_record const& record)
{
    auto const now = boot_now();
    auto const* const known = services_.backends.find(record.id);
    bool const replaced =
        known != nullptr && known->software_version != record.software_version;
    if (replaced && streams_.note_replaced(record.id, history_.confirmed_at()))
        begun_.notify();
    server_version const version{record.service, record.software_version};
    learn_version(version, record.id);
    history_.put(record.id, version, now);
}

void stream_registry::learn_version(server_version const& version,
                                    std::string_view server)
{
    if (history_.contains(version))
        return;
    auto const now = boot_now();
    history_.remember(version, now);
    services_.log.write(
        entry_event::version_found,
        {{"service", version.service},
         {"version", version.version},
         {"server", server},
         {"several", std::int64_t{history_.is_mixed(version.service, now)}}});
    begun_.notify();
}

void stream_registry::versions_read(version_reading const& reading)
{
    for (auto const& version : reading.versions)
        learn_version(version, "");
    bool different = false;
    bool replaced = false;
    for (auto const& [id, version] : reading.servers)
    {
        learn_version(version, id);
        auto const* const known = services_.backends.find(id);
        if (known != nullptr && known->software_version == version.version)
            continue;
        different = true;
        if (known != nullptr && streams_.note_replaced(id, history_.confirmed_at()))
            replaced = true;
    }
    if (different)
        difference_read_at_ = reading.began_at;
    history_.set_complete();
    history_.confirm(reading.began_at);
    if (replaced)
        begun_.notify();
    services_.changes.notify();
}

void stream_registry::confirm_directory(time_point read_at)
{
    directory_confirmed_at_ = std::max(directory_confirmed_at_, read_at);
    history_.confirm(read_at);
}

void stream_registry::note_restorations(std::uint64_t restorations)
{
    if (restorations == restorations_)
        return;
    restorations_ = restorations;
    streams_.note_records_lost();
    written_versions_.clear();
    versions_written_at_ = {};
    spread_write_ = true;
    begun_.notify();
    restored_.notify();
}

bool stream_registry::directory_behind() const
{
    return difference_read_at_ > directory_confirmed_at_;
}

void stream_registry::server_removed(std::string const& id)
{
    history_.remove(id, boot_now());
}

void stream_registry::apply_config(serving_config const& config)
{
    auto retention = min_version_retention;
    for (auto const& route : config.routes)
        if (route.kind == request_kind::stream)
            retention = std::max(retention, 2 * route.timeout);
    history_.set_retention(retention);
    streams_.set_retention(retention);
}

std::string stream_registry::note_begun(std::string_view request_id,
                                        backend_record const& server)
{
    auto const* const known = services_.backends.find(server.id);
    // A newer process may have answered.
    auto const read = reader_.find(server.id);
    if ((known != nullptr && known->software_version != server.software_version) ||
        (read && directory_behind() && read->version != server.software_version))
        return {};
    auto const now = boot_now();
    streams_.note_begun(request_id, {server.service, server.software_version}, server.id,
                        now);
    if (!history_.sole(server.service, now, now - unchecked_begin_age))
    {
        begun_.notify();
        if (server_is_runner(server))
        {
            checked_.insert(stream_key::of(request_id));
            services_.tasks.run("check version", server.id,
                                check_begin(std::string(request_id), server));
        }
    }
    return server.software_version;
}

duration stream_registry::write_interval() const
{
    auto const instances = static_cast<std::int64_t>(services_.hub.instances());
    return std::max(min_write_interval, instances * write_interval_per_instance);
}

duration stream_registry::random_write_delay() const
{
    std::uniform_int_distribution<duration::rep> delay(0, write_interval().count());
    return duration(delay(services_.random));
}

task<void> stream_registry::write_streams()
{
    steady_timer timer(services_.io);
    for (auto pause = retry_interval;;)
    {
        if (std::exchange(spread_write_, false))
        {
            timer.expires_after(random_write_delay());
            co_await timer.async_wait(use_task);
            pause = retry_interval;
        }
        auto const now = boot_now();
        streams_.expire(now);
        auto batch = streams_.take_batch([&](std::string const& service)
                                         { return history_.is_mixed(service, now); },
                                         max_batch);
        if (batch.empty())
        {
            co_await begun_.wait(idle_interval);
            continue;
        }
        bool const done = co_await write_batch(batch);
        if (!done)
        {
            streams_.return_batch(std::move(batch));
            co_await restored_.wait(pause);
            pause = std::min(2 * pause, max_retry_interval);
            continue;
        }
        pause = retry_interval;
        timer.expires_after(write_interval());
        co_await timer.async_wait(use_task);
    }
}

task<bool> stream_registry::write_batch(stream_record_batch const& batch)
{
    std::vector<platform::row_change> changes;
    std::vector<server_version> versions;
    for (auto const& record : batch.written)
    {
        changes.push_back({platform::store_table::streams, record.key.str(),
                           platform::encode_version(record.origin)});
        if (!record.origin.version.empty() &&
            std::find(versions.begin(), versions.end(), record.origin) ==
                versions.end() &&
            versions.size() < max_stored_versions)
            versions.push_back(record.origin);
    }
    // A version is known as long as a record of its streams, whatever the hub has
    // written.
    for (auto const& version : versions)
        changes.push_back(version_row(version));
    for (auto const& key : batch.removed)
        changes.push_back({platform::store_table::streams, key.str(), std::nullopt});
    services_.metrics.count("stream_records_written_total", batch.written.size());
    bool const done = co_await write(changes);
    co_return done;
}

task<bool> stream_registry::write(std::vector<platform::row_change> const& changes)
{
    auto const reply = co_await store_.call(platform::encode_row_changes(changes),
                                            write_timeout, outage_tracking::off);
    co_return reply && reply->done();
}

task<void> stream_registry::load_versions()
{
    steady_timer timer(services_.io);
    for (auto pause = retry_interval;; pause = std::min(2 * pause, max_retry_interval))
    {
        auto const versions = co_await read_versions(store_, write_timeout);
        auto const now = boot_now();
        if (versions)
        {
            for (auto const& version : *versions)
                history_.remember(version, now);
            history_.set_complete();
            begun_.notify();
            co_return;
        }
        timer.expires_after(pause);
        co_await timer.async_wait(use_task);
    }
}

task<void> stream_registry::keep_versions()
{
    steady_timer timer(services_.io);
    for (;;)
    {
        timer.expires_after(keep_interval);
        co_await timer.async_wait(use_task);
        auto const now = boot_now();
        auto const expired = history_.take_expired(now);
        if (!services_.hub.is_hub() || !history_.complete())
            continue;
        co_await write_versions(expired);
        if (now - swept_at_ >= std::max(sweep_interval, history_.retention()))
            co_await sweep_streams();
    }
}

task<void> stream_registry::write_versions(std::vector<server_version> const& expired)
{
    auto const now = boot_now();
    expired_.insert(expired_.end(), expired.begin(), expired.end());
    auto const versions = history_.all(max_stored_versions);
    bool const due = now - versions_written_at_ >= rewrite_interval;
    if (expired_.empty() && versions == written_versions_ && !due)
        co_return;
    std::vector<platform::row_change> changes;
    changes.reserve(platform::max_row_changes);
    for (auto const& version : versions)
        changes.push_back(version_row(version));
    expired_.resize(std::min(expired_.size(), max_batch));
    for (auto const& version : expired_)
        if (std::find(versions.begin(), versions.end(), version) == versions.end())
            changes.push_back({platform::store_table::versions,
                               platform::version_key(version), std::nullopt});
    bool const done = co_await write(changes);
    if (!done)
        co_return;
    expired_.clear();
    written_versions_ = versions;
    versions_written_at_ = now;
}

task<void> stream_registry::sweep_streams()
{
    swept_at_ = boot_now();
    std::vector<std::pair<std::string, std::uint64_t>> rows;
    auto const version =
        co_await read_table(store_, platform::store_table::streams, write_timeout,
                            [&rows](platform::store_row const& row)
                            { rows.emplace_back(row.key, row.version); });
    if (!version)
        co_return;
    // Rows that were there at the last sweep are older than any stream, unless the store
    // has come back from a copy since.
    auto const limit = std::exchange(swept_version_, *version);
    if (limit.era != swept_version_.era || limit > swept_version_)
        co_return;
    std::vector<platform::row_change> changes;
    for (auto const& [key, written_at] : rows)
    {
        if (written_at <= limit.number)
            changes.push_back({platform::store_table::streams, key, std::nullopt});
        if (changes.size() < platform::max_row_changes)
            continue;
        bool const done = co_await write(changes);
        if (!done)
            co_return;
        changes.clear();
    }
    if (!changes.empty())
        static_cast<void>(co_await write(changes));
}

} // namespace carawayturn::entry
