#pragma once

#include "coordination/action.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace carawayturn::bench
{

/// A point in a protocol at which a fault can strike: an action of an instance.
struct protocol_step
{
    std::string_view name;
    bool (*matches)(action const& done) = nullptr;
    /// Strikes at this occurrence of the action, from 1; early ones belong to the start.
    std::uint32_t occurrence = 1;
};

/// All steps of the matrix.
[[nodiscard]] std::span<protocol_step const> protocol_steps();

} // namespace carawayturn::bench
