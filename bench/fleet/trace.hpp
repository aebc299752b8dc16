#pragma once

#include "state/fleet_config.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayturn::bench
{

/// One request of a trace. docs/trace.md gives the text format.
struct trace_request
{
    /// Since the start of the trace.
    duration at{0};
    std::string id;
    organisation_id organisation;
    std::string path;
    std::string model;
    token_count prompt_tokens = 0;
    token_count output_tokens = 0;
    token_count max_tokens = 0;
    duration deadline = std::chrono::seconds(60);
    /// Idempotency key and reference of a request that may not be repeated; empty
    /// otherwise.
    std::string once_key;
    bool crashes_server = false;
};

/// What a deployment looks like: sizes, latencies and the store's limits.
struct deployment
{
    std::string name;
    std::uint32_t instances = 15;
    std::uint32_t failure_domains = 3;
    duration one_way = std::chrono::microseconds(500);
    std::uint32_t runners = 18;
    std::uint32_t plain_servers = 3;
    std::uint32_t models = 100;
    std::uint32_t adapters = 100;
    double loads_per_second = 4;
    duration adapter_time = std::chrono::milliseconds(20);
    byte_count runner_capacity = 80'000'000'000;
    /// Requests arrive in bursts that end together (meetings), not in one evening rush.
    bool meetings = false;
    /// The organisation that offers several times its rate, and how many times.
    double noisy_factor = 5;
};

[[nodiscard]] deployment nile_rest();
[[nodiscard]] deployment mthunzi();

/// The configuration that the deployment's operators would submit.
[[nodiscard]] fleet_config make_config(deployment const& shape);

/// A sample of the deployment's day, the same for the same seed: idle most of the time, a
/// rush or meetings that end together, one organisation over its rate.
[[nodiscard]] std::vector<trace_request> make_trace(deployment const& shape,
                                                    fleet_config const& config,
                                                    std::uint64_t seed, duration length);

/// The plain text of the key that an organisation shows.
[[nodiscard]] std::string key_of(organisation_id const& organisation);

} // namespace carawayturn::bench
