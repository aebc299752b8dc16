#include "state/entry/serving_config.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

std::string route_key(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += prefix;
    return key;
}

template <class Items>
auto const* find_named(Items const& items, std::string_view name)
{
    auto const found = std::find_if(items.begin(), items.end(),
                                    [&](auto const& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

hosted_model const* engine_traits::find(std::string_view model) const
{
    return find_named(models, model);
}

void serving_config::index()
{
    route_index_.clear();
    service_index_.clear();
    key_index_.clear();
    for (std::size_t i = 0; i < routes.size(); ++i)
        route_index_.emplace(route_key(routes[i].host, routes[i].path_prefix), i);
    for (std::size_t i = 0; i < services.size(); ++i)
        service_index_.emplace(services[i].name, i);
    for (std::size_t i = 0; i < organisations.size(); ++i)
        for (auto const& key : organisations[i].keys)
            key_index_.emplace(key, i);
}

serving_route const* serving_config::find_route(std::string_view host,
                                                std::string_view path) const
{
    // Prefixes end with a slash, so only prefixes up to a slash of the path can match.
    auto end = path.rfind('/');
    while (end != std::string_view::npos)
    {
        auto const found = route_index_.find(route_key(host, path.substr(0, end + 1)));
        if (found != route_index_.end())
            return &routes[found->second];
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

service_config const* serving_config::find_service(std::string_view name) const
{
    auto const found = service_index_.find(std::string(name));
    return found == service_index_.end() ? nullptr : &services[found->second];
}

organisation const* serving_config::find_organisation_by_key(std::string_view key) const
{
    auto const found = key_index_.find(std::string(key));
    return found == key_index_.end() ? nullptr : &organisations[found->second];
}

organisation const* serving_config::find_organisation_by_name(std::string_view name) const
{
    return find_named(organisations, name);
}

} // namespace carawayturn::entry
