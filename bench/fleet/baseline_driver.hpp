#pragma once

#include "fleet/fleet.hpp"

namespace carawayturn::bench
{

/// Baseline (a): each instance alone, with an even split of every rate, loads on demand
/// at the least loaded runner, a fixed ten-minute keep-alive, first come first served.
/// With `shared_limits`, baseline (b): one shared owner for limits, without any delay.
[[nodiscard]] driver_factory
baseline_drivers(deployment const& shape, fleet_config const& config, bool shared_limits);

} // namespace carawayturn::bench
