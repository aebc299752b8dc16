#include "coordination/entry/removed_servers.hpp"

namespace carawayturn::entry
{

namespace
{

/// Longer than the age of a copy from which the store comes back.
constexpr duration retention = std::chrono::seconds(30);

} // namespace

void removed_servers::note_removed(backend_record const& record, time_point now)
{
    std::erase_if(servers_,
                  [now](auto const& entry) { return now - entry.second.at > retention; });
    servers_[record.id] = {record.born_ms, now};
}

bool removed_servers::contains(backend_record const& record, time_point now) const
{
    auto const found = servers_.find(record.id);
    return found != servers_.end() && found->second.born_ms >= record.born_ms &&
           now - found->second.at <= retention;
}

} // namespace carawayturn::entry
