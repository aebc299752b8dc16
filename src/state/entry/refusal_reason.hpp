#pragma once

#include <cstdint>
#include <string_view>

namespace carawayturn::entry
{

/// Why an instance answers a request with an error of its own. docs/OPERATIONS.md,
/// section 10, lists the names and causes for operators.
enum class refusal_reason : std::uint8_t
{
    /// The instance has not read a configuration yet.
    no_configuration,
    /// The request has no request id, or more than one.
    request_id_missing,
    /// The memory for request bodies is used up by other requests.
    bodies_full,
    /// The memory for heads and unparsed bytes is used up by other requests.
    heads_full,
    /// The current configuration has not been confirmed as the newest one recently
    /// enough.
    configuration_stale,
    /// No route of the newest configuration matches the request.
    route_unknown,
    /// The newest configuration does not contain the request's key.
    key_unknown,
    /// Requests with the same signature were in flight during several backend server
    /// crashes.
    request_crashes_servers,
    /// The route refers to a service that is not in the configuration.
    service_unknown,
    /// The organisation's quota at the hub is used up.
    over_rate,
    /// No hub answers, and this instance's share of the organisation's rate is used up.
    over_rate_alone,
    /// The deadline passed before a backend server could accept the request.
    deadline_unreachable,
    /// The instance is shutting down.
    draining,
    /// The queue of every eligible backend server is too long.
    backends_full,
    /// Every eligible backend server asked for a pause that ends after the request's
    /// deadline.
    servers_paused,
    /// The service has no backend server.
    no_backend,
    /// The model will not be loaded before the deadline.
    model_too_late,
    /// The hub found no runner on which the model can be loaded.
    model_not_placed,
    /// The software version that began the stream which the caller takes up is not known,
    /// and several may have.
    stream_version_unknown,
    /// No backend server of the software version that began the stream can go on with it.
    stream_version_unavailable,
    /// The caller disconnected while the request was waiting.
    caller_gone,
    /// The backend servers answered that they had not run the request.
    not_run_by_backends,
    /// A backend server failed during the request, which may have run.
    backend_failed,
    /// The instance stopped before the request ended, which may have run.
    instance_stopped,
    /// The deadline passed during the request, which may have run.
    deadline_passed
};

/// Returns the name used in the log, the metrics and the body of the answer.
[[nodiscard]] std::string_view name_of(refusal_reason reason);
/// Returns the HTTP status of the answer. 429 and 503 guarantee that the request has not
/// run.
[[nodiscard]] unsigned status_of(refusal_reason reason);

} // namespace carawayturn::entry
