#include "coordination/entry/server_availability.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// After this time without another pause, the limit on requests in flight is lifted.
constexpr duration recovery_time = std::chrono::seconds(1);
/// Upper bound on the servers whose notices are kept. It exceeds the size of a fleet and
/// bounds the memory for entries of former incarnations.
constexpr std::size_t max_servers = 65536;

} // namespace

bool server_availability::note_leaving(std::string const& id, std::int64_t born_ms)
{
    if (leaving_.size() >= max_servers && leaving_.count(id) == 0)
        leaving_.erase(leaving_.begin());
    auto const [entry, inserted] = leaving_.try_emplace(id, born_ms);
    // A late answer of a former incarnation does not apply to the current one.
    bool const is_new = inserted || entry->second < born_ms;
    entry->second = std::max(entry->second, born_ms);
    return is_new;
}

bool server_availability::is_leaving(backend_record const& record) const
{
    auto const found = leaving_.find(record.id);
    return found != leaving_.end() && found->second == record.born_ms;
}

void server_availability::note_pause(std::string const& id, std::int64_t born_ms,
                                     duration pause_time, std::uint32_t in_flight,
                                     time_point now)
{
    auto const known = pauses_.find(id);
    if (known != pauses_.end() && known->second.born_ms > born_ms)
        return;
    std::uint32_t const sustained = in_flight > 1 ? in_flight - 1 : 1;
    pauses_[id] = {born_ms, now + pause_time, sustained};
}

server_availability::pause const*
server_availability::last_pause(backend_record const& record) const
{
    auto const found = pauses_.find(record.id);
    bool const known = found != pauses_.end() && found->second.born_ms == record.born_ms;
    return known ? &found->second : nullptr;
}

std::optional<time_point> server_availability::paused_until(backend_record const& record,
                                                            time_point now) const
{
    auto const* const last = last_pause(record);
    if (last == nullptr || last->until <= now)
        return std::nullopt;
    return last->until;
}

void server_availability::note_answered(std::string const& id)
{
    auto const found = pauses_.find(id);
    if (found != pauses_.end())
        ++found->second.max_in_flight;
}

bool server_availability::accepts(backend_record const& record, std::uint32_t in_flight,
                                  time_point now) const
{
    auto const* const last = last_pause(record);
    if (last == nullptr || now >= last->until + recovery_time)
        return true;
    return now >= last->until && in_flight < last->max_in_flight;
}

bool server_availability::note_malformed_header(std::string const& id)
{
    return malformed_.size() < max_servers && malformed_.insert(id).second;
}

void server_availability::remove(std::string const& id)
{
    pauses_.erase(id);
}

} // namespace carawayturn::entry
