#pragma once

#include "state/entry/node_settings.hpp"
#include "state/result.hpp"

#include <functional>

namespace carawayturn::entry
{

/// Returns the value of an environment variable; null if it is not set.
using environment_lookup = std::function<char const*(char const*)>;

/// Returns the limits for hedged requests that the environment sets: the share of a
/// route's requests in `CARAWAYTURN_HEDGE_SHARE` (0 to 0.2; 0, the default, turns hedging
/// off), and the largest part of a service's slots in use in
/// `CARAWAYTURN_HEDGE_SPARE_SHARE` (0 to 1; 0.5). A value outside its range is an error.
[[nodiscard]] result<hedge_limits> read_hedge_limits(environment_lookup const& lookup);

} // namespace carawayturn::entry
