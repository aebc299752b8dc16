#pragma once

#include <cstdint>
#include <string_view>

namespace carawayturn::entry
{

/// Why an instance answers a request itself. Names and causes stand in
/// docs/OPERATIONS.md, section 10.
enum class refusal_reason : std::uint8_t
{
    /// No configuration has been read yet.
    no_configuration,
    /// The request names itself by no id, or by more than one.
    request_id_missing,
    /// The bodies of other requests take all memory that there is for them.
    bodies_full,
    /// The configuration in force is not confirmed as the newest one.
    configuration_stale,
    /// The newest configuration has no such route.
    route_unknown,
    /// The newest configuration has no such key.
    key_unknown,
    /// Equal requests were in flight at several crashes of servers.
    request_crashes_servers,
    /// The route leads to a service that the configuration lacks.
    service_unknown,
    /// The hub has nothing of the organisation's quota left.
    over_rate,
    /// No hub answers, and this instance's part of the rate is used up.
    over_rate_alone,
    /// The time ran out before a server could take it.
    deadline_unreachable,
    /// The instance shuts down.
    draining,
    /// Every server that could take it has too much waiting.
    backends_full,
    /// Every server that could take it wants nothing until after its deadline.
    servers_paused,
    /// The service has no server.
    no_backend,
    /// The model will not be there in time.
    model_too_late,
    /// The hub found no runner for the model.
    model_not_placed,
    /// The caller left while the request waited.
    caller_gone,
    /// The servers denied it.
    not_run_by_backends,
    /// A server broke off; the request may have run.
    backend_failed,
    /// The instance ended first; the request may have run.
    instance_stopped,
    /// The time is over; the request may have run.
    deadline_passed
};

/// Name in the log, the metrics and the answer's body.
[[nodiscard]] std::string_view name_of(refusal_reason reason);
/// HTTP status of the answer. 429 and 503 promise that the request has not run.
[[nodiscard]] unsigned status_of(refusal_reason reason);

} // namespace carawayturn::entry
