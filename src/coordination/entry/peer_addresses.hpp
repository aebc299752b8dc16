#pragma once

#include "state/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Keeps addresses of other instances, as received from hubs, and decides when to ask one
/// of them for the newest configuration and the current hub. This handles the load
/// pattern "the store turns away the hub and some others": the hub of these instances
/// loses its lease without notice, and they cannot read the row that names the next hub.
class peer_addresses
{
public:
    /// @param max_confirmation_age up to this age of the last confirmation, no peer needs
    ///     to be asked.
    explicit peer_addresses(duration max_confirmation_age);

    [[nodiscard]] std::size_t size() const { return addresses_.size(); }

    void add(std::vector<std::string> const& addresses);

    /// Returns the address of the instance to ask now, in rotation, or nullopt if none
    /// needs to be asked or none is known. No instance is asked while the store answers,
    /// because this instance's own reads then confirm the configuration.
    /// `config_outdated` means that a newer configuration is known to exist.
    [[nodiscard]] std::optional<std::string>
    next_to_ask(bool store_answers, duration confirmation_age, bool config_outdated);

private:
    duration max_confirmation_age_;
    std::deque<std::string> addresses_;
};

} // namespace carawayturn::entry
