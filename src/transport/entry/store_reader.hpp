#pragma once

#include "coordination/entry/evacuation_rows.hpp"
#include "coordination/entry/evacuations.hpp"
#include "transport/entry/store_client.hpp"

#include <map>
#include <set>
#include <string>

namespace carawayturn::entry
{

/// Receives changes of the backend servers and the configuration in the store.
class directory_sink
{
public:
    directory_sink() = default;
    directory_sink(directory_sink const&) = delete;
    directory_sink& operator=(directory_sink const&) = delete;
    virtual ~directory_sink() = default;

    /// A server was added or changed.
    virtual void server_put(backend_record const& record) = 0;
    virtual void server_removed(std::string const& id) = 0;
    /// Returns the ids of all servers that this instance knows, from the store or the
    /// hub.
    [[nodiscard]] virtual std::set<std::string> known_servers() const = 0;
    /// Returns what this instance knows of a server, or null.
    [[nodiscard]] virtual backend_record const*
    known_server(std::string const& id) const = 0;
    /// Whether the server of the record was removed lately.
    [[nodiscard]] virtual bool removed_lately(backend_record const& record) const = 0;
    /// Another configuration is in force.
    virtual void config_changed() = 0;
    /// The evacuated failure domains were read from the store.
    virtual void evacuations_read(evacuation_reading const& reading) = 0;
};

/// Follows the configuration and the backend servers in the store while this instance is
/// the hub or no hub answers it. Otherwise reads only a configuration that this instance
/// knows to exist and does not have.
class store_reader
{
public:
    store_reader(entry_services& services, store_client& store, directory_sink& sink);

    /// Starts the coroutines that follow the tables.
    void start();
    /// Sets what to read.
    /// @param active whether to follow the store.
    /// @param config_due whether to read a missing configuration while not active.
    void set_mode(bool active, bool config_due);
    /// Sets whether a hub answers that cannot read the store either and retries on behalf
    /// of all instances.
    void set_hub_retries(bool hub_retries) { hub_retries_ = hub_retries; }
    /// Whether this instance follows the store.
    [[nodiscard]] bool active() const { return active_; }
    /// Applies a configuration that another instance passed on.
    void apply_packed_config(std::string const& packed, store_version row_version);
    /// The configuration in force as stored, packed, and the version of its row.
    [[nodiscard]] std::string const& packed_config() const { return packed_config_; }
    [[nodiscard]] store_version config_row() const { return config_row_; }
    /// Whether all servers have been read since the reader became active.
    [[nodiscard]] bool servers_listed() const;
    /// When the last successful read of the servers was sent to the store.
    [[nodiscard]] time_point servers_read_at() const { return servers_read_at_; }

private:
    [[nodiscard]] task<void> follow_config();
    [[nodiscard]] task<void> follow_servers();
    [[nodiscard]] task<bool> read_config();
    [[nodiscard]] task<bool> watch_config();
    /// Returns whether the changes since this version lead to the present state of the
    /// table: it was read, and the store has not come back from a copy since.
    [[nodiscard]] bool follows_from(store_version version) const;
    /// Records that an answer to a call that was sent at this time has shown no newer
    /// configuration than the one in force.
    void confirm_config(time_point asked_at);
    /// Records the version of the operators' table as of an answer.
    void note_version_read(store_version version);
    /// Applies the operators' rows. Returns whether the configuration is among them.
    bool apply_operators_rows(std::vector<platform::store_row> const& rows,
                              std::uint64_t era, evacuation_rows& evacuations);
    /// Passes on the evacuations as of this version of the table.
    void publish_evacuations(store_version version, time_point asked_at);
    /// Adds the evacuations that are in force to rows that may come from a copy.
    void keep_evacuations(evacuation_rows& evacuations);
    [[nodiscard]] task<bool> list_servers();
    [[nodiscard]] task<bool> watch_servers();
    /// Whether a row was read with the whole table or as a change.
    enum class row_source : std::uint8_t
    {
        list,
        change
    };
    void apply_server_row(platform::store_row const& row, row_source source);
    /// Whether the store has come back from a copy less than `rewrite_time` ago, so that
    /// it may lack rows that their writers write again.
    [[nodiscard]] bool may_be_restored(duration rewrite_time, time_point now) const;
    /// Returns how long to wait for a change of the operators' rows: not beyond the time
    /// from which an answer confirms the configuration after a restoration.
    [[nodiscard]] duration config_watch_time() const;
    /// Keeps in the record of a row that may come from a copy what is known to be newer.
    /// Returns whether the record may be used at all.
    [[nodiscard]] bool keep_newer_state(backend_record& record) const;
    /// Reserves bytes of the directory for the row. Returns whether they are available.
    [[nodiscard]] bool reserve_row_bytes(platform::store_row const& row);
    /// Schedules the removal of a server whose row is gone from the store.
    void schedule_removal(std::string const& id);
    /// Removes the servers whose grace period is over, if the store answers.
    void remove_due_servers();

    entry_services& services_;
    store_client& store_;
    directory_sink& sink_;
    change_signal wake_;
    [[nodiscard]] duration retry_interval() const;
    [[nodiscard]] duration servers_interval() const;

    /// Puts a configuration in force if it is newer.
    /// @param packed the packed value if it is known, else empty; packing costs more than
    ///     decoding.
    void apply_config(std::string const& value, std::string const& packed,
                      store_version row_version);

    bool active_ = false;
    bool was_hub_ = false;
    bool config_due_ = false;
    bool hub_retries_ = false;
    store_version config_row_;
    std::string packed_config_;
    /// Versions up to which the tables were followed; number 0 to read the whole table.
    store_version config_version_;
    store_version servers_version_;
    /// Version of the operators' table as of the first answer of its era.
    store_version first_version_in_era_;
    /// The rows of the evacuations as of config_version_.
    evacuation_rows evacuation_rows_;
    /// Whether the last reading had evacuation rows that were ignored.
    bool evacuations_ignored_ = false;
    /// Whether evacuation_rows_ has some that the store may have lost.
    bool evacuations_kept_ = false;
    time_point servers_read_at_{};
    std::set<std::string> known_servers_;
    /// Bytes reserved for the row of each server in the directory, and their sum.
    std::map<std::string, std::size_t> row_bytes_;
    std::size_t directory_bytes_ = 0;
    /// Whether a server was left out because the directory was full.
    bool rows_left_out_ = false;
    /// Servers whose row is gone, and when they are to be removed. The store may have
    /// lost the row of a live server in an outage, so they stay for a grace period.
    std::map<std::string, time_point> pending_removals_;
};

} // namespace carawayturn::entry
