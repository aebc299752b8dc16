#pragma once

#include "state/entry/server_version.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// Shortest time for which a version that no server has any more still counts, and for
/// which the version of a stream is kept. Callers take a stream up within their deadline.
inline constexpr duration min_version_retention = std::chrono::seconds(60);

/// The software versions of each service's servers: those that serve, and those that
/// served so recently that a caller may have a part of a stream of theirs.
///
/// Answers the question which versions may have begun a stream of which nothing else is
/// known. The answer rests on a reading of the servers. A reading that began before the
/// question came proves nothing about streams that began since, so the asker says how
/// recent it has to be.
class version_history
{
public:
    void set_retention(duration retention) { retention_ = retention; }
    [[nodiscard]] duration retention() const { return retention_; }

    /// Adds or replaces a server. Returns whether its version is new for its service.
    bool put(std::string const& server, server_version version, time_point now);
    void remove(std::string const& server, time_point now);
    /// Adds a version that served, or may have served, until now.
    void remember(server_version const& version, time_point now);
    /// Records that the versions which served before this process started are known.
    void set_complete() { complete_ = true; }
    [[nodiscard]] bool complete() const { return complete_; }
    /// Records that the versions of all servers in the store at `read_at` are known here.
    void confirm(time_point read_at);
    /// Returns when the last reading began that was confirmed.
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }

    /// Returns whether the versions in service are known as of `since`: a reading of the
    /// servers began then or later, and the versions that served before this process
    /// started are known.
    [[nodiscard]] bool is_current(time_point since) const;
    /// Returns whether the version is known to serve, or to have served recently.
    [[nodiscard]] bool contains(server_version const& version) const
    {
        return versions_.count(version) != 0;
    }

    /// Returns whether servers of several versions serve, or served recently.
    [[nodiscard]] bool is_mixed(std::string_view service, time_point now) const;
    /// Returns the only version that may have begun a stream of the service until
    /// `since`, which is empty if no server states its version; nothing if there may be
    /// several.
    [[nodiscard]] std::optional<std::string> sole(std::string_view service,
                                                  time_point now, time_point since) const;
    /// Returns the versions of all services, at most `limit`.
    [[nodiscard]] std::vector<server_version> all(std::size_t limit) const;
    /// Removes and returns the versions whose retention is over.
    [[nodiscard]] std::vector<server_version> take_expired(time_point now);

private:
    struct presence
    {
        std::size_t servers = 0;
        /// When the last server with the version was removed, if there is none.
        time_point last_seen{};
    };
    [[nodiscard]] bool counts(presence const& version, time_point now) const;
    /// Forgets the version that was last seen first, if too many are kept.
    void bound_former_versions();

    duration retention_ = min_version_retention;
    std::map<std::string, server_version> servers_;
    std::map<server_version, presence> versions_;
    bool complete_ = false;
    time_point confirmed_at_{};
};

} // namespace carawayturn::entry
