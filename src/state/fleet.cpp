#include "state/fleet.hpp"

#include <array>

namespace carawayturn
{

std::string_view name_of(order_action action)
{
    static constexpr std::array<std::string_view, 5> names{
        "load", "unload", "load_adapter", "unload_adapter", "set_role"};
    return names.at(static_cast<std::size_t>(action));
}

std::string_view name_of(order_result value)
{
    static constexpr std::array<std::string_view, 7> names{
        "done",       "already",       "stale_fence", "no_memory",
        "not_loaded", "not_delivered", "unknown"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace carawayturn
