#include "state/config_text.hpp"
#include "state/json_fields.hpp"
#include "state/strict_json.hpp"

#include <boost/json/serialize.hpp>

#include <array>

namespace carawayturn
{

namespace
{

/// The format needs six levels: change, config, list, object, list, string.
constexpr std::size_t max_config_depth = 8;

constexpr std::array<std::string_view, 2> pool_kind_names{"model", "plain"};

// In the order of config_change.
constexpr std::array<std::string_view, 5> change_names{
    "replace", "grant_key", "withdraw_key", "put_adapter", "remove_adapter"};
static_assert(change_names.size() == std::variant_size_v<config_change>);

} // namespace

template <class Io>
static void describe(Io& io, described<Io, model_config> model)
{
    io.required("id", model.id);
    io.optional("version", model.version);
    io.required("bytes", model.bytes);
    io.optional("max_replicas", model.max_replicas);
}

template <class Io>
static void describe(Io& io, described<Io, adapter_config> adapter)
{
    io.required("id", adapter.id);
    io.required("model", adapter.model);
    io.required("bytes", adapter.bytes);
}

template <class Io>
static void describe(Io& io, described<Io, pool_config> pool)
{
    io.required("id", pool.id);
    io.choice("kind", pool.kind, pool_kind_names);
    io.optional("load_slots", pool.load_slots);
    io.optional("loads_per_second", pool.loads_per_second);
    io.optional("adapter_load_slots", pool.adapter_load_slots);
    io.optional("models", pool.models);
}

template <class Io>
static void describe(Io& io, described<Io, route_config> route)
{
    io.required("path_prefix", route.path_prefix);
    io.required("pool", route.pool);
    io.optional("open", route.open);
    io.optional("at_most_once", route.at_most_once);
    io.optional("priority", route.priority);
    io.milliseconds("default_deadline_ms", route.default_deadline);
    io.optional("request_tokens", route.request_tokens);
}

template <class Io>
static void describe(Io& io, described<Io, organisation_config> organisation)
{
    io.required("id", organisation.id);
    io.required("rate", organisation.rate);
    io.required("burst", organisation.burst);
    io.optional("models", organisation.models);
    io.optional("pools", organisation.pools);
    io.optional("key_digests", organisation.key_digests);
}

template <class Io>
static void describe(Io& io, described<Io, fleet_config> config)
{
    io.optional("version", config.version);
    io.optional("instance_slots", config.instance_slots);
    io.keyed_list("models", config.models);
    io.keyed_list("adapters", config.adapters);
    io.keyed_list("pools", config.pools);
    io.optional("routes", config.routes);
    io.keyed_list("organisations", config.organisations);
}

template <class Io>
static void describe(Io& io, described<Io, replace_config> change)
{
    io.required("config", change.config);
}

template <class Io>
static void describe(Io& io, described<Io, grant_key> change)
{
    io.required("organisation", change.organisation);
    io.required("key_digest", change.key);
}

template <class Io>
static void describe(Io& io, described<Io, withdraw_key> change)
{
    io.required("organisation", change.organisation);
    io.required("key_digest", change.key);
}

template <class Io>
static void describe(Io& io, described<Io, put_adapter> change)
{
    io.required("adapter", change.adapter);
}

template <class Io>
static void describe(Io& io, described<Io, remove_adapter> change)
{
    io.required("adapter", change.adapter);
}

namespace
{

/// Makes the alternative of the variant at a run-time index.
template <std::size_t Index = 0>
void emplace_change(config_change& change, std::size_t index)
{
    if constexpr (Index < std::variant_size_v<config_change>)
    {
        if (index == Index)
            change.emplace<Index>();
        else
            emplace_change<Index + 1>(change, index);
    }
}

/// Puts the prefix of a replacement's configuration before validate()'s field names.
error inside_config(error reason)
{
    reason.step = "config." + reason.step;
    return reason;
}

} // namespace

std::string print_config(fleet_config const& config)
{
    json_writer fields;
    describe(fields, config);
    return boost::json::serialize(fields.release());
}

result<fleet_config> parse_config(std::string_view text)
{
    auto const document = parse_strict_json(text, max_config_depth);
    if (!succeeded(document))
        return std::get<error>(document);
    fleet_config config;
    auto const failure = read_fields(
        [&]
        {
            json_reader fields(std::get<0>(document), "", unknown_fields::refuse);
            describe(fields, config);
            fields.finish();
        });
    if (failure)
        return *failure;
    if (auto const valid = validate(config); !succeeded(valid))
        return std::get<error>(valid);
    return config;
}

std::string print_change(config_change const& change)
{
    json_writer fields;
    fields.choice("type", change.index(), change_names);
    std::visit([&](auto const& value) { describe(fields, value); }, change);
    return boost::json::serialize(fields.release());
}

result<config_change> parse_change(std::string_view text)
{
    auto const document = parse_strict_json(text, max_config_depth);
    if (!succeeded(document))
        return std::get<error>(document);
    config_change change;
    auto const failure = read_fields(
        [&]
        {
            json_reader fields(std::get<0>(document), "", unknown_fields::refuse);
            std::string type;
            fields.required("type", type);
            std::size_t index = 0;
            fields.choice("type", index, change_names);
            emplace_change(change, index);
            std::visit([&](auto& value) { describe(fields, value); }, change);
            fields.finish();
        });
    if (failure)
        return *failure;
    if (auto const* const replacement = std::get_if<replace_config>(&change))
    {
        if (auto const valid = validate(replacement->config); !succeeded(valid))
            return inside_config(std::get<error>(valid));
    }
    return change;
}

} // namespace carawayturn
