#pragma once

#include "state/entry/backend_record.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace carawayturn::entry
{

/// Remembers the backend servers that were removed lately. This handles the load pattern
/// "the store comes back from a copy that has the rows of servers that are gone".
class removed_servers
{
public:
    void note_removed(backend_record const& record, time_point now);

    /// Whether the process that the record describes, or a later one under its id, was
    /// removed lately.
    [[nodiscard]] bool contains(backend_record const& record, time_point now) const;

private:
    struct removed_server
    {
        std::int64_t born_ms = 0;
        time_point at{};
    };
    std::map<std::string, removed_server> servers_;
};

} // namespace carawayturn::entry
