#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace carawayturn
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

[[nodiscard]] std::string_view name_of(log_level level);

/// A numbered log event. Numbers are stable; docs/OPERATIONS.md lists them with cause and
/// remedy.
struct log_event
{
    std::uint16_t number = 0;
    log_level level = log_level::info;
    std::string_view name;
};

/// All events, ordered by number.
[[nodiscard]] std::span<log_event const> log_events();

/// Finds an event by number, or null.
[[nodiscard]] log_event const* find_log_event(std::uint16_t number);

} // namespace carawayturn
