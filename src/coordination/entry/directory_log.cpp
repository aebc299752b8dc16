#include "coordination/entry/directory_log.hpp"

namespace carawayturn::entry
{

namespace
{

backend_record as_told(backend_record record)
{
    record.cached_in_memory.clear();
    record.cached_on_disk.clear();
    return record;
}

} // namespace

void directory_log::put(backend_record record)
{
    auto& known = entries_[record.id];
    record.number = known.revision != 0 ? known.record.number : ++last_number_;
    if (known.revision == 0 || known.removed || as_told(known.record) != as_told(record))
        known.revision = ++revision_;
    known.removed = false;
    known.record = std::move(record);
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
            update.records.push_back(as_told(item.record));
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
