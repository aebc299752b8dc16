#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayturn::entry
{

/// The kind of a route's requests. It determines whether a request with an unknown
/// outcome may be sent again.
enum class request_kind
{
    /// The request may run any number of times.
    idempotent,
    /// The request runs at most once each time the caller sends it.
    at_most_once,
    /// The answer is an event stream. The request runs at most once unless the route is
    /// resumable.
    stream
};

/// A service with its weight in a route's traffic split.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;
};

/// A host and path prefix with the services that handle its requests.
struct serving_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    /// The longest time that a caller waits for an answer.
    duration timeout = std::chrono::seconds(15);
    /// Target time until the answer or, for streams, until the first event.
    duration latency_objective = std::chrono::seconds(1);
    /// Target for the longest time between two events of a stream.
    duration gap_objective = std::chrono::milliseconds(300);
    /// 0 is the most urgent.
    std::uint32_t priority = 5;
    std::vector<route_target> targets;
    std::uint32_t max_attempts = 1;
    /// Requests need no key.
    bool is_public = false;
    /// A broken stream may be resumed at another backend server.
    bool resumable = false;

    /// Returns whether a request may be sent again after an attempt with an unknown
    /// outcome.
    [[nodiscard]] bool retryable() const
    {
        return kind == request_kind::idempotent ||
               (kind == request_kind::stream && resumable);
    }
};

/// A base model that the runners of a service can load.
struct hosted_model
{
    std::string name;
    /// Accelerator memory that the weights take.
    double memory_mb = 0;
    /// Load times from the weight store, from disk and from the machine's memory.
    duration store_load_time = std::chrono::seconds(10);
    duration disk_load_time = std::chrono::seconds(10);
    duration memory_load_time = std::chrono::seconds(10);
    double adapter_mb = 0;
};

/// Properties that all runners of a model service share.
struct engine_traits
{
    std::vector<hosted_model> models;
    /// Accelerator memory of one runner.
    double memory_mb = 0;
    std::uint32_t adapter_slots = 0;
    /// Loads from the weight store that may start per second, over all runners.
    double loads_per_s = 1;
    /// Batch size of one runner, in requests.
    std::uint32_t slots = 1;

    [[nodiscard]] hosted_model const* find(std::string_view model) const;
};

struct service_config
{
    std::string name;
    /// Set for a service whose backend servers are runners.
    std::optional<engine_traits> engine;
    /// Time for which a server is cold after its start, and the requests a second that it
    /// sustains then. A rate of 0 means that cold servers have no limit.
    duration cold_time{};
    double cold_rate = 0;
};

/// A tenant with its keys and its quota, which applies to all instances together.
struct organisation
{
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Quota units per second; 0 means no limit.
    double rate = 0;
    double burst = 0;
    /// A request costs one unit per token; otherwise it costs one unit.
    bool by_tokens = false;
    /// Tokens charged for a request that does not state its token count.
    double plain_tokens = 1;
};

/// Size and time limits for what callers send.
struct caller_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = std::uint64_t{4} << 20U;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the operators' configuration, with indexes for looking up routes,
/// services and keys.
class serving_config
{
public:
    std::uint64_t version = 0;
    std::vector<serving_route> routes;
    std::vector<service_config> services;
    std::vector<organisation> organisations;
    caller_limits limits;

    /// Builds the indexes. Call this once, after filling in the fields.
    void index();

    /// Returns the route of the host whose prefix is the longest one that matches the
    /// path, or null.
    [[nodiscard]] serving_route const* find_route(std::string_view host,
                                                  std::string_view path) const;
    [[nodiscard]] service_config const* find_service(std::string_view name) const;
    [[nodiscard]] organisation const*
    find_organisation_by_key(std::string_view key) const;
    [[nodiscard]] organisation const*
    find_organisation_by_name(std::string_view name) const;

    /// Returns whether requests to routes that are not public need a key.
    [[nodiscard]] bool keys_required() const { return !organisations.empty(); }

private:
    std::unordered_map<std::string, std::size_t> route_index_;
    std::unordered_map<std::string, std::size_t> service_index_;
    std::unordered_map<std::string, std::size_t> key_index_;
};

} // namespace carawayturn::entry
