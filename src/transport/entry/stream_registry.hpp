#pragma once

#include "coordination/entry/stream_versions.hpp"
#include "coordination/entry/version_history.hpp"
#include "transport/entry/store_client.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// How the version of a stream that a caller takes up became known.
enum class version_source : std::uint8_t
{
    unknown,
    /// This instance has begun the stream, or has read its record before.
    memory,
    /// The service has had servers of one version only.
    sole_version,
    /// The record in the store.
    store
};

[[nodiscard]] std::string_view name_of(version_source source);

/// The version at which a stream began; `origin` is empty if the source is `unknown`.
struct stream_lookup
{
    server_version origin;
    version_source source = version_source::unknown;
};

/// Keeps the versions at which streams began, in memory and, while a service has servers
/// of several versions, in the store, so that they outlast this process and the fleet.
class stream_registry
{
public:
    stream_registry(entry_services& services, store_client& store);

    /// Starts the coroutines that use the store.
    void start();

    void server_put(backend_record const& record);
    void server_removed(std::string const& id);
    /// Records that the directory is that of the store at this time.
    void confirm_directory(time_point read_at) { history_.confirm(read_at); }
    /// Adapts the time for which versions are kept to the routes' timeouts.
    void apply_config(serving_config const& config);

    /// Records that the caller of a request has received the first event from the server.
    /// Returns the version at which the stream began, which is empty if it is unknown.
    [[nodiscard]] std::string note_begun(std::string_view request_id,
                                         backend_record const& server);
    /// Finds the version of the stream that the request `begun_as` began at the service.
    /// Asks the store if this instance does not know.
    [[nodiscard]] task<stream_lookup> find(std::string begun_as, std::string service);

    /// Returns whether a stream of an unknown version may go on at any server: no server
    /// of the service states a version.
    [[nodiscard]] bool versions_unstated(std::string const& service) const;
    /// Returns whether the version of a stream that this instance began is still known.
    [[nodiscard]] bool knows(std::string_view request_id) const
    {
        return streams_.find(stream_key::of(request_id)).has_value();
    }
    /// Waits until the server that began the stream has told which process it is.
    [[nodiscard]] task<void> wait_for_check(std::string request_id);
    /// Returns whether the server's process is the one that the record describes, as far
    /// as that matters: a service with one version only is not checked.
    [[nodiscard]] task<bool> is_recorded_process(backend_record const& record);

private:
    [[nodiscard]] task<void> load_versions();
    /// Waits after the start of the process until the versions in service are known.
    [[nodiscard]] task<void> wait_for_versions();
    /// Forgets the version of a stream if a newer process than the recorded one has the
    /// server's id: that process may have begun the stream.
    [[nodiscard]] task<void> check_begin(std::string request_id, backend_record server);
    /// Asks the server for the start time of its process, as a Unix time in milliseconds.
    [[nodiscard]] task<std::optional<std::int64_t>>
    ask_start_time(backend_record const& record);
    [[nodiscard]] task<void> write_streams();
    /// Keeps the rows of the versions in service, as the hub.
    [[nodiscard]] task<void> keep_versions();
    [[nodiscard]] task<void> write_versions(std::vector<server_version> const& expired);
    /// Removes the records of streams that no instance removes.
    [[nodiscard]] task<void> sweep_streams();
    [[nodiscard]] task<bool> write_batch(stream_record_batch const& batch);
    [[nodiscard]] task<bool> write(std::vector<platform::row_change> const& changes);
    /// Reads all rows of a table. Returns nothing if the store does not answer.
    [[nodiscard]] task<std::optional<std::vector<platform::store_row>>>
    read_all(platform::store_table table);
    [[nodiscard]] task<std::optional<server_version>> read_record(stream_key key);
    [[nodiscard]] duration write_interval() const;

    entry_services& services_;
    store_client& store_;
    version_history history_;
    stream_versions streams_;
    change_signal begun_;
    /// Streams whose server is being asked which process it is.
    std::set<stream_key> checked_;
    /// The versions whose rows this instance has written as the hub, and when.
    std::vector<server_version> written_versions_;
    time_point versions_written_at_{};
    std::vector<server_version> expired_;
    /// Newest version of the table of streams when it was last swept, and when.
    std::uint64_t swept_version_ = 0;
    std::uint64_t table_version_ = 0;
    time_point swept_at_{};
};

} // namespace carawayturn::entry
