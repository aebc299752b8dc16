#include "coordination/entry/server_words.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// A server that has not turned anything away for this long after a pause is treated like
/// any other.
constexpr duration recovery_time = std::chrono::seconds(1);
/// Servers whose words are kept. More than a fleet has at once; bounds what many
/// incarnations leave behind.
constexpr std::size_t most_servers = 65536;

} // namespace

bool server_words::leaves(std::string const& id, std::int64_t born_ms)
{
    if (leaving_.size() >= most_servers && leaving_.count(id) == 0)
        leaving_.erase(leaving_.begin());
    auto const [entry, fresh] = leaving_.try_emplace(id, born_ms);
    // A late answer of a former incarnation says nothing about the present one.
    bool const news = fresh || entry->second < born_ms;
    entry->second = std::max(entry->second, born_ms);
    return news;
}

bool server_words::leaving(backend_record const& record) const
{
    auto const found = leaving_.find(record.id);
    return found != leaving_.end() && found->second == record.born_ms;
}

void server_words::pauses(std::string const& id, std::int64_t born_ms,
                          duration pause_time, std::uint32_t in_flight, time_point now)
{
    auto const known = pauses_.find(id);
    if (known != pauses_.end() && known->second.born_ms > born_ms)
        return;
    std::uint32_t const borne = in_flight > 1 ? in_flight - 1 : 1;
    pauses_[id] = {born_ms, now + pause_time, borne};
}

server_words::pause const* server_words::last_pause(backend_record const& record) const
{
    auto const found = pauses_.find(record.id);
    bool const known = found != pauses_.end() && found->second.born_ms == record.born_ms;
    return known ? &found->second : nullptr;
}

std::optional<time_point> server_words::paused_until(backend_record const& record,
                                                     time_point now) const
{
    auto const* const last = last_pause(record);
    if (last == nullptr || last->until <= now)
        return std::nullopt;
    return last->until;
}

void server_words::answered(std::string const& id)
{
    auto const found = pauses_.find(id);
    if (found != pauses_.end())
        ++found->second.allowed;
}

bool server_words::takes(backend_record const& record, std::uint32_t in_flight,
                         time_point now) const
{
    auto const* const last = last_pause(record);
    if (last == nullptr || now >= last->until + recovery_time)
        return true;
    return now >= last->until && in_flight < last->allowed;
}

bool server_words::unclear(std::string const& id)
{
    return unclear_.size() < most_servers && unclear_.insert(id).second;
}

void server_words::remove(std::string const& id)
{
    pauses_.erase(id);
}

} // namespace carawayturn::entry
