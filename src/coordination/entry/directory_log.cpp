#include "coordination/entry/directory_log.hpp"

namespace carawayturn::entry
{

bool directory_log::put(backend_record record)
{
    auto const found = entries_.find(record.id);
    record.number =
        found != entries_.end() ? found->second.record.number : ++last_number_;
    if (found != entries_.end() && !found->second.removed &&
        found->second.record == record)
        return false;
    auto const id = record.id;
    entries_[id] = {std::move(record), ++revision_, false};
    return true;
}

std::uint16_t directory_log::number_of(std::string const& id) const
{
    auto const found = entries_.find(id);
    return found == entries_.end() ? 0 : found->second.record.number;
}

void directory_log::remove(std::string const& id)
{
    auto const found = entries_.find(id);
    if (found == entries_.end() || found->second.removed)
        return;
    found->second.removed = true;
    found->second.revision = ++revision_;
}

void directory_log::add_changes(std::uint64_t known_hub, std::uint64_t known_revision,
                                node_update& update) const
{
    update.directory_hub = hub_;
    update.directory_revision = revision_;
    update.whole_directory = known_hub != hub_;
    // The usual case; its work must not grow with the number of servers.
    if (!update.whole_directory && known_revision >= revision_)
        return;
    for (auto const& [id, item] : entries_)
    {
        if (!update.whole_directory && item.revision <= known_revision)
            continue;
        if (!item.removed)
            update.records.push_back(item.record);
        else if (!update.whole_directory)
            update.removed.push_back(id);
    }
}

std::map<std::string, backend_record> directory_log::records() const
{
    std::map<std::string, backend_record> found;
    for (auto const& [id, item] : entries_)
        if (!item.removed)
            found.emplace(id, item.record);
    return found;
}

} // namespace carawayturn::entry
