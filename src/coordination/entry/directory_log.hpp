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

    /// Gives the record a number, and a revision if it changed for other instances. They
    /// are not told which weights a server keeps, since only the hub places models.
    void put(backend_record record);
    /// The server's number, or 0.
    [[nodiscard]] std::uint16_t number_of(std::string const& id) const;
    void remove(std::string const& id);

    /// Adds what changed after the revision that the instance has; everything if it knows
    /// another hub's directory.
    void add_changes(std::uint64_t known_hub, std::uint64_t known_revision,
                     node_update& update) const;

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::map<std::string, backend_record> records() const;

private:
    struct entry
    {
        backend_record record;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    std::uint64_t hub_;
    std::uint64_t revision_ = 0;
    std::uint16_t last_number_ = 0;
    std::map<std::string, entry> entries_;
};

} // namespace carawayturn::entry
