#pragma once

#include "state/entry/backend_record.hpp"
#include "state/entry/node_message.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace carawayturn::entry
{

/// The hub's directory of backend servers with a revision for each change, so that an
/// instance is sent only what it lacks.
class directory_log
{
public:
    explicit directory_log(std::uint64_t hub_incarnation) : hub_(hub_incarnation) {}

    /// Gives the record a revision if it changed for other instances. They are not told
    /// which weights a server keeps, since only the hub places models.
    void put(backend_record record);
    void remove(std::string const& id);

    /// Adds what changed after the revision that the instance has; if it knows another
    /// hub's directory, the parts in which that differs.
    void add_changes(node_status const& status, node_update& update);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::map<std::string, backend_record> records() const;

private:
    struct entry
    {
        backend_record record;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    [[nodiscard]] std::vector<std::uint64_t> const& digest();
    void add_parts(std::uint64_t buckets, node_update& update) const;

    std::uint64_t hub_;
    std::uint64_t revision_ = 0;
    std::map<std::string, entry> entries_;
    /// As of this revision.
    std::vector<std::uint64_t> digest_;
    std::uint64_t digest_revision_ = 0;
};

} // namespace carawayturn::entry
