#pragma once

#include "fleet/fleet.hpp"

namespace carawayturn::bench
{

/// One instance of the fleet; internal to the files that implement fleet.
struct fleet::node
{
    node_start start;
    std::unique_ptr<instance_driver> driver;
    bool alive = false;
    bool ready = false;
    std::uint64_t ready_changes = 0;
    time_point paused_until{};
    std::map<request_id, std::uint32_t> attempts;
    std::set<request_id> open;
    std::map<backend_id, std::uint32_t> failed_polls;

    [[nodiscard]] bool runs(incarnation_number incarnation) const
    {
        return alive && start.incarnation == incarnation;
    }
};

} // namespace carawayturn::bench
