#include "coordination/entry/directory_log.hpp"

#include "state/entry/directory_digest.hpp"

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
    if (known.revision == 0 || known.removed || as_told(known.record) != as_told(record))
        known.revision = ++revision_;
    known.removed = false;
    known.record = std::move(record);
}

void directory_log::remove(std::string const& id)
{
    auto const found = entries_.find(id);
    if (found == entries_.end() || found->second.removed)
        return;
    found->second.removed = true;
    found->second.revision = ++revision_;
}

std::vector<std::uint64_t> const& directory_log::digest()
{
    if (digest_.empty() || digest_revision_ != revision_)
    {
        digest_ = digest_of(records());
        digest_revision_ = revision_;
    }
    return digest_;
}

void directory_log::add_parts(std::uint64_t buckets, node_update& update) const
{
    update.replaced_buckets = buckets;
    for (auto const& [id, item] : entries_)
        if (!item.removed && ((buckets >> bucket_of(id)) & 1U) != 0)
            update.records.push_back(as_told(item.record));
}

void directory_log::add_changes(node_status const& status, node_update& update)
{
    update.directory_hub = hub_;
    update.directory_revision = revision_;
    update.brings_in_step = status.directory_hub != hub_;
    if (update.brings_in_step)
    {
        add_parts(differing_buckets(status.directory_digest, digest()), update);
        return;
    }
    // The usual case; its work must not grow with the number of servers.
    if (status.directory_revision >= revision_)
        return;
    for (auto const& [id, item] : entries_)
    {
        if (item.revision <= status.directory_revision)
            continue;
        if (!item.removed)
            update.records.push_back(as_told(item.record));
        else
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
