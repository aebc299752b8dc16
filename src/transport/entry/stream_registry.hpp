#pragma once

#include "coordination/entry/stream_versions.hpp"
#include "coordination/entry/version_history.hpp"
#include "transport/entry/version_reader.hpp"

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

/// Why the version of a stream that a caller takes up is not known.
enum class version_gap : std::uint8_t
{
    none,
    /// Neither the hub nor the store has told the versions in service since the request
    /// arrived.
    versions_unread,
    /// The request does not name the one that began the stream.
    stream_unnamed,
    /// This instance began the stream, and several processes may have answered it.
    begin_unclear,
    /// The store did not answer when it was asked for the stream's record.
    record_unread,
    /// The store has no record of the stream.
    record_missing,
    /// The server that began the stream states no version, and others do.
    version_unstated
};

[[nodiscard]] std::string_view name_of(version_gap gap);

/// The version at which a stream began; `origin` is empty if the source is `unknown`, and
/// `gap` says why.
struct stream_lookup
{
    server_version origin;
    version_source source = version_source::unknown;
    version_gap gap = version_gap::none;
};

/// What an instance knows of the versions that serve or served recently.
enum class known_versions : std::uint8_t
{
    /// No reading is recent enough to tell.
    unread,
    one,
    several
};

[[nodiscard]] std::string_view name_of(known_versions versions);

/// The versions of a service as an instance knows them, and for how long.
struct version_knowledge
{
    known_versions versions = known_versions::unread;
    /// Time since the newest confirmed reading began; nothing before the first one.
    std::optional<duration> age;
};

/// Keeps the versions at which streams began, in memory and, while a service has servers
/// of several versions, in the store, so that they outlast this process and the fleet.
class stream_registry : private version_sink
{
public:
    stream_registry(entry_services& services, store_client& store);

    /// Starts the coroutines that use the store.
    void start();

    void server_put(backend_record const& record);
    void server_removed(std::string const& id);
    /// Records that the directory is that of the store at this time.
    void confirm_directory(time_point read_at);
    /// Writes everything again that the store may have lost, if it has come back from a
    /// copy since the last call.
    /// @param restorations number of times that it has, as far as this instance knows.
    void note_restorations(std::uint64_t restorations);
    /// Returns whether the store has had other servers, or versions of them, than the
    /// directory, and the directory has not been read since.
    [[nodiscard]] bool directory_behind() const;
    /// Adapts the time for which versions are kept to the routes' timeouts.
    void apply_config(serving_config const& config);

    /// Records that the caller of a request has received the first event from the server.
    /// Returns the version at which the stream began, which is empty if it is unknown.
    [[nodiscard]] std::string note_begun(std::string_view request_id,
                                         backend_record const& server);
    /// Finds the version of the stream that the request `begun_as` began at the service.
    /// Asks the store if this instance does not know.
    /// @param asked_at when the request arrived that takes the stream up.
    [[nodiscard]] task<stream_lookup> find(std::string begun_as, std::string service,
                                           time_point asked_at);

    /// Returns whether a stream of an unknown version might go on at any server: as far
    /// as this instance knows, no server of the service states a version.
    [[nodiscard]] bool versions_unstated(std::string const& service) const;
    /// Returns what this instance knows of the service's versions as of `since`, and the
    /// age of that.
    [[nodiscard]] version_knowledge knowledge(std::string const& service,
                                              time_point since) const;
    /// Returns whether that is known as of `since`. Asks the store if necessary.
    [[nodiscard]] task<bool> versions_unstated_since(std::string service,
                                                     time_point since);
    /// Returns whether the version of a stream that this instance began is still known.
    [[nodiscard]] bool knows(std::string_view request_id) const
    {
        return streams_.find(stream_key::of(request_id)).has_value();
    }
    /// Returns whether the version of a stream that this instance began is known to be
    /// that of the process that began it. Waits for what tells, and asks the store if
    /// necessary.
    [[nodiscard]] task<bool> is_begin_confirmed(std::string request_id);
    /// Returns whether the server's process is the one that the record describes, as far
    /// as that matters: a service that has one version only as of `since` is not checked.
    [[nodiscard]] task<bool> is_recorded_process(backend_record record, time_point since);

private:
    void versions_read(version_reading const& reading) override;
    void learn_version(server_version const& version, std::string_view server);
    /// Returns the version that serves alone as of `since`; nothing if there are several,
    /// or if neither the hub nor the store tells.
    [[nodiscard]] task<std::optional<std::string>> sole_version(std::string service,
                                                                time_point since);
    /// Returns the version that this instance knows for the stream, if it is confirmed.
    [[nodiscard]] task<std::optional<server_version>> find_own(stream_key key);
    /// Reads the record of a stream, again after a moment if there is none. `origin` is
    /// empty if nothing was found.
    [[nodiscard]] task<stream_lookup> find_record(stream_key key);
    /// Waits until the directory has the servers that the store was seen to have.
    [[nodiscard]] task<void> wait_for_directory();
    /// Waits until the server that began the stream has told which process it is.
    [[nodiscard]] task<void> wait_for_check(stream_key key);
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
    [[nodiscard]] task<stream_lookup> read_record(stream_key key);
    [[nodiscard]] duration write_interval() const;
    /// Returns a random part of that interval.
    [[nodiscard]] duration random_write_delay() const;

    entry_services& services_;
    store_client& store_;
    version_history history_;
    version_reader reader_;
    stream_versions streams_;
    change_signal begun_;
    std::uint64_t restorations_ = 0;
    /// Wakes the writer if it waits for the next try.
    change_signal restored_;
    /// Whether the next write waits for a random part of the interval, because all
    /// instances have records to write at the same moment.
    bool spread_write_ = false;
    time_point directory_confirmed_at_{};
    /// When the last reading began that showed a difference between the store and the
    /// directory.
    time_point difference_read_at_{};
    /// Streams whose server is being asked which process it is.
    std::set<stream_key> checked_;
    /// The versions whose rows this instance has written as the hub, and when.
    std::vector<server_version> written_versions_;
    time_point versions_written_at_{};
    std::vector<server_version> expired_;
    /// Newest version of the table of streams when it was last swept, and when.
    store_version swept_version_;
    time_point swept_at_{};
};

} // namespace carawayturn::entry
