#pragma once

#include "coordination/component.hpp"
#include "coordination/serving_authority.hpp"
#include "state/fleet_config.hpp"

#include <deque>

namespace carawayturn::detail
{

/// Changes kept in memory for peers that lag; one reply carries at most as many as one
/// read of the table.
inline constexpr std::size_t changes_kept = 256;
inline constexpr std::size_t changes_in_reply = 64;

/// The configuration in force and the changes that led to it. The version only grows.
class config_history
{
public:
    explicit config_history(serving_authority& authority) : authority_(authority) {}

    [[nodiscard]] fleet_config const& current() const { return current_; }

    /// Takes the change that became `version`. Returns false, without effect, unless it
    /// is the next one and applies.
    bool take_change(config_version version, config_change const& change, actions& out);

    /// Takes a whole copy. Returns false, without effect, unless it is newer.
    bool take_copy(fleet_config const& copy, actions& out);

    /// Fills in what a peer that is at version `have` lacks.
    void fill_reply(config_version have, config_reply& reply) const;

private:
    void put_in_force(fleet_config config, actions& out);

    serving_authority& authority_;
    fleet_config current_;
    /// The last of these led to the current version.
    std::deque<config_change> changes_;
};

} // namespace carawayturn::detail
