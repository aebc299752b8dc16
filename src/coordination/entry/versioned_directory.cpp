#include "coordination/entry/versioned_directory.hpp"

namespace carawayturn::entry
{

namespace
{

/// Maximum number of revisions for which the changes since then are cached. Few are
/// needed: the revisions of synchronized instances differ only by the updates in flight.
constexpr std::size_t max_cached_changes = 16;

backend_record without_cached_models(backend_record record)
{
    record.cached_in_memory.clear();
    record.cached_on_disk.clear();
    record.cold_left.reset();
    return record;
}

} // namespace

void versioned_directory::record_change(unsigned bucket, backend_record const* previous,
                                        backend_record const* current)
{
    ++revision_;
    if (previous == nullptr || current == nullptr)
        membership_revision_ = revision_;
    if (previous != nullptr)
        id_hash_sum_ -= id_hash(previous->id);
    if (current != nullptr)
        id_hash_sum_ += id_hash(current->id);
    if (previous != nullptr)
        digest_[bucket] -= hash_of(*previous);
    if (current != nullptr)
        digest_[bucket] += hash_of(*current);
    buckets_.at(bucket).reset();
    changes_.clear();
}

void versioned_directory::put(backend_record record)
{
    auto& known = entries_[record.id];
    bool const added = known.revision == 0 || known.removed;
    if (known.revision == 0)
        known.bucket = bucket_of(record.id);
    if (added || without_cached_models(known.record) != without_cached_models(record))
    {
        record_change(known.bucket, added ? nullptr : &known.record, &record);
        known.revision = revision_;
    }
    known.removed = false;
    known.record = std::move(record);
}

void versioned_directory::remove(std::string const& id)
{
    auto const found = entries_.find(id);
    if (found == entries_.end() || found->second.removed)
        return;
    record_change(found->second.bucket, &found->second.record, nullptr);
    found->second.removed = true;
    found->second.revision = revision_;
}

versioned_directory::part_ptr const& versioned_directory::bucket(unsigned number)
{
    auto& known = buckets_.at(number);
    if (known)
        return known;
    auto part = std::make_shared<directory_part>();
    for (auto const& [id, item] : entries_)
        if (!item.removed && item.bucket == number)
            part->records.push_back(without_cached_models(item.record));
    return known = std::move(part);
}

versioned_directory::part_ptr const&
versioned_directory::changes_after(std::uint64_t revision)
{
    auto const found = changes_.find(revision);
    if (found != changes_.end())
        return found->second;
    if (changes_.size() >= max_cached_changes)
        changes_.erase(changes_.begin());
    auto part = std::make_shared<directory_part>();
    for (auto const& [id, item] : entries_)
    {
        if (item.revision <= revision)
            continue;
        if (!item.removed)
            part->records.push_back(without_cached_models(item.record));
        else
            part->removed.push_back(id);
    }
    return changes_[revision] = std::move(part);
}

void versioned_directory::add_changes(node_status const& status, node_update& update)
{
    update.directory_hub = hub_;
    update.directory_revision = revision_;
    update.directory_changes_after = status.directory_revision;
    update.is_resync = status.directory_hub != hub_;
    if (update.is_resync)
    {
        update.replaced_buckets = differing_buckets(status.directory_digest, digest_);
        for (unsigned i = 0; i < directory_buckets; ++i)
            if (((update.replaced_buckets >> i) & 1U) != 0)
                update.directory.push_back(bucket(i));
    }
    // Usually nothing has changed. The cost of that case must not grow with the number of
    // servers.
    else if (status.directory_revision < revision_)
        update.directory.push_back(changes_after(status.directory_revision));
}

fleet_loads
versioned_directory::loads(std::map<std::string, std::uint32_t> const& requests) const
{
    fleet_loads found;
    found.directory_id_sum = id_hash_sum_;
    auto next = requests.begin();
    for (auto const& [id, item] : entries_)
    {
        if (item.removed)
            continue;
        while (next != requests.end() && next->first < id)
            ++next;
        bool const any = next != requests.end() && next->first == id;
        found.requests.push_back(any ? next->second : 0);
    }
    return found;
}

backend_record const* versioned_directory::find(std::string const& id) const
{
    auto const found = entries_.find(id);
    return found == entries_.end() || found->second.removed ? nullptr
                                                            : &found->second.record;
}

std::map<std::string, backend_record> versioned_directory::records() const
{
    std::map<std::string, backend_record> found;
    for (auto const& [id, item] : entries_)
        if (!item.removed)
            found.emplace(id, item.record);
    return found;
}

} // namespace carawayturn::entry
