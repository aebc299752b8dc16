#pragma once

#include "coordination/action.hpp"
#include "coordination/event.hpp"
#include "state/time.hpp"

#include <string>

namespace carawayturn
{

/// What an instance is told about itself at start. It does not change while the process
/// runs.
struct instance_identity
{
    instance_id id;
    incarnation_number incarnation = 0;
    endpoint peer_address;
    failure_domain_id failure_domain;
    /// Seeds every random choice of the core.
    std::uint64_t seed = 1;
};

/// One part of the deterministic core. Every event goes to every component in a fixed
/// order; a component ignores those that do not concern it. Components read no clock, use
/// no threads and do no I/O.
class component
{
public:
    component() = default;
    component(component const&) = delete;
    component& operator=(component const&) = delete;
    virtual ~component() = default;

    /// Takes an event at the given time and appends what has to be done.
    virtual void handle(time_point now, event const& input, actions& out) = 0;

    /// Writes this component's state as a JSON object, for the state dump.
    [[nodiscard]] virtual std::string dump(time_point now) const = 0;
};

} // namespace carawayturn
