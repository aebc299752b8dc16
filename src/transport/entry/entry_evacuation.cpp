#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/entry_node.hpp"

// The part of entry_node that applies the evacuation of failure domains.
namespace carawayturn::entry
{

void entry_node::evacuations_read(evacuation_reading const& reading)
{
    learn_evacuations(reading);
}

void entry_node::learn_evacuations(evacuation_reading reading)
{
    auto const now = boot_now();
    auto& evacuated = backends_.evacuated();
    bool const waited_for = !evacuated.known() || evacuated.must_refresh(now);
    auto const changed = evacuated.learn(std::move(reading));
    for (auto const& change : changed)
        log_.write(change.began ? entry_event::evacuation_began
                                : entry_event::evacuation_ended,
                   {{"failure_domain", change.domain},
                    {"row_version", change.row_version},
                    {"age_ms", to_ms(evacuated.age(now))},
                    {"in_flight", evacuated_in_flight(change.domain)}});
    for (auto const& change : changed)
        if (!change.began)
            note_evacuation_ended(change.domain, now);
    if (!changed.empty())
    {
        std::set<std::string> domains;
        for (auto const& [name, row_version] : evacuated.domains())
            domains.insert(name);
        hub_.set_evacuated(std::move(domains), now);
        plan_due_.notify();
        waiting_.wake(now);
    }
    if (!changed.empty() || waited_for)
        changes_.notify();
}

std::uint64_t entry_node::evacuated_in_flight(std::string const& domain) const
{
    std::uint64_t requests = 0;
    for (auto const& [server_and_model, count] : in_flight_)
    {
        auto const* const record = backends_.find(server_and_model.first);
        if (record == nullptr)
            continue;
        if (domain.empty() ? backends_.is_evacuated(record->id)
                           : record->failure_domain == domain)
            requests += count;
    }
    return requests;
}

void entry_node::set_evacuation_gauges()
{
    metrics_.set_gauge("evacuated_domains",
                       static_cast<double>(backends_.evacuated().domains().size()));
    metrics_.set_gauge("evacuated_requests_in_flight",
                       static_cast<double>(evacuated_in_flight("")));
}

} // namespace carawayturn::entry
