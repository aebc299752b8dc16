#pragma once

#include "coordination/component.hpp"
#include "coordination/serving_authority.hpp"
#include "state/fleet_config.hpp"

#include <memory>

namespace carawayturn
{

/// Keeps the newest configuration known, spreads it, and commits operators' changes.
///
/// The version in force never decreases. A submission is answered `accepted` once it is
/// committed and serving_authority::unconfirmed() is empty for its version; until a limit
/// it is answered with the instances that are missing.
class config_log : public component
{
public:
    [[nodiscard]] static std::unique_ptr<config_log> create(instance_identity identity,
                                                            serving_authority& authority);

    /// The configuration in force; version 0 is empty.
    [[nodiscard]] virtual fleet_config const& current() const = 0;
};

} // namespace carawayturn
