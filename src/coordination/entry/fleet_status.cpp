#include "coordination/entry/fleet_status.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>
#include <cmath>

namespace carawayturn::entry
{

namespace
{

/// Time without a status after which an instance no longer counts as connected.
constexpr duration connected_timeout = std::chrono::milliseconds(2000);
/// Time without a status after which an instance is removed.
constexpr duration forget_timeout = std::chrono::seconds(10);
/// Time constant of the exponential decay of the arrival rates.
constexpr double rate_time_constant_s = 4.0;

template <class Key>
void subtract_count(std::map<Key, std::uint32_t>& sums, Key const& key,
                    std::uint32_t count)
{
    auto const found = sums.find(key);
    if (found == sums.end())
        return;
    found->second -= std::min(found->second, count);
    if (found->second == 0)
        sums.erase(found);
}

} // namespace

double fleet_status::decayed_rate(model_state const& model, time_point now)
{
    double const age = to_seconds(now - model.rate_updated_at);
    return model.rate * std::exp(-age / rate_time_constant_s);
}

void fleet_status::add(node_state& node)
{
    node.included_in_sums = true;
    ++connected_;
    for (auto const& entry : node.last.in_flight)
    {
        totals_[entry.backend] += entry.count;
        if (!entry.model.empty())
            in_flight_[{entry.backend, entry.model}] += entry.count;
    }
    for (auto const& entry : node.last.demand)
        models_[{entry.service, entry.model}].waiting += entry.waiting;
}

void fleet_status::subtract(node_state& node)
{
    if (!node.included_in_sums)
        return;
    node.included_in_sums = false;
    --connected_;
    for (auto const& entry : node.last.in_flight)
    {
        subtract_count(totals_, entry.backend, entry.count);
        if (!entry.model.empty())
            subtract_count(in_flight_, scoped_model(entry.backend, entry.model),
                           entry.count);
    }
    for (auto const& entry : node.last.demand)
    {
        auto& model = models_[{entry.service, entry.model}];
        model.waiting -= std::min(model.waiting, entry.waiting);
    }
}

void fleet_status::update_arrival_rates(node_state& node, node_status const& status,
                                        time_point now, bool restarted)
{
    if (restarted)
        node.arrivals.clear();
    for (auto const& demand : status.demand)
    {
        scoped_model const scoped(demand.service, demand.model);
        auto& count = node.arrivals[scoped];
        // The arrivals counted before the first status of a process have no known times,
        // so they do not count towards the rate.
        if (restarted)
            count = demand.arrivals;
        auto& model = models_[scoped];
        auto const new_arrivals = static_cast<double>(demand.arrivals - count);
        model.rate = decayed_rate(model, now) + new_arrivals / rate_time_constant_s;
        model.rate_updated_at = now;
        count = demand.arrivals;
        service_of_model_[demand.model] = demand.service;
    }
}

void fleet_status::put(node_status const& status, time_point now)
{
    auto& node = nodes_[status.node];
    bool const restarted =
        node.received == time_point{} || node.last.incarnation != status.incarnation;
    if (!restarted && status.sent_at_us <= node.last.sent_at_us)
        return;
    subtract(node);
    update_arrival_rates(node, status, now, restarted);
    node.previous_in_flight = std::move(node.last.in_flight);
    node.last = status;
    node.received = now;
    add(node);
}

void fleet_status::expire(time_point now)
{
    for (auto& [name, node] : nodes_)
        if (now - node.received > connected_timeout)
            subtract(node);
    std::erase_if(nodes_, [&](auto const& entry)
                  { return now - entry.second.received > forget_timeout; });
}

void fleet_status::clear()
{
    *this = {};
}

std::vector<std::string> fleet_status::addresses_of_others(std::string const& node,
                                                           std::size_t count,
                                                           std::size_t rotation) const
{
    std::vector<std::string> found;
    if (nodes_.empty())
        return found;
    auto entry =
        std::next(nodes_.begin(), static_cast<std::ptrdiff_t>(rotation % nodes_.size()));
    for (std::size_t i = 0; i < nodes_.size() && found.size() < count; ++i)
    {
        if (entry->first != node && !entry->second.last.address.empty())
            found.push_back(entry->second.last.address);
        if (++entry == nodes_.end())
            entry = nodes_.begin();
    }
    return found;
}

std::map<std::string, std::uint32_t>
fleet_status::requests_of_others(std::string const& node) const
{
    std::map<std::string, std::uint32_t> others;
    auto const own = nodes_.find(node);
    if (own == nodes_.end())
        return others;
    auto const& state = own->second;
    for (auto const* const list : {&state.last.in_flight, &state.previous_in_flight})
        for (auto const& entry : *list)
        {
            auto const total = totals_.find(entry.backend);
            others[entry.backend] = total != totals_.end() ? total->second : 0;
        }
    if (state.included_in_sums)
        for (auto const& entry : state.last.in_flight)
        {
            auto& count = others[entry.backend];
            count -= std::min(count, entry.count);
        }
    return others;
}

std::map<std::string, std::map<std::string, model_demand>>
fleet_status::demand(time_point now) const
{
    std::map<std::string, std::map<std::string, model_demand>> found;
    for (auto const& [scoped, model] : models_)
        found[scoped.first][scoped.second] = {model.waiting, 0, decayed_rate(model, now)};
    for (auto const& [scoped, count] : in_flight_)
    {
        auto const service = service_of_model_.find(scoped.second);
        if (service != service_of_model_.end())
            found[service->second][scoped.second].in_flight += count;
    }
    return found;
}

} // namespace carawayturn::entry
