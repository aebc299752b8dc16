#include "transport/entry/store_reader.hpp"

#include "coordination/entry/store_read_policy.hpp"
#include "platform/config_codec.hpp"
#include "platform/server_codec.hpp"
#include "protocol/entry/packed_text.hpp"
#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"

namespace carawayturn::entry
{

namespace
{

/// How long a long poll for changes of the configuration stays open at the store. An
/// answer confirms the configuration as of the time when the call was sent.
constexpr duration config_watch_timeout = std::chrono::milliseconds(800);
constexpr duration call_timeout = std::chrono::milliseconds(900);
/// Minimum time between two calls for the configuration, also if the store answers each
/// one immediately.
constexpr duration min_config_interval = std::chrono::milliseconds(100);
/// How long a server whose row is gone is kept after an outage of the store. A live
/// server restores a row that expired in the outage within two seconds of the store's
/// return.
constexpr duration removal_grace = std::chrono::milliseconds(2300);
/// For this long after the store has come back from a copy, it may lack what the
/// operators wrote since the copy was taken, unless their row was written since. Keyed
/// requests are served meanwhile on the confirmation from before.
constexpr duration operators_rewrite_time = std::chrono::milliseconds(1000);
/// The same for the rows of servers.
constexpr duration servers_rewrite_time = removal_grace;
/// Limit for the size of an unpacked configuration from another instance. The store
/// accepts none above this size.
constexpr std::size_t max_config_bytes = std::size_t{8} << 20U;
constexpr duration inactive_poll_interval = std::chrono::seconds(60);
/// Pages of changes that are read without a pause in between.
constexpr int max_watch_pages = 8;
/// Pages of the operators' rows that are read at most. A page has at least one row, and
/// all rows that are used fit, however long the operators make their values.
constexpr int max_config_pages = 70;
/// Limit for the bytes of the rows of all servers, including the overhead of each: about
/// 20,000 servers. A directory that is sent to an instance has to fit into a message of
/// 4 MB.
constexpr std::size_t max_directory_bytes = std::size_t{16} << 20U;
/// Bytes counted for each server in addition to its row.
constexpr std::size_t record_overhead_bytes = 768;

std::size_t bytes_of(platform::store_row const& row)
{
    return row.key.size() + row.value.size() + record_overhead_bytes;
}

/// Returns the key from which to continue a read of the operators' rows, or nothing if
/// the page is the last one or does not lead to another.
std::optional<std::string> next_operators_page(platform::store_answer const& page,
                                               std::string const& from)
{
    if (!page.truncated || page.rows.empty())
        return std::nullopt;
    // Skips what other writers have put between the configuration and the evacuations.
    auto const next =
        std::max(page.rows.back().key, std::string(platform::evacuation_prefix));
    if (next <= from || next >= platform::evacuation_end)
        return std::nullopt;
    return next;
}

} // namespace

store_reader::store_reader(entry_services& services, store_client& store,
                           directory_sink& sink)
    : services_(services), store_(store), sink_(sink), wake_(services.io)
{
}

void store_reader::start()
{
    services_.tasks.run_with_restart("follow configuration",
                                     [this] { return follow_config(); });
    services_.tasks.run_with_restart("follow servers",
                                     [this] { return follow_servers(); });
}

void store_reader::set_mode(bool active, bool config_due)
{
    auto const& authority = services_.authority;
    // The reader is woken only by a change. A missing configuration that the store does
    // not have is requested again at the retry interval.
    bool const is_hub = services_.hub.is_hub();
    if (active == active_ && config_due == config_due_ && is_hub == was_hub_)
        return;
    config_due_ = config_due;
    // Waking on a change of the role keeps a new hub from waiting for the end of the
    // longer pause of an instance that reads for itself.
    was_hub_ = is_hub;
    if (active != active_)
        services_.log.write(
            entry_event::own_reading_changed,
            {{"active", std::int64_t{active}},
             {"hub_answers", std::int64_t{services_.hub.connected()}},
             {"config_age_ms", to_ms(authority.confirmation_age(boot_now()))}});
    active_ = active;
    wake_.notify();
}

duration store_reader::retry_interval() const
{
    // The hub retries on behalf of all instances, so its pause does not grow with their
    // number.
    auto const instances = services_.hub.is_hub() ? 1 : services_.hub.instances();
    return store_read_policy::retry_interval(
        instances, hub_retries_ && !services_.authority.outdated());
}

duration store_reader::servers_interval() const
{
    return store_read_policy::servers_interval(services_.hub.instances(),
                                               services_.hub.is_hub());
}

bool store_reader::servers_listed() const
{
    return servers_version_.number != 0;
}

task<void> store_reader::follow_config()
{
    for (;;)
    {
        if (!active_ && !config_due_)
        {
            co_await wake_.wait(inactive_poll_interval);
            continue;
        }
        auto const asked_at = boot_now();
        // What was kept in place of lost rows ends with the time for writing them again.
        bool const kept_too_long =
            evacuations_kept_ && !may_be_restored(operators_rewrite_time, asked_at);
        // After a pause of the process, requests wait for a newer reading, which a long
        // poll would delay.
        bool const missing = !follows_from(config_version_) || kept_too_long ||
                             services_.authority.outdated() ||
                             services_.backends.evacuated().must_refresh(asked_at);
        bool const answered = missing ? co_await read_config() : co_await watch_config();
        // The store may not have the version that another instance announced.
        bool const still_missing = missing && services_.authority.outdated();
        auto const pause = !answered || still_missing
                               ? retry_interval()
                               : asked_at + min_config_interval - boot_now();
        if (pause > duration::zero())
            co_await wake_.wait(pause);
    }
}

bool store_reader::follows_from(store_version version) const
{
    return version.number != 0 && version.era == store_.era();
}

void store_reader::confirm_config(time_point asked_at)
{
    auto& authority = services_.authority;
    // Another instance has seen a newer configuration, which the store had before it came
    // back from a copy.
    bool const names_eras = store_.era() != 0;
    if (names_eras && authority.outdated())
        return;
    if (!may_be_restored(operators_rewrite_time, asked_at) ||
        config_row_ > first_version_in_era_)
        authority.confirm(authority.version(), asked_at);
}

void store_reader::note_version_read(store_version version)
{
    if (first_version_in_era_.era != version.era)
        first_version_in_era_ = version;
}

task<bool> store_reader::read_config()
{
    auto const asked_at = boot_now();
    evacuation_rows evacuations;
    store_version version;
    bool found = false;
    std::string from(platform::configuration_key);
    for (int page = 0; page < max_config_pages; ++page)
    {
        auto const reply =
            co_await store_.call(platform::encode_operators_read(from), call_timeout);
        if (!reply || !reply->done())
            co_return false;
        // The later pages may show changes after this version, which are read once more.
        if (page == 0)
            version = reply->version();
        // The store has come back from a copy between two pages.
        if (reply->era != version.era)
            co_return false;
        note_version_read(version);
        found =
            apply_operators_rows(reply->answer.rows, reply->era, evacuations) || found;
        if (page == 0)
            confirm_config(asked_at);
        auto const next = next_operators_page(reply->answer, from);
        if (!next || evacuations.ignored() > 0)
            break;
        from = *next;
    }
    evacuations_kept_ = may_be_restored(operators_rewrite_time, asked_at);
    if (evacuations_kept_)
        keep_evacuations(evacuations);
    config_version_ = version;
    evacuation_rows_ = std::move(evacuations);
    publish_evacuations(version, asked_at);
    co_return found;
}

task<bool> store_reader::watch_config()
{
    auto const asked_at = boot_now();
    auto const watch_time = config_watch_time();
    auto const reply = co_await store_.call(
        platform::encode_table_watch(platform::store_table::configuration,
                                     config_version_.number, watch_time),
        watch_time + call_timeout);
    if (reply && reply->changes_unavailable())
        co_return co_await read_config();
    if (!reply || !reply->done())
        co_return false;
    // The changes since a version of another era are not those since what was read. The
    // same shows if a store that names no eras has a lower version than before.
    if (reply->era != config_version_.era || reply->version() < config_version_)
    {
        config_version_ = {};
        co_return co_await read_config();
    }
    apply_operators_rows(reply->answer.rows, reply->era, evacuation_rows_);
    confirm_config(asked_at);
    if (evacuation_rows_.incomplete())
    {
        config_version_ = {};
        co_return true;
    }
    config_version_ = reply->version();
    // Changes are missing in a truncated answer, so it proves nothing about the present.
    publish_evacuations(config_version_,
                        reply->answer.truncated ? time_point{} : asked_at);
    co_return true;
}

bool store_reader::apply_operators_rows(std::vector<platform::store_row> const& rows,
                                        std::uint64_t era, evacuation_rows& evacuations)
{
    bool found = false;
    for (auto const& row : rows)
    {
        if (row.key == platform::configuration_key && !row.removed)
        {
            apply_config(row.value, {}, {era, row.version});
            found = true;
        }
        auto const domain = platform::decode_evacuation_key(row.key);
        if (domain && row.removed)
            evacuations.remove(*domain);
        else if (domain)
            evacuations.put(*domain, row.version);
    }
    return found;
}

void store_reader::publish_evacuations(store_version version, time_point asked_at)
{
    bool const ignored = evacuation_rows_.ignored() > 0;
    if (ignored && !evacuations_ignored_)
        services_.log.write(entry_event::evacuation_rows_ignored,
                            {{"rows", std::uint64_t{evacuation_rows_.ignored()}},
                             {"version", version.number}});
    evacuations_ignored_ = ignored;
    sink_.evacuations_read(
        {evacuation_rows_.as_of(version.number), asked_at, boot_now(), version.era});
}

void store_reader::keep_evacuations(evacuation_rows& evacuations)
{
    std::set<std::string> read;
    for (auto const& domain : evacuations.as_of(0).domains)
        read.insert(domain.name);
    for (auto const& [name, row_version] : services_.backends.evacuated().domains())
        if (!read.contains(name))
            evacuations.put(name, row_version);
}

void store_reader::apply_packed_config(std::string const& packed,
                                       store_version row_version)
{
    if (packed == packed_config_)
        return;
    auto const text = unpack(packed, max_config_bytes);
    if (succeeded(text))
        apply_config(std::get<std::string>(text), packed, row_version);
    else
        services_.log.write(entry_event::configuration_unreadable,
                            {{"detail", to_string(std::get<error>(text))}});
}

void store_reader::apply_config(std::string const& value, std::string const& packed,
                                store_version row_version)
{
    if (row_version == config_row_)
        return;
    auto decoded = platform::decode_config(value);
    if (!succeeded(decoded))
    {
        services_.log.write(entry_event::configuration_unreadable,
                            {{"detail", to_string(std::get<error>(decoded))}});
        return;
    }
    auto config = std::get<std::shared_ptr<serving_config const>>(std::move(decoded));
    auto const version = config->version;
    // The row of a configuration that is in force already may have been written again.
    if (version == services_.authority.version())
        config_row_ = row_version;
    // The version in the configuration decides, not that of the row: a store that was
    // restored to an earlier state may hold an older configuration in a newer row. It
    // must not be passed on to other instances either.
    if (!services_.authority.accept(std::move(config)))
        return;
    config_row_ = row_version;
    packed_config_ = packed.empty() ? pack(value) : packed;
    services_.log.write(entry_event::configuration_in_force,
                        {{"version", version},
                         {"row_version", row_version.number},
                         {"store_era", row_version.era}});
    services_.metrics.set_gauge("config_version", static_cast<double>(version));
    sink_.config_changed();
    services_.changes.notify();
}

task<void> store_reader::follow_servers()
{
    for (;;)
    {
        if (!active_)
        {
            co_await wake_.wait(inactive_poll_interval);
            // Read the whole table next time. The changes since the last answer would
            // arrive page by page and include servers that no longer exist.
            servers_version_ = {};
            continue;
        }
        // Calls for the configuration suffice to notice that the store answers again.
        if (!store_.answering() && !services_.hub.is_hub())
        {
            co_await wake_.wait(servers_interval());
            continue;
        }
        auto const asked_at = boot_now();
        bool const answered = follows_from(servers_version_) ? co_await watch_servers()
                                                             : co_await list_servers();
        if (answered)
            servers_read_at_ = asked_at;
        remove_due_servers();
        co_await wake_.wait(answered ? servers_interval() : retry_interval());
    }
}

task<bool> store_reader::list_servers()
{
    std::set<std::string> listed;
    std::string from;
    store_version version;
    // Includes the keys of rows that cannot be decoded.
    std::size_t listed_bytes = 0;
    bool complete = true;
    for (;;)
    {
        auto const reply = co_await store_.call(
            platform::encode_table_read(platform::store_table::backend_servers, from),
            call_timeout);
        if (!reply || !reply->done())
            co_return false;
        // The hub answers again, and its directory may be newer than what was read here.
        if (!active_)
            co_return false;
        // Changes are followed from the version of the first page, so that none is missed
        // that happens while the later pages are read.
        if (version.number == 0)
            version = reply->version();
        // The store has come back from a copy between two pages.
        if (reply->era != version.era)
            co_return false;
        for (auto const& row : reply->answer.rows)
        {
            if (listed.insert(row.key).second)
                listed_bytes += row.key.size() + record_overhead_bytes;
            apply_server_row(row, row_source::list);
        }
        if (!reply->answer.truncated)
            break;
        // More rows exist, but the page does not lead to them.
        bool const at_last_key =
            reply->answer.rows.empty() || reply->answer.rows.back().key == from;
        if (at_last_key || listed_bytes > max_directory_bytes)
        {
            complete = false;
            break;
        }
        // The keys of the pages are not in ascending order, so the list might never end.
        if (reply->answer.rows.back().key < from)
            co_return false;
        from = reply->answer.rows.back().key;
    }
    servers_version_ = version;
    // Servers missing from an incomplete list may still exist, so none is removed.
    if (!complete)
    {
        services_.changes.notify();
        co_return true;
    }
    known_servers_.merge(sink_.known_servers());
    std::set<std::string> missing;
    for (auto const& id : known_servers_)
        if (listed.count(id) == 0)
            missing.insert(id);
    for (auto const& id : missing)
        schedule_removal(id);
    services_.changes.notify();
    co_return true;
}

task<bool> store_reader::watch_servers()
{
    for (int page = 0; page < max_watch_pages; ++page)
    {
        auto const reply = co_await store_.call(
            platform::encode_table_watch(platform::store_table::backend_servers,
                                         servers_version_.number, duration::zero()),
            call_timeout);
        if (reply && reply->changes_unavailable())
        {
            servers_version_ = {};
            co_return co_await list_servers();
        }
        if (!reply || !reply->done() || !active_)
            co_return false;
        // The store has come back from a copy, so the whole table is read again. A store
        // that names no eras shows a lower version than before.
        if (reply->era != servers_version_.era || reply->version() < servers_version_)
        {
            servers_version_ = {};
            co_return co_await list_servers();
        }
        for (auto const& row : reply->answer.rows)
        {
            if (row.removed)
                schedule_removal(row.key);
            else
                apply_server_row(row, row_source::change);
        }
        bool const advanced = reply->version() > servers_version_;
        servers_version_ = reply->version();
        if (!reply->answer.truncated)
            co_return true;
        // The version did not advance, so the next call would return the same page.
        if (!advanced)
            co_return false;
    }
    co_return false;
}

bool store_reader::may_be_restored(duration rewrite_time, time_point now) const
{
    auto const restored_at = store_.eras().restored_at();
    return restored_at && now - *restored_at < rewrite_time;
}

duration store_reader::config_watch_time() const
{
    auto const restored_at = store_.eras().restored_at();
    if (!restored_at)
        return config_watch_timeout;
    auto const confirmable_at = *restored_at + operators_rewrite_time;
    if (services_.authority.confirmed_at() >= confirmable_at)
        return config_watch_timeout;
    return std::clamp(confirmable_at - boot_now(), duration::zero(),
                      config_watch_timeout);
}

bool store_reader::keep_newer_state(backend_record& record) const
{
    auto const* const known = sink_.known_server(record.id);
    if (known == nullptr)
        return !sink_.removed_lately(record);
    // A server that leaves does not change its mind.
    if (known->born_ms == record.born_ms)
        record.draining = record.draining || known->draining;
    return known->born_ms <= record.born_ms;
}

void store_reader::apply_server_row(platform::store_row const& row, row_source source)
{
    auto decoded = platform::decode_server(row.key, row.value);
    if (!succeeded(decoded))
    {
        services_.log.write(entry_event::backend_row_unreadable,
                            {{"server", row.key},
                             {"row_version", row.version},
                             {"detail", std::get<error>(decoded).detail}});
        return;
    }
    if (!reserve_row_bytes(row))
    {
        services_.log.write(entry_event::backend_row_unreadable,
                            {{"server", row.key},
                             {"row_version", row.version},
                             {"detail", "the directory is full"}});
        return;
    }
    auto& record = std::get<backend_record>(decoded);
    if (source == row_source::list && may_be_restored(servers_rewrite_time, boot_now()) &&
        !keep_newer_state(record))
    {
        services_.log.write(entry_event::backend_row_unreadable,
                            {{"server", row.key},
                             {"row_version", row.version},
                             {"detail", "the row is older than what is known"}});
        return;
    }
    pending_removals_.erase(row.key);
    known_servers_.insert(row.key);
    sink_.server_put(record);
}

bool store_reader::reserve_row_bytes(platform::store_row const& row)
{
    auto const found = row_bytes_.find(row.key);
    auto const former = found == row_bytes_.end() ? 0 : found->second;
    auto const bytes = bytes_of(row);
    if (directory_bytes_ - former + bytes > max_directory_bytes)
    {
        rows_left_out_ = true;
        return false;
    }
    directory_bytes_ += bytes - former;
    row_bytes_[row.key] = bytes;
    return true;
}

void store_reader::schedule_removal(std::string const& id)
{
    if (known_servers_.count(id) != 0)
        pending_removals_.emplace(id, store_.regained_at() + removal_grace);
}

void store_reader::remove_due_servers()
{
    auto const now = boot_now();
    // Rows of live servers expire while the store is unavailable.
    if (!store_.answering())
        return;
    auto const removed = std::erase_if(
        pending_removals_,
        [&](auto const& entry)
        {
            if (entry.second > now || store_.regained_at() + removal_grace > now)
                return false;
            known_servers_.erase(entry.first);
            if (auto const row = row_bytes_.find(entry.first); row != row_bytes_.end())
            {
                directory_bytes_ -= row->second;
                row_bytes_.erase(row);
            }
            sink_.server_removed(entry.first);
            return true;
        });
    if (removed == 0 || !rows_left_out_)
        return;
    // The directory has room again. Servers that were left out are not reported as
    // changes, so the whole table is read again.
    rows_left_out_ = false;
    servers_version_ = {};
}

} // namespace carawayturn::entry
