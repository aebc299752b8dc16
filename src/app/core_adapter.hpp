#pragma once

#include "coordination/instance_core.hpp"
#include "transport/core_driver.hpp"

#include <memory>

namespace carawayturn
{

/// Returns the real core as the core thread drives it.
[[nodiscard]] std::unique_ptr<core_driver> make_instance_core(core_settings settings);

} // namespace carawayturn
