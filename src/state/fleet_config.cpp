#include "state/fleet_config.hpp"
#include "state/hash.hpp"

#include <array>

namespace carawayturn
{

namespace
{

error invalid(std::string field, std::string detail)
{
    return {error_code::invalid_input, std::move(field), "", std::move(detail)};
}

std::string field_of(std::string const& list, std::string const& id,
                     std::string const& member)
{
    return list + "[" + id + "]." + member;
}

using check = result<std::monostate>;

check check_models(fleet_config const& config)
{
    for (auto const& [id, model] : config.models)
    {
        if (id.empty() || id != model.id)
            return invalid(field_of("models", id.str(), "id"),
                           "must be a non-empty name");
        if (model.bytes <= 0)
            return invalid(field_of("models", id.str(), "bytes"), "must be positive");
        if (model.max_replicas == 0)
            return invalid(field_of("models", id.str(), "max_replicas"),
                           "must be at least 1");
    }
    return std::monostate{};
}

check check_adapters(fleet_config const& config)
{
    for (auto const& [id, adapter] : config.adapters)
    {
        if (id.empty() || id != adapter.id)
            return invalid(field_of("adapters", id.str(), "id"),
                           "must be a non-empty name");
        if (!config.models.contains(adapter.model))
            return invalid(field_of("adapters", id.str(), "model"),
                           "names no model: \"" + adapter.model.str() + "\"");
        if (config.models.contains(model_id(id.str())))
            return invalid(field_of("adapters", id.str(), "id"),
                           "is also the name of a model");
        if (adapter.bytes <= 0)
            return invalid(field_of("adapters", id.str(), "bytes"), "must be positive");
    }
    return std::monostate{};
}

check check_pool_limits(pool_config const& pool)
{
    std::string const& id = pool.id.str();
    if (pool.kind == pool_kind::plain)
        return std::monostate{};
    if (pool.load_slots == 0)
        return invalid(field_of("pools", id, "load_slots"), "must be at least 1");
    if (!(pool.loads_per_second > 0))
        return invalid(field_of("pools", id, "loads_per_second"), "must be positive");
    if (pool.adapter_load_slots == 0)
        return invalid(field_of("pools", id, "adapter_load_slots"), "must be at least 1");
    return std::monostate{};
}

check check_pools(fleet_config const& config)
{
    std::map<model_id, pool_id> pool_of;
    for (auto const& [id, pool] : config.pools)
    {
        if (id.empty() || id != pool.id)
            return invalid(field_of("pools", id.str(), "id"), "must be a non-empty name");
        if (auto limits = check_pool_limits(pool); !succeeded(limits))
            return limits;
        for (auto const& model : pool.models)
        {
            if (!config.models.contains(model))
                return invalid(field_of("pools", id.str(), "models"),
                               "names no model: \"" + model.str() + "\"");
            if (auto [known, added] = pool_of.emplace(model, id); !added)
                return invalid(field_of("pools", id.str(), "models"),
                               "model \"" + model.str() + "\" is already in pool \"" +
                                   known->second.str() + "\"");
        }
    }
    return std::monostate{};
}

check check_routes(fleet_config const& config)
{
    std::set<std::string> prefixes;
    for (auto const& route : config.routes)
    {
        if (!route.path_prefix.starts_with('/'))
            return invalid(field_of("routes", route.path_prefix, "path_prefix"),
                           "must begin with \"/\"");
        if (!prefixes.insert(route.path_prefix).second)
            return invalid(field_of("routes", route.path_prefix, "path_prefix"),
                           "is repeated");
        if (!config.pools.contains(route.pool))
            return invalid(field_of("routes", route.path_prefix, "pool"),
                           "names no pool: \"" + route.pool.str() + "\"");
        if (route.default_deadline <= duration::zero())
            return invalid(field_of("routes", route.path_prefix, "default_deadline_ms"),
                           "must be positive");
        if (route.request_tokens < 0)
            return invalid(field_of("routes", route.path_prefix, "request_tokens"),
                           "must not be negative");
        if (route.open && route.at_most_once)
            return invalid(field_of("routes", route.path_prefix, "at_most_once"),
                           "needs an organisation, so the route cannot be open");
    }
    return std::monostate{};
}

check check_permissions(fleet_config const& config,
                        organisation_config const& organisation)
{
    std::string const& id = organisation.id.str();
    for (auto const& model : organisation.models)
    {
        if (model != "*" && !config.models.contains(model_id(model)) &&
            !config.adapters.contains(adapter_id(model)))
            return invalid(field_of("organisations", id, "models"),
                           "names no model or adapter: \"" + model + "\"");
    }
    for (auto const& pool : organisation.pools)
    {
        if (pool != "*" && !config.pools.contains(pool_id(pool)))
            return invalid(field_of("organisations", id, "pools"),
                           "names no pool: \"" + pool + "\"");
    }
    return std::monostate{};
}

check check_organisations(fleet_config const& config)
{
    std::map<digest, organisation_id> owner_of_key;
    for (auto const& [id, organisation] : config.organisations)
    {
        if (id.empty() || id != organisation.id)
            return invalid(field_of("organisations", id.str(), "id"),
                           "must be a non-empty name");
        if (!(organisation.rate > 0))
            return invalid(field_of("organisations", id.str(), "rate"),
                           "must be positive");
        if (organisation.burst <= 0)
            return invalid(field_of("organisations", id.str(), "burst"),
                           "must be positive");
        if (auto permitted = check_permissions(config, organisation);
            !succeeded(permitted))
            return permitted;
        for (auto const& key : organisation.key_digests)
        {
            if (auto [known, added] = owner_of_key.emplace(key, id); !added)
                return invalid(field_of("organisations", id.str(), "key_digests"),
                               "a key belongs to organisation \"" + known->second.str() +
                                   "\" already");
        }
    }
    return std::monostate{};
}

check change_keys(fleet_config& config, organisation_id const& id, digest const& key,
                  bool grant)
{
    auto const found = config.organisations.find(id);
    if (found == config.organisations.end())
        return error{error_code::not_found, field_of("organisations", id.str(), "id"), "",
                     "names no organisation"};
    auto& keys = found->second.key_digests;
    bool const changed = grant ? keys.insert(key).second : keys.erase(key) != 0;
    if (!changed)
        return error{grant ? error_code::conflict : error_code::not_found,
                     field_of("organisations", id.str(), "key_digests"), "",
                     grant ? "the key is already granted" : "the key is not granted"};
    return std::monostate{};
}

struct change_applier
{
    fleet_config& config;

    check operator()(replace_config const& change) const
    {
        config_version const version = config.version;
        config = change.config;
        config.version = version;
        return std::monostate{};
    }
    check operator()(grant_key const& change) const
    {
        return change_keys(config, change.organisation, change.key, true);
    }
    check operator()(withdraw_key const& change) const
    {
        return change_keys(config, change.organisation, change.key, false);
    }
    check operator()(put_adapter const& change) const
    {
        config.adapters.insert_or_assign(change.adapter.id, change.adapter);
        return std::monostate{};
    }
    check operator()(remove_adapter const& change) const
    {
        if (config.adapters.erase(change.adapter) == 0)
            return error{error_code::not_found,
                         field_of("adapters", change.adapter.str(), "id"), "",
                         "names no adapter"};
        return std::monostate{};
    }
};

} // namespace

result<std::monostate> validate(fleet_config const& config)
{
    if (config.instance_slots == 0 || config.instance_slots > max_instance_slots)
        return invalid("instance_slots",
                       "must be from 1 to " + std::to_string(max_instance_slots));
    static constexpr std::array checks{check_models, check_adapters, check_pools,
                                       check_routes, check_organisations};
    for (auto const& part : checks)
    {
        if (auto outcome = part(config); !succeeded(outcome))
            return outcome;
    }
    return std::monostate{};
}

result<fleet_config> apply(fleet_config const& config, config_change const& change)
{
    fleet_config changed = config;
    if (auto outcome = std::visit(change_applier{changed}, change); !succeeded(outcome))
        return std::get<error>(outcome);
    if (auto outcome = validate(changed); !succeeded(outcome))
        return std::get<error>(outcome);
    ++changed.version;
    return changed;
}

std::optional<organisation_id> find_organisation(fleet_config const& config,
                                                 digest const& key)
{
    // All keys are compared, so that the time taken does not tell which one matched.
    std::optional<organisation_id> found;
    for (auto const& [id, organisation] : config.organisations)
    {
        for (auto const& candidate : organisation.key_digests)
        {
            if (equal_in_constant_time(candidate.str(), key.str()))
                found = id;
        }
    }
    return found;
}

route_config const* find_route(fleet_config const& config, std::string_view path)
{
    route_config const* best = nullptr;
    for (auto const& route : config.routes)
    {
        if (path.starts_with(route.path_prefix) &&
            (best == nullptr || route.path_prefix.size() > best->path_prefix.size()))
            best = &route;
    }
    return best;
}

} // namespace carawayturn
