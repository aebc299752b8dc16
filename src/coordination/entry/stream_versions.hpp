#pragma once

#include "coordination/entry/version_history.hpp"
#include "state/entry/server_version.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// Names a stream by a hash of the id of the request that began it, so that ids of any
/// length take the same memory.
struct stream_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] static stream_key of(std::string_view request_id);
    /// Returns 32 hexadecimal digits.
    [[nodiscard]] std::string str() const;
    friend auto operator<=>(stream_key const&, stream_key const&) = default;
};

/// The version at which a stream began.
struct stream_record
{
    stream_key key;
    server_version origin;
};

/// Changes of the records in the store.
struct stream_record_batch
{
    std::vector<stream_record> written;
    std::vector<stream_key> removed;

    [[nodiscard]] std::size_t size() const { return written.size() + removed.size(); }
    [[nodiscard]] bool empty() const { return size() == 0; }
};

/// The versions at which the streams of this instance began, and which of them are to be
/// written to the store.
///
/// Only streams of services with several versions are written, because a stream of any
/// other service can go on anywhere. When a service comes to have several versions, the
/// streams that began before are written too. Handles the load pattern "the whole fleet
/// is killed at once, and the callers of all streams return in the same second".
class stream_versions
{
public:
    /// Whether the streams of a service are written.
    using is_written_rule = std::function<bool(std::string const& service)>;

    void set_retention(duration retention) { retention_ = retention; }

    /// Records that the caller of a request has received the first event of a stream. An
    /// id that began streams at different versions names none.
    /// @param server id of the server.
    void note_begun(std::string_view request_id, server_version const& origin,
                    std::string_view server, time_point now);
    /// Records what the store says about a stream.
    void learn(stream_key key, server_version const& origin, time_point now);
    /// Records that a newer process, of another version, has the server's id. It may have
    /// begun the streams that were attributed to the server since its record was read.
    /// Returns whether that makes the version of a stream unknown.
    /// @param read_at when the reading began that showed the former record last.
    bool note_replaced(std::string_view server, time_point read_at);
    /// Records that the process of the server's record has begun the stream.
    void confirm(stream_key key);

    /// Records that the version at which a stream began is not known after all.
    void forget(stream_key key);

    /// Returns the version at which the stream began; nothing if that is not known.
    [[nodiscard]] std::optional<server_version> find(stream_key key) const;
    /// Returns when the stream began, if a newer process with the server's id may have
    /// begun it. The servers that are read from then on tell.
    [[nodiscard]] std::optional<time_point> unconfirmed_since(stream_key key) const;
    /// Returns whether this instance knows that the version is not known, whatever the
    /// store has.
    [[nodiscard]] bool is_unknown(stream_key key) const;

    /// Returns the next changes for the store, at most `limit`, and regards them as
    /// carried out.
    [[nodiscard]] stream_record_batch take_batch(is_written_rule const& is_written,
                                                 std::size_t limit);
    /// Takes changes back that were not carried out.
    void return_batch(stream_record_batch batch);
    /// Regards all records as not written, because the store may have lost them.
    void note_records_lost();
    /// Forgets the streams whose retention is over.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    enum class record_state : std::uint8_t
    {
        unwritten,
        written,
        /// Read from the store, where another instance keeps it.
        foreign
    };
    struct entry
    {
        server_version origin;
        /// Hash of the server's id.
        std::uint64_t server = 0;
        time_point begun_at{};
        record_state state = record_state::unwritten;
        /// The version is known to be that of the process that began the stream.
        bool confirmed = false;
    };
    void add(stream_key key, entry added);
    void mark_unknown(stream_key key, entry& known);
    void erase_oldest();

    duration retention_ = min_version_retention;
    std::map<stream_key, entry> entries_;
    /// All keys of `entries_`, the oldest first.
    std::deque<stream_key> order_;
    /// Streams that are to be written if their service is, by service, the oldest first.
    /// Some may have expired.
    std::map<std::string, std::deque<stream_key>> unwritten_;
    std::deque<stream_key> removals_;
};

} // namespace carawayturn::entry
