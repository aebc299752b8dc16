#include "coordination/entry/fleet_status.hpp"

#include <cmath>

namespace carawayturn::entry
{

namespace
{

/// An instance that was silent for longer no longer counts as connected.
constexpr duration connected_time = std::chrono::milliseconds(1500);
/// An instance that was silent for longer is forgotten.
constexpr duration known_time = std::chrono::seconds(10);
/// Time constant of the arrival rates.
constexpr double rate_memory_s = 4.0;

} // namespace

bool fleet_status::recent(node_state const& node, time_point now)
{
    return now - node.received <= connected_time;
}

void fleet_status::follow_arrivals(node_state& node, node_status const& status,
                                   time_point now, bool restarted)
{
    double const passed = std::chrono::duration<double>(now - node.received).count();
    double const keep = restarted ? 0 : std::exp(-passed / rate_memory_s);
    for (auto& [key, arrivals] : node.arrivals)
        arrivals.rate *= keep;
    for (auto const& demand : status.demand)
    {
        auto& arrivals = node.arrivals[{demand.service, demand.model}];
        // Nothing is known of when the arrivals before the first status happened.
        if (restarted)
            arrivals.count = demand.arrivals;
        auto const fresh = static_cast<double>(demand.arrivals - arrivals.count);
        arrivals.rate += fresh / rate_memory_s;
        arrivals.count = demand.arrivals;
    }
}

void fleet_status::put(node_status const& status, time_point now)
{
    auto& node = nodes_[status.node];
    bool const restarted =
        node.received == time_point{} || node.last.incarnation != status.incarnation;
    if (!restarted && status.sent_at_us <= node.last.sent_at_us)
        return;
    if (restarted)
        node.arrivals.clear();
    follow_arrivals(node, status, now, restarted);
    node.last = status;
    node.received = now;
}

void fleet_status::expire(time_point now)
{
    std::erase_if(nodes_, [&](auto const& entry)
                  { return now - entry.second.received > known_time; });
}

void fleet_status::clear()
{
    nodes_.clear();
}

std::size_t fleet_status::connected(time_point now) const
{
    std::size_t count = 0;
    for (auto const& [name, node] : nodes_)
        count += recent(node, now) ? 1 : 0;
    return count;
}

std::vector<backend_total> fleet_status::totals_without(std::string const& node,
                                                        time_point now) const
{
    std::map<std::string, std::uint32_t> totals;
    for (auto const& [name, state] : nodes_)
    {
        if (name == node || !recent(state, now))
            continue;
        for (auto const& entry : state.last.in_flight)
            totals[entry.backend] += entry.count;
    }
    std::vector<backend_total> found;
    found.reserve(totals.size());
    for (auto const& [backend, count] : totals)
        found.push_back({backend, count});
    return found;
}

std::map<std::string, std::map<std::string, model_demand>>
fleet_status::demand(time_point now) const
{
    std::map<std::string, std::map<std::string, model_demand>> found;
    for (auto const& [name, node] : nodes_)
    {
        if (!recent(node, now))
            continue;
        std::map<std::string, std::string> service_of_model;
        for (auto const& [key, arrivals] : node.arrivals)
        {
            found[key.first][key.second].rate += arrivals.rate;
            service_of_model[key.second] = key.first;
        }
        for (auto const& entry : node.last.demand)
            found[entry.service][entry.model].waiting += entry.waiting;
        for (auto const& entry : node.last.in_flight)
        {
            auto const service = service_of_model.find(entry.model);
            if (!entry.model.empty() && service != service_of_model.end())
                found[service->second][entry.model].in_flight += entry.count;
        }
    }
    return found;
}

std::map<std::pair<std::string, std::string>, std::uint32_t>
fleet_status::in_flight(time_point now) const
{
    std::map<std::pair<std::string, std::string>, std::uint32_t> found;
    for (auto const& [name, node] : nodes_)
        if (recent(node, now))
            for (auto const& entry : node.last.in_flight)
                if (!entry.model.empty())
                    found[{entry.backend, entry.model}] += entry.count;
    return found;
}

} // namespace carawayturn::entry
