#pragma once

#include "coordination/entry/hub_lease.hpp"
#include "transport/entry/entry_services.hpp"

#include <string>

namespace carawayturn::entry
{

/// Values for the state dump that are not part of entry_services.
struct node_summary
{
    bool ready = false;
    bool hub = false;
    bool store_answering = false;
    bool reading_store = false;
    std::uint64_t incarnation = 0;
    /// Number of other instances that can be asked when the hub does not answer.
    std::size_t peers_known = 0;
};

/// Returns the state of an instance as JSON, for operators.
[[nodiscard]] std::string dump_state(entry_services& services, hub_lease const& lease,
                                     node_summary const& summary);

} // namespace carawayturn::entry
