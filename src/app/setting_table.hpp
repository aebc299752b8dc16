#pragma once

#include "app/settings.hpp"

#include <span>
#include <string>
#include <string_view>

namespace carawayturn
{

/// One setting: how it is called, described, checked and stored.
struct setting_entry
{
    std::string_view name;
    std::string_view default_text;
    /// What is allowed, as shown in help and errors.
    std::string_view allowed;
    std::string_view help;
    /// Stores the value if it is allowed; returns whether it is.
    bool (*store)(std::string_view text, daemon_settings& out);
    bool secret = false;
};

/// All settings in the order of the help text.
[[nodiscard]] std::span<setting_entry const> setting_entries();

} // namespace carawayturn
