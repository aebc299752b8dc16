#pragma once

#include "state/entry/backend_record.hpp"
#include "state/entry/directory_digest.hpp"
#include "state/entry/node_message.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace carawayturn::entry
{

/// The hub's directory of backend servers. Each change gets a revision, so that an
/// instance is sent only the changes that it lacks.
class versioned_directory
{
public:
    explicit versioned_directory(std::uint64_t hub_incarnation)
        : hub_(hub_incarnation), digest_(directory_buckets)
    {
    }

    /// Adds or replaces a record. The record gets a new revision if a field changed that
    /// instances are sent. The cached models of a server are not sent to instances,
    /// because only the hub places models.
    void put(backend_record record);
    void remove(std::string const& id);

    /// Adds to the update the changes after the revision that the instance has. If the
    /// instance has the directory of another hub, adds the buckets that differ instead.
    void add_changes(node_status const& status, node_update& update);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::map<std::string, backend_record> records() const;
    [[nodiscard]] backend_record const* find(std::string const& id) const;
    /// Revision of the last addition or removal of a server.
    [[nodiscard]] std::uint64_t membership_revision() const
    {
        return membership_revision_;
    }
    /// Returns the number of requests at each server of the directory, given the requests
    /// by server id.
    [[nodiscard]] fleet_loads
    loads(std::map<std::string, std::uint32_t> const& requests) const;

private:
    struct entry
    {
        backend_record record;
        std::uint64_t revision = 0;
        bool removed = false;
        unsigned bucket = 0;
    };
    using part_ptr = std::shared_ptr<directory_part const>;
    /// Updates the revision, digests and caches after a change of one server. `previous`
    /// and `current` are its records before and after the change; null if the server was
    /// added or removed.
    void record_change(unsigned bucket, backend_record const* previous,
                       backend_record const* current);
    [[nodiscard]] part_ptr const& bucket(unsigned number);
    [[nodiscard]] part_ptr const& changes_after(std::uint64_t revision);

    std::uint64_t hub_;
    std::uint64_t revision_ = 0;
    std::uint64_t membership_revision_ = 0;
    /// Sum of id_hash() over the servers of the directory.
    std::uint64_t id_hash_sum_ = 0;
    std::map<std::string, entry> entries_;
    /// Digest of each bucket. Updated with each record instead of computed on demand,
    /// because after a restart of all instances every one of them asks for the directory.
    std::vector<std::uint64_t> digest_;
    /// Cached buckets as they are sent to instances. A bucket is null until it is first
    /// sent, and again after a change.
    std::array<part_ptr, directory_buckets> buckets_;
    /// Cached changes after a revision, up to the newest revision.
    std::map<std::uint64_t, part_ptr> changes_;
};

} // namespace carawayturn::entry
