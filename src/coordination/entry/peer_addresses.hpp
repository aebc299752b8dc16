#pragma once

#include "state/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Addresses of other instances, as the hubs told them, and when to ask one of them for
/// the newest configuration and the present hub. Answers the load pattern "the store
/// turns away the hub and some others": their common hub loses its lease without a word,
/// and the row that names the next one is out of reach.
class peer_addresses
{
public:
    /// @param patience greatest age of a confirmation that needs no peer's word.
    explicit peer_addresses(duration max_confirmation_age);

    [[nodiscard]] std::size_t size() const { return addresses_.size(); }

    void add(std::vector<std::string> const& addresses);

    /// The instance to ask now, in turn; nothing if none is needed or known. None is
    /// while the store answers, as the instance's own reading then confirms the
    /// configuration. `behind` tells that a newer configuration is known to exist.
    [[nodiscard]] std::optional<std::string>
    next_to_ask(bool store_answers, duration confirmation_age, bool config_outdated);

private:
    duration max_confirmation_age_;
    std::deque<std::string> addresses_;
};

} // namespace carawayturn::entry
