#pragma once

#include "coordination/action.hpp"
#include "coordination/component.hpp"
#include "coordination/event.hpp"
#include "coordination/placement_manager.hpp"
#include "coordination/request_flow.hpp"
#include "coordination/serving_authority.hpp"

#include <memory>
#include <string>

namespace carawayturn
{

struct drain_timing
{
    /// How long new requests are still accepted after /readyz turns negative.
    duration notice = std::chrono::seconds(5);
    /// Longest time to wait for open requests.
    duration limit = std::chrono::seconds(60);
};

struct core_settings
{
    instance_identity identity;
    lease_timing lease;
    flow_limits flow;
    placement_manager::policy placement;
    drain_timing drain;
};

/// The deterministic core of one instance: all components, wired together. The daemon,
/// the tests and the benches run this same class.
class instance_core
{
public:
    explicit instance_core(core_settings settings);
    ~instance_core();
    instance_core(instance_core const&) = delete;
    instance_core& operator=(instance_core const&) = delete;

    /// Takes one event, and all events it raises, and returns what has to be done, in
    /// order.
    [[nodiscard]] actions handle(time_point now, event const& input);

    /// The transport's last check before an order's first byte leaves.
    [[nodiscard]] bool may_send_order(time_point now, engine_order const& order) const;

    /// The whole state as JSON.
    [[nodiscard]] std::string dump(time_point now) const;

    [[nodiscard]] std::string explain(request_id const& request) const;

    [[nodiscard]] fleet_config const& config() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn
