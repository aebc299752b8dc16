#pragma once

#include "fleet/fleet.hpp"

#include <span>
#include <string_view>

namespace carawayturn::bench
{

/// A fault of the brief, applied when an instance reaches a step.
struct fault_kind
{
    std::string_view name;
    /// Applied before the instance's action takes effect.
    void (*strike)(fleet& target, std::size_t instance) = nullptr;
    /// Undoes what does not pass by itself, some seconds later.
    void (*heal)(fleet& target, std::size_t instance) = nullptr;
    /// Apply right after the action has left, not before it.
    bool after_action = false;
};

/// All faults of the matrix.
[[nodiscard]] std::span<fault_kind const> fault_kinds();

/// Time from strike to heal; longer than a slot lease with its margins.
inline constexpr duration fault_length = std::chrono::seconds(12);

} // namespace carawayturn::bench
