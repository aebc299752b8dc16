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

/// What may be done with a request whose outcome is unknown.
enum class request_kind
{
    /// May run any number of times.
    idempotent,
    /// Runs at most once for each attempt of the caller.
    at_most_once,
    /// An event stream; at most once unless the route allows to resume it.
    stream
};

/// One service of a route's traffic split.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;
};

/// A host and path prefix, and what serves the requests below it.
struct serving_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    /// The longest time that a caller is kept waiting.
    duration timeout = std::chrono::seconds(15);
    /// An answer (for streams the first event) within this time is on time.
    duration latency_objective = std::chrono::seconds(1);
    /// The longest pause between two events of a stream that is on time.
    duration gap_objective = std::chrono::milliseconds(300);
    /// 0 is the most urgent.
    std::uint32_t priority = 5;
    std::vector<route_target> targets;
    std::uint32_t max_attempts = 1;
    /// Needs no key.
    bool is_public = false;
    /// A broken stream may be continued at another backend server.
    bool resumable = false;

    /// Whether a request may run again after an attempt with an unknown outcome.
    [[nodiscard]] bool retryable() const
    {
        return kind == request_kind::idempotent ||
               (kind == request_kind::stream && resumable);
    }
};

/// A base model that the runners of a service may hold.
struct hosted_model
{
    std::string name;
    /// Accelerator memory of the weights.
    double memory_mb = 0;
    /// Load times by where the runner finds the weights.
    duration store_load_time = std::chrono::seconds(10);
    duration disk_load_time = std::chrono::seconds(10);
    duration memory_load_time = std::chrono::seconds(10);
    double adapter_mb = 0;
};

/// What all runners of a model service have in common.
struct engine_traits
{
    std::vector<hosted_model> models;
    double memory_mb = 0;
    std::uint32_t adapter_slots = 0;
    /// Loads from the weight store that may begin each second over all runners.
    double loads_per_s = 1;
    /// Requests that one runner batches.
    std::uint32_t slots = 1;

    [[nodiscard]] hosted_model const* find(std::string_view model) const;
};

struct service_config
{
    std::string name;
    std::optional<engine_traits> engine;
};

/// A tenant with its keys and its quota over all instances together.
struct organisation
{
    std::string name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Units a second; 0 means no limit.
    double rate = 0;
    double burst = 0;
    /// Whether a request counts by its tokens; otherwise it counts as one.
    bool by_tokens = false;
    /// Tokens of a request that does not tell its own.
    double plain_tokens = 1;
};

/// Bounds on what a caller may send.
struct caller_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = std::uint64_t{4} << 20U;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

/// The operators' configuration at one version, indexed for requests.
class serving_config
{
public:
    std::uint64_t version = 0;
    std::vector<serving_route> routes;
    std::vector<service_config> services;
    std::vector<organisation> organisations;
    caller_limits limits;

    /// Builds the indexes; call once after the fields are filled.
    void index();

    /// Returns the route of the host with the longest prefix of the path, or null.
    [[nodiscard]] serving_route const* find_route(std::string_view host,
                                                  std::string_view path) const;
    [[nodiscard]] service_config const* find_service(std::string_view name) const;
    [[nodiscard]] organisation const*
    find_organisation_by_key(std::string_view key) const;
    [[nodiscard]] organisation const*
    find_organisation_by_name(std::string_view name) const;

    /// Whether requests have to show a key.
    [[nodiscard]] bool keys_required() const { return !organisations.empty(); }

private:
    std::unordered_map<std::string, std::size_t> route_index_;
    std::unordered_map<std::string, std::size_t> service_index_;
    std::unordered_map<std::string, std::size_t> key_index_;
};

} // namespace carawayturn::entry
