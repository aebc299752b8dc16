#pragma once

#include "coordination/entry/hub_lease.hpp"
#include "transport/entry/entry_services.hpp"

#include <string>

namespace carawayturn::entry
{

/// What an instance adds to what its requests share.
struct node_summary
{
    bool ready = false;
    bool hub = false;
    bool store_answering = false;
    bool reading_store = false;
    std::uint64_t incarnation = 0;
    /// Instances that can be asked in the hub's place.
    std::size_t peers_known = 0;
};

/// The state of an instance as JSON, for the operators.
[[nodiscard]] std::string dump_state(entry_services& services, hub_lease const& lease,
                                     node_summary const& summary);

} // namespace carawayturn::entry
