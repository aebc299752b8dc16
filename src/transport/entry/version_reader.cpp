#include "transport/entry/version_reader.hpp"

#include "platform/server_codec.hpp"
#include "platform/version_codec.hpp"
#include "transport/entry/boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace carawayturn::entry
{

namespace
{

/// Time for all calls of a reading. A caller that takes a stream up waits for it.
constexpr duration reading_timeout = std::chrono::milliseconds(400);
/// Servers that are kept. A reading that shows more fails, which bounds the memory that
/// rows of other writers can take.
constexpr std::size_t max_servers = 20'000;
/// Versions that are taken from their rows; several of a service are enough to know that
/// there is more than one.
constexpr std::size_t max_versions = 1'000;
/// Pages of changes that are read; the whole table is shorter than more of them.
constexpr int max_change_pages = 8;
/// Changes are read instead of the whole table if the last reading is no older. A store
/// that names no eras may have come back from a copy since and have passed the version of
/// that reading again.
constexpr duration max_change_age = std::chrono::seconds(2);

/// Ends a reading, also one that throws, and wakes those that wait for it.
struct reading_end
{
    shared_reading& schedule;
    change_signal& ended;
    bool read = false;

    reading_end(shared_reading& running, change_signal& signal)
        : schedule(running), ended(signal)
    {
    }
    reading_end(reading_end const&) = delete;
    reading_end& operator=(reading_end const&) = delete;
    ~reading_end()
    {
        schedule.end(read);
        ended.notify();
    }
};

} // namespace

task<std::optional<store_version>>
read_table(store_client& store, platform::store_table table, duration call_timeout,
           std::function<void(platform::store_row const&)> apply)
{
    std::optional<store_version> version;
    std::string from;
    for (;;)
    {
        auto const reply = co_await store.call(platform::encode_table_read(table, from),
                                               call_timeout, outage_tracking::off);
        if (!reply || !reply->done())
            co_return std::nullopt;
        auto const& page = reply->answer;
        if (!version)
            version = reply->version();
        else if (version->era != reply->era)
            co_return std::nullopt;
        std::for_each(page.rows.begin(), page.rows.end(), apply);
        bool const more =
            page.truncated && !page.rows.empty() && page.rows.back().key >= from;
        if (!more)
            co_return version;
        from = page.rows.back().key + '\0';
    }
}

task<std::optional<std::vector<server_version>>> read_versions(store_client& store,
                                                               duration call_timeout)
{
    std::vector<server_version> versions;
    auto const read = co_await read_table(
        store, platform::store_table::versions, call_timeout,
        [&versions](platform::store_row const& row)
        {
            auto decoded = platform::decode_version(row.value);
            if (succeeded(decoded) && versions.size() < max_versions)
                versions.push_back(std::get<server_version>(std::move(decoded)));
        });
    if (!read)
        co_return std::nullopt;
    co_return versions;
}

version_reader::version_reader(entry_services& services, store_client& store,
                               version_sink& sink)
    : services_(services), store_(store), sink_(sink), ended_(services.io)
{
}

task<bool> version_reader::read_since(time_point since)
{
    for (;;)
    {
        auto const result = schedule_.result_since(since);
        if (result != reading_result::pending)
            co_return result == reading_result::done;
        schedule_.set_instances(services_.hub.instances());
        auto const now = boot_now();
        if (now >= schedule_.next_begin())
        {
            schedule_.begin(now);
            services_.tasks.run("read versions", "store", read());
        }
        co_await ended_.wait(
            std::clamp(schedule_.next_begin() - now, duration::zero(), reading_timeout));
    }
}

task<void> version_reader::read()
{
    services_.metrics.count("version_readings_total");
    reading_end end(schedule_, ended_);
    end.read = co_await read_tables();
    if (!end.read)
        services_.metrics.count("version_readings_failed_total");
}

task<bool> version_reader::read_tables()
{
    auto const began_at = schedule_.began_at();
    auto versions = co_await read_versions(store_, reading_timeout);
    auto const left = began_at + reading_timeout - boot_now();
    if (!versions || left <= duration::zero())
        co_return false;
    bool const listed = co_await read_servers(left);
    if (!listed || servers_.size() > max_servers)
        co_return false;
    listed_at_ = began_at;
    sink_.versions_read({began_at, std::move(*versions), servers_});
    co_return true;
}

task<bool> version_reader::read_servers(duration timeout)
{
    auto const version = std::exchange(servers_version_, {});
    if (version.number != 0 && boot_now() - listed_at_ <= max_change_age)
    {
        auto const outcome = co_await read_changes(version, timeout);
        if (outcome != change_outcome::unavailable)
            co_return outcome == change_outcome::read;
    }
    co_return co_await list_servers(timeout);
}

task<bool> version_reader::list_servers(duration timeout)
{
    servers_.clear();
    auto const version =
        co_await read_table(store_, platform::store_table::backend_servers, timeout,
                            [this](platform::store_row const& row) { apply_row(row); });
    servers_version_ = version.value_or(store_version{});
    co_return version.has_value();
}

task<version_reader::change_outcome> version_reader::read_changes(store_version after,
                                                                  duration timeout)
{
    for (int page = 0; page < max_change_pages; ++page)
    {
        auto const reply = co_await store_.call(
            platform::encode_table_watch(platform::store_table::backend_servers,
                                         after.number, duration::zero()),
            timeout, outage_tracking::off);
        if (reply && reply->changes_unavailable())
            co_return change_outcome::unavailable;
        if (!reply || !reply->done())
            co_return change_outcome::failed;
        // The store came back from a copy. One that names no eras shows a lower version.
        if (reply->era != after.era || reply->version() < after)
            co_return change_outcome::unavailable;
        for (auto const& row : reply->answer.rows)
            apply_row(row);
        bool const advanced = reply->version() > after;
        after = reply->version();
        if (!reply->answer.truncated)
        {
            servers_version_ = after;
            co_return change_outcome::read;
        }
        if (!advanced)
            break;
    }
    co_return change_outcome::unavailable;
}

void version_reader::apply_row(platform::store_row const& row)
{
    servers_.erase(row.key);
    if (row.removed || servers_.size() > max_servers)
        return;
    auto const decoded = platform::decode_server(row.key, row.value);
    if (!succeeded(decoded))
        return;
    auto const& record = std::get<backend_record>(decoded);
    servers_[row.key] = {record.service, record.software_version};
}

std::optional<server_version> version_reader::find(std::string const& server) const
{
    auto const found = servers_.find(server);
    if (found == servers_.end())
        return std::nullopt;
    return found->second;
}

} // namespace carawayturn::entry
