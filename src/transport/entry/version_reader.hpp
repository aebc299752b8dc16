#pragma once

#include "coordination/entry/shared_reading.hpp"
#include "state/entry/server_version.hpp"
#include "transport/entry/store_client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Reads all rows of a table, page by page, and passes each to `apply`. Returns the
/// newest version of any row when the read began; nothing if the store does not answer in
/// time, or comes back from a copy meanwhile.
[[nodiscard]] task<std::optional<store_version>>
read_table(store_client& store, platform::store_table table, duration call_timeout,
           std::function<void(platform::store_row const&)> apply);

/// Reads the rows of the versions that serve or served recently, without those that
/// cannot be decoded. Returns nothing if the store does not answer in time.
[[nodiscard]] task<std::optional<std::vector<server_version>>>
read_versions(store_client& store, duration call_timeout);

/// What a reading of the store has shown.
struct version_reading
{
    time_point began_at{};
    /// The versions that serve or served recently, by their own rows.
    std::vector<server_version> versions;
    /// The version in each server's row, by the server's id.
    std::map<std::string, server_version> const& servers;
};

/// Receives the readings.
class version_sink
{
public:
    version_sink() = default;
    version_sink(version_sink const&) = delete;
    version_sink& operator=(version_sink const&) = delete;
    virtual ~version_sink() = default;

    virtual void versions_read(version_reading const& reading) = 0;
};

/// Reads the versions in service from the store when a request asks for them, whether or
/// not this instance follows the servers there.
class version_reader
{
public:
    version_reader(entry_services& services, store_client& store, version_sink& sink);

    /// Returns whether a reading that began at `since` or later has succeeded; begins one
    /// and waits for it if necessary. Fails if the store does not answer it.
    [[nodiscard]] task<bool> read_since(time_point since);

    /// Returns the version in the server's row as of the last reading, if it had one.
    [[nodiscard]] std::optional<server_version> find(std::string const& server) const;

private:
    [[nodiscard]] task<void> read();
    [[nodiscard]] task<bool> read_tables();
    [[nodiscard]] task<bool> read_servers(duration timeout);
    [[nodiscard]] task<bool> list_servers(duration timeout);
    enum class change_outcome : std::uint8_t
    {
        read,
        failed,
        /// The store cannot tell the changes, so the whole table has to be read.
        unavailable
    };
    /// Reads the changes since this version of the table.
    [[nodiscard]] task<change_outcome> read_changes(store_version after,
                                                    duration timeout);
    void apply_row(platform::store_row const& row);

    entry_services& services_;
    store_client& store_;
    version_sink& sink_;
    shared_reading schedule_;
    change_signal ended_;
    std::map<std::string, server_version> servers_;
    /// Version of the table up to which `servers_` is known, and when the reading began
    /// that showed it; number 0 to read the whole table.
    store_version servers_version_;
    time_point listed_at_{};
};

} // namespace carawayturn::entry
