#pragma once

#include "state/entry/backend_record.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace carawayturn::entry
{

/// Keeps the notices (see server_notice) that backend servers sent with their answers to
/// this instance: that they are leaving, or that they want no requests for a time. A
/// notice applies to the incarnation that sent it. Handles the load patterns "servers
/// leave one after the other under full load" and "all servers of a service turn requests
/// away for some seconds".
class server_availability
{
public:
    /// Records that the server is leaving. Returns whether that is new.
    bool note_leaving(std::string const& id, std::int64_t born_ms);
    [[nodiscard]] bool is_leaving(backend_record const& record) const;
    /// Start times of the servers' incarnations that announced that they are leaving, by
    /// server id.
    [[nodiscard]] std::map<std::string, std::int64_t> const& all_leaving() const
    {
        return leaving_;
    }

    /// Records that the server wants no requests for the duration `pause`. The latest
    /// announcement replaces an earlier one, even if it is shorter.
    /// @param in_flight requests of this instance at the server, including the rejected
    /// one.
    void note_pause(std::string const& id, std::int64_t born_ms, duration pause,
                    std::uint32_t in_flight, time_point now);
    /// Returns when the server's pause ends, or nothing if it is not paused.
    [[nodiscard]] std::optional<time_point> paused_until(backend_record const& record,
                                                         time_point now) const;

    /// Records an answer that did not reject the request.
    void note_answered(std::string const& id);

    /// Returns whether a server that is not leaving accepts one more request of this
    /// instance, in addition to `in_flight` others. After a pause it accepts as many as
    /// it handled before the pause, and one more with each answer, so that the waiting
    /// requests do not all arrive at once.
    [[nodiscard]] bool accepts(backend_record const& record, std::uint32_t in_flight,
                               time_point now) const;

    /// Records that a notice about the server's availability cannot be parsed. Returns
    /// whether it is the first one from this server.
    bool note_malformed_header(std::string const& id);

    /// Forgets the pause of a removed server. That it is leaving stays recorded, because
    /// its entry may return to the store.
    void remove(std::string const& id);

private:
    struct pause
    {
        std::int64_t born_ms = 0;
        time_point until{};
        std::uint32_t max_in_flight = 1;
    };
    /// Returns the latest pause that this incarnation announced, or null.
    [[nodiscard]] pause const* last_pause(backend_record const& record) const;

    std::map<std::string, std::int64_t> leaving_;
    std::map<std::string, pause> pauses_;
    std::set<std::string> malformed_;
};

} // namespace carawayturn::entry
