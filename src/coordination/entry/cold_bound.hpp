#pragma once

#include "state/entry/node_settings.hpp"
#include "state/entry/serving_config.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace carawayturn::entry
{

/// Two sends on one slot are spaced by more than a second, because the second one may
/// take less time to the server than the first.
inline constexpr duration cold_slot_spacing = std::chrono::milliseconds(1100);
/// Validity of granted slots. The longest interval between two statuses of an instance is
/// 1.15 s, at 300 instances, and a hub may be late by a second.
inline constexpr duration cold_slot_validity = std::chrono::milliseconds(2500);
/// A row that is read later than this after an event was written after the event: servers
/// write their rows every 1.2 s, and the hub reads them every 0.4 s.
inline constexpr duration cold_row_delay = std::chrono::milliseconds(1600);

/// The limits for the cold servers of one service.
struct cold_terms
{
    /// Number of requests that may arrive at one cold server within any second.
    std::uint32_t slots = 0;
    /// Time for which a server is cold after its start.
    duration cold_time{};
};

/// Looks up the limits for cold servers in the configuration and the settings.
class cold_bound
{
public:
    void set(std::shared_ptr<serving_config const> config, service_bounds const& bounds)
    {
        config_ = std::move(config);
        overrun_ = bounds.cold_overrun;
        slack_ = bounds.cold_slack;
    }

    /// Whether the settings limit cold servers, if the configuration does.
    [[nodiscard]] bool enabled() const { return overrun_ || slack_; }
    [[nodiscard]] bool configured() const { return config_ != nullptr; }
    /// Returns the limits of the service, or nullopt if its cold servers have none.
    [[nodiscard]] std::optional<cold_terms> terms(std::string_view service) const;

private:
    std::shared_ptr<serving_config const> config_;
    std::optional<double> overrun_;
    std::optional<double> slack_;
};

} // namespace carawayturn::entry
