#include "transport/entry/state_dump.hpp"

#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace carawayturn::entry
{

namespace
{

namespace json = boost::json;

json::array dump_models(backend_record const& record)
{
    json::array models;
    for (auto const& held : record.models)
    {
        json::array adapters;
        for (auto const& adapter : held.adapters)
            adapters.emplace_back(adapter);
        models.push_back(json::object{{"name", held.name}, {"adapters", adapters}});
    }
    return models;
}

json::object dump_server(backend_record const& record, backend_load const& load,
                         bool takes_requests, bool cold)
{
    return {{"id", record.id},
            {"service", record.service},
            {"address", record.address},
            {"failure_domain", record.failure_domain},
            {"draining", record.draining},
            {"takes_requests", takes_requests},
            {"cold", cold},
            {"slots", record.slots},
            {"models", dump_models(record)},
            {"own_requests", load.own},
            {"other_requests", load.others},
            {"told_requests", load.reported},
            {"failures", load.failures}};
}

} // namespace

std::string dump_state(entry_services& services, hub_lease const& lease,
                       node_summary const& summary)
{
    auto const now = boot_now();
    auto const& authority = services.authority;
    json::object state;
    state["instance"] = services.settings.name;
    state["incarnation"] = summary.incarnation;
    state["failure_domain"] = services.settings.failure_domain;
    state["ready"] = summary.ready;
    state["draining"] = services.draining();
    state["open_requests"] = services.callers.count(caller_stage::serving);
    state["instances"] = services.hub.instances();
    state["configuration"] =
        json::object{{"version", authority.version()},
                     {"newest_heard", authority.newest_known_version()},
                     {"confirmed_ms_ago", to_ms(authority.confirmation_age(now))},
                     {"keyed_requests_served", authority.may_serve_keyed(now)}};
    state["store"] = json::object{{"answering", summary.store_answering},
                                  {"read_by_this_instance", summary.reading_store}};
    state["hub"] = json::object{{"this_instance", summary.hub},
                                {"answers", services.hub.connected()},
                                {"peers_known", summary.peers_known},
                                {"holder", lease.row().holder_name},
                                {"address", lease.row().holder_address},
                                {"fence", lease.row().fence},
                                {"lease_remaining_ms", to_ms(lease.remaining(now))}};
    json::array servers;
    for (auto const& [id, record] : services.backends.all())
        servers.push_back(dump_server(record, services.backends.load(id),
                                      services.backends.may_send(record, now),
                                      services.backends.cold().is_cold(record, now)));
    state["backend_servers"] = std::move(servers);
    return json::serialize(state) + "\n";
}

} // namespace carawayturn::entry
