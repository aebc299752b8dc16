#pragma once

#include "state/identifiers.hpp"
#include "state/result.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carawayturn
{

/// A base model. Memory is what one loaded replica takes on a runner, with its KV cache.
struct model_config
{
    model_id id;
    std::string version = "1";
    byte_count bytes = 0;
    std::uint32_t max_replicas = 1;
    friend bool operator==(model_config const&, model_config const&) = default;
};

/// An adapter on a base model; it is loaded at a runner that holds the model.
struct adapter_config
{
    adapter_id id;
    model_id model;
    byte_count bytes = 0;
    friend bool operator==(adapter_config const&, adapter_config const&) = default;
};

enum class pool_kind
{
    model,
    plain
};

/// A service: a pool of model runners, or of plain backend servers.
struct pool_config
{
    pool_id id;
    pool_kind kind = pool_kind::model;
    /// Loads in flight from the weight store, and loads started a second, over the fleet.
    std::uint32_t load_slots = 4;
    double loads_per_second = 4.0;
    /// Adapter loads in flight over all runners.
    std::uint32_t adapter_load_slots = 32;
    /// Models this pool may load; empty for a plain pool.
    std::vector<model_id> models;
    friend bool operator==(pool_config const&, pool_config const&) = default;
};

/// A path prefix and what serves it. Open routes need no key.
struct route_config
{
    std::string path_prefix;
    pool_id pool;
    bool open = false;
    /// Requests on this route run at most once and need an Idempotency-Key.
    bool at_most_once = false;
    /// Lower values go first.
    std::int32_t priority = 10;
    duration default_deadline = std::chrono::seconds(60);
    /// Tokens charged for one request of a plain service.
    token_count request_tokens = 1;
    friend bool operator==(route_config const&, route_config const&) = default;
};

struct organisation_config
{
    organisation_id id;
    /// Tokens a second over the whole fleet.
    double rate = 0;
    /// Tokens that may be used at once over the whole fleet.
    token_count burst = 0;
    /// Models and adapters it may call; "*" allows all.
    std::set<std::string> models;
    /// Services it may call; "*" allows all.
    std::set<std::string> pools;
    /// SHA-256 digests of the keys it may show.
    std::set<digest> key_digests;
    friend bool operator==(organisation_config const&,
                           organisation_config const&) = default;
};

/// Upper bound of fleet_config::instance_slots; above the 1,700 nodes that are planned
/// for.
inline constexpr std::uint32_t max_instance_slots = 4096;

/// The whole configuration at one version.
struct fleet_config
{
    config_version version = 0;
    /// Number of instance slots; each owns an equal base share of every rate and burst.
    std::uint32_t instance_slots = 16;
    std::map<model_id, model_config> models;
    std::map<adapter_id, adapter_config> adapters;
    std::map<pool_id, pool_config> pools;
    std::vector<route_config> routes;
    std::map<organisation_id, organisation_config> organisations;
    friend bool operator==(fleet_config const&, fleet_config const&) = default;
};

/// Replaces the whole configuration; the version inside is ignored.
struct replace_config
{
    fleet_config config;
    friend bool operator==(replace_config const&, replace_config const&) = default;
};
struct grant_key
{
    organisation_id organisation;
    digest key;
    friend bool operator==(grant_key const&, grant_key const&) = default;
};
struct withdraw_key
{
    organisation_id organisation;
    digest key;
    friend bool operator==(withdraw_key const&, withdraw_key const&) = default;
};
struct put_adapter
{
    adapter_config adapter;
    friend bool operator==(put_adapter const&, put_adapter const&) = default;
};
struct remove_adapter
{
    adapter_id adapter;
    friend bool operator==(remove_adapter const&, remove_adapter const&) = default;
};

/// One entry of the configuration log.
using config_change =
    std::variant<replace_config, grant_key, withdraw_key, put_adapter, remove_adapter>;

/// Checks a configuration as a whole: names exist and are not repeated, rates and sizes
/// are positive. The error's step names the field, for example
/// "organisations[acme].rate".
[[nodiscard]] result<std::monostate> validate(fleet_config const& config);

/// Returns the configuration after the change, with its version one higher, or the reason
/// why the change does not apply. The argument is left as it is.
[[nodiscard]] result<fleet_config> apply(fleet_config const& config,
                                         config_change const& change);

/// Finds the organisation that a key belongs to. Digests are compared in constant time.
[[nodiscard]] std::optional<organisation_id> find_organisation(fleet_config const& config,
                                                               digest const& key);

/// Finds the route with the longest path prefix that matches, or null.
[[nodiscard]] route_config const* find_route(fleet_config const& config,
                                             std::string_view path);

} // namespace carawayturn
