#pragma once

#include "coordination/action.hpp"
#include "coordination/event.hpp"
#include "state/fleet_config.hpp"

#include <string>

namespace carawayturn
{

/// The core as the core thread drives it. The daemon passes an adapter of instance_core;
/// tests pass a scripted one. The members are those of instance_core.
class core_driver
{
public:
    core_driver() = default;
    core_driver(core_driver const&) = delete;
    core_driver& operator=(core_driver const&) = delete;
    virtual ~core_driver() = default;

    [[nodiscard]] virtual actions handle(time_point now, event const& input) = 0;
    [[nodiscard]] virtual bool may_send_order(time_point now,
                                              engine_order const& order) const = 0;
    [[nodiscard]] virtual std::string dump(time_point now) const = 0;
    [[nodiscard]] virtual std::string explain(request_id const& request) const = 0;
    [[nodiscard]] virtual fleet_config const& config() const = 0;
};

} // namespace carawayturn
