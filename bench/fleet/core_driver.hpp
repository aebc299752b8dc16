#pragma once

#include "fleet/fleet.hpp"

namespace carawayturn::bench
{

/// Makes instances that run the product's own core.
[[nodiscard]] driver_factory core_drivers();

} // namespace carawayturn::bench
