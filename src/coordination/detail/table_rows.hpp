#pragma once

#include "state/fleet.hpp"
#include "state/identifiers.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace carawayturn::detail
{

inline constexpr std::string_view config_head_key = "config/head";

/// Value of a row `slots/<k>`. A released slot has an empty holder; its row stays, so
/// that the fencing number keeps growing.
struct slot_row
{
    instance_id holder;
    incarnation_number incarnation = 0;
    fencing_number fence = 0;
    /// Raised by each renewal.
    std::uint64_t counter = 0;
    endpoint peer_address;
    failure_domain_id failure_domain;
};

[[nodiscard]] std::string slot_key(slot_number slot);

/// Returns the slot of a key `slots/<k>`, or nothing for other keys.
[[nodiscard]] std::optional<slot_number> slot_of_key(std::string_view key);

[[nodiscard]] std::string print_slot_row(slot_row const& row);
[[nodiscard]] std::optional<slot_row> parse_slot_row(std::string_view text);

[[nodiscard]] std::string print_config_head(config_version version);
[[nodiscard]] std::optional<config_version> parse_config_head(std::string_view text);

/// Key of the change that became the version.
[[nodiscard]] std::string config_change_key(config_version version);

/// Key of the whole configuration at the version.
[[nodiscard]] std::string config_copy_key(config_version version);

} // namespace carawayturn::detail
