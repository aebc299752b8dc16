#include "coordination/entry/version_history.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Versions that are kept beside those of servers. Bounds the memory that rows of other
/// writers can take.
constexpr std::size_t max_former_versions = 64;

} // namespace

bool version_history::put(std::string const& server, server_version version,
                          time_point now)
{
    auto const known = servers_.find(server);
    if (known != servers_.end() && known->second == version)
        return false;
    if (known != servers_.end())
        remove(server, now);
    auto& present = versions_[version];
    bool const is_new = present.servers == 0 && present.last_seen == time_point{};
    ++present.servers;
    servers_[server] = std::move(version);
    return is_new;
}

void version_history::remove(std::string const& server, time_point now)
{
    auto const known = servers_.find(server);
    if (known == servers_.end())
        return;
    auto& present = versions_[known->second];
    --present.servers;
    present.last_seen = now;
    servers_.erase(known);
    bound_former_versions();
}

void version_history::bound_former_versions()
{
    if (versions_.size() <= servers_.size() + max_former_versions)
        return;
    auto oldest = versions_.end();
    for (auto entry = versions_.begin(); entry != versions_.end(); ++entry)
        if (entry->second.servers == 0 &&
            (oldest == versions_.end() ||
             entry->second.last_seen < oldest->second.last_seen))
            oldest = entry;
    if (oldest != versions_.end())
        versions_.erase(oldest);
}

void version_history::remember(server_version const& version, time_point now)
{
    versions_[version].last_seen = now;
    bound_former_versions();
}

void version_history::confirm(time_point read_at)
{
    confirmed_at_ = std::max(confirmed_at_, read_at);
}

bool version_history::counts(presence const& version, time_point now) const
{
    return version.servers > 0 || now - version.last_seen < retention_;
}

bool version_history::is_current(time_point since) const
{
    return complete_ && confirmed_at_ != time_point{} && confirmed_at_ >= since;
}

bool version_history::is_mixed(std::string_view service, time_point now) const
{
    return std::count_if(versions_.begin(), versions_.end(),
                         [&](auto const& entry) {
                             return entry.first.service == service &&
                                    counts(entry.second, now);
                         }) > 1;
}

std::optional<std::string> version_history::sole(std::string_view service, time_point now,
                                                 time_point since) const
{
    if (!is_current(since))
        return std::nullopt;
    std::optional<std::string> sole;
    for (auto const& [version, present] : versions_)
    {
        if (version.service != service || !counts(present, now))
            continue;
        if (sole)
            return std::nullopt;
        sole = version.version;
    }
    return sole;
}

std::vector<server_version> version_history::all(std::size_t limit) const
{
    std::vector<server_version> all;
    for (auto const& [version, present] : versions_)
        if (all.size() < limit)
            all.push_back(version);
    return all;
}

std::vector<server_version> version_history::take_expired(time_point now)
{
    std::vector<server_version> expired;
    for (auto entry = versions_.begin(); entry != versions_.end();)
    {
        if (counts(entry->second, now))
        {
            ++entry;
            continue;
        }
        expired.push_back(entry->first);
        entry = versions_.erase(entry);
    }
    return expired;
}

} // namespace carawayturn::entry
