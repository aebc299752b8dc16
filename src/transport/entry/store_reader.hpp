#pragma once

#include "transport/entry/store_client.hpp"

#include <map>
#include <set>
#include <string>

namespace carawayturn::entry
{

/// Takes what the store says of backend servers.
class directory_sink
{
public:
    directory_sink() = default;
    directory_sink(directory_sink const&) = delete;
    directory_sink& operator=(directory_sink const&) = delete;
    virtual ~directory_sink() = default;

    virtual void server_put(backend_record const& record) = 0;
    virtual void server_removed(std::string const& id) = 0;
    /// Servers that this instance knows of, from whatever source.
    [[nodiscard]] virtual std::set<std::string> known_servers() const = 0;
    virtual void config_changed() = 0;
};

/// Follows the configuration and the backend servers in the store while this instance is
/// the hub or no hub answers it; otherwise reads only a configuration that it heard of.
class store_reader
{
public:
    store_reader(entry_services& services, store_client& store, directory_sink& sink);

    void start();
    /// Whether to follow the store, and else whether to read a configuration that is
    /// missing here.
    void set_mode(bool active, bool config_due);
    /// Whether a hub answers that cannot read the store either and tries it for all.
    void set_hub_retries(bool hub_retries) { hub_retries_ = hub_retries; }
    [[nodiscard]] bool active() const { return active_; }
    /// Takes a configuration that another instance passed on.
    void apply_packed_config(std::string const& packed, std::uint64_t row_version);
    /// The configuration in force as the store holds it, packed, and its row's version.
    [[nodiscard]] std::string const& packed_config() const { return packed_config_; }
    [[nodiscard]] std::uint64_t config_row() const { return config_row_; }
    /// Whether all servers have been read since the reader became active.
    [[nodiscard]] bool servers_listed() const;
    /// When the store was last asked for the servers with success.
    [[nodiscard]] time_point servers_read_at() const { return servers_read_at_; }

private:
    [[nodiscard]] task<void> follow_config();
    [[nodiscard]] task<void> follow_servers();
    [[nodiscard]] task<bool> read_config();
    [[nodiscard]] task<bool> watch_config();
    [[nodiscard]] task<bool> list_servers();
    [[nodiscard]] task<bool> watch_servers();
    void apply_server_row(platform::store_row const& row);
    /// Whether the directory has room for the row; the room is then taken.
    [[nodiscard]] bool reserve_row_bytes(platform::store_row const& row);
    void schedule_removal(std::string const& id);
    void remove_due_servers();

    entry_services& services_;
    store_client& store_;
    directory_sink& sink_;
    change_signal wake_;
    [[nodiscard]] duration retry_interval() const;
    [[nodiscard]] duration servers_interval() const;

    /// @param packed the same packed, or empty: packing costs more than reading it.
    void apply_config(std::string const& value, std::string const& packed,
                      std::uint64_t row_version);

    bool active_ = false;
    bool was_hub_ = false;
    bool config_due_ = false;
    bool hub_retries_ = false;
    std::uint64_t config_row_ = 0;
    std::string packed_config_;
    /// Versions up to which the tables were followed; 0 to read them anew.
    std::uint64_t config_version_ = 0;
    std::uint64_t servers_version_ = 0;
    time_point servers_read_at_{};
    std::set<std::string> known_servers_;
    /// Bytes of the rows of servers that were taken, and their sum.
    std::map<std::string, std::size_t> row_bytes_;
    std::size_t directory_bytes_ = 0;
    /// A server was not taken for lack of room.
    bool rows_left_out_ = false;
    /// Servers whose entry is gone while the store may have lost it, and when they count
    /// as gone.
    std::map<std::string, time_point> pending_removals_;
};

} // namespace carawayturn::entry
