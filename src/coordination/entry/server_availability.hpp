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

/// What backend servers said with their answers about further requests of this instance:
/// that they leave, or that they want nothing for a time. A word holds for the
/// incarnation that gave it. Answers the load patterns "servers leave one after the other
/// under full load" and "all servers of a service turn requests away for some seconds".
class server_availability
{
public:
    /// Notes that the server leaves. Returns whether that is new.
    bool note_leaving(std::string const& id, std::int64_t born_ms);
    [[nodiscard]] bool is_leaving(backend_record const& record) const;
    /// Servers that said that they leave, with the incarnation that said so.
    [[nodiscard]] std::map<std::string, std::int64_t> const& all_leaving() const
    {
        return leaving_;
    }

    /// Notes that the server wants nothing for so long; the latest word counts.
    /// @param in_flight requests of this instance at the server, with the one that it
    /// turned away.
    void note_pause(std::string const& id, std::int64_t born_ms, duration pause,
                    std::uint32_t in_flight, time_point now);
    /// End of the server's pause, if it has not passed.
    [[nodiscard]] std::optional<time_point> paused_until(backend_record const& record,
                                                         time_point now) const;

    /// Notes an answer that turned nothing away.
    void note_answered(std::string const& id);

    /// Whether a server that stays may get one more request beside so many in flight.
    /// After a pause it gets at most what it bore before it, and one more with each
    /// answer, so that the requests that waited do not come as one.
    [[nodiscard]] bool accepts(backend_record const& record, std::uint32_t in_flight,
                               time_point now) const;

    /// Notes a word that cannot be understood. Returns whether it is the server's first.
    bool note_malformed_header(std::string const& id);

    /// Forgets the pause of a server that is gone. That it leaves stays known, because
    /// its entry may come back.
    void remove(std::string const& id);

private:
    struct pause
    {
        std::int64_t born_ms = 0;
        time_point until{};
        std::uint32_t max_in_flight = 1;
    };
    /// The last pause of this incarnation; null for none.
    [[nodiscard]] pause const* last_pause(backend_record const& record) const;

    std::map<std::string, std::int64_t> leaving_;
    std::map<std::string, pause> pauses_;
    std::set<std::string> malformed_;
};

} // namespace carawayturn::entry
