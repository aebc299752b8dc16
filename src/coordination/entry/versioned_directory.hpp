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

/// The hub's directory of backend servers with a revision for each change, so that an
/// instance is sent only what it lacks.
class versioned_directory
{
public:
    explicit versioned_directory(std::uint64_t hub_incarnation)
        : hub_(hub_incarnation), digest_(directory_buckets)
    {
    }

    /// Gives the record a revision if it changed for other instances. They are not told
    /// which weights a server keeps, since only the hub places models.
    void put(backend_record record);
    void remove(std::string const& id);

    /// Adds what changed after the revision that the instance has; if it knows another
    /// hub's directory, the parts in which that differs.
    void add_changes(node_status const& status, node_update& update);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::map<std::string, backend_record> records() const;
    /// The revision at which a server was last added or removed.
    [[nodiscard]] std::uint64_t membership_revision() const
    {
        return membership_revision_;
    }
    /// The requests at each server of the directory, from those at each id.
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
    /// Follows a change of this server: `former` and `present` are what instances are
    /// told of it, or null.
    void record_change(unsigned bucket, backend_record const* previous,
                       backend_record const* current);
    [[nodiscard]] part_ptr const& bucket(unsigned number);
    [[nodiscard]] part_ptr const& changes_after(std::uint64_t revision);

    std::uint64_t hub_;
    std::uint64_t revision_ = 0;
    std::uint64_t membership_revision_ = 0;
    /// Sum of id_hash() over the directory.
    std::uint64_t id_hash_sum_ = 0;
    std::map<std::string, entry> entries_;
    /// Kept as records change, since every instance asks for it after a restart of all.
    std::vector<std::uint64_t> digest_;
    /// The parts as instances are told them; null until one is told, and after a change.
    std::array<part_ptr, directory_buckets> buckets_;
    /// Changes after a revision, as of the newest one.
    std::map<std::uint64_t, part_ptr> changes_;
};

} // namespace carawayturn::entry
