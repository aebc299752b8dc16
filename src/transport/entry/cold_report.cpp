#include "state/entry/time_units.hpp"
#include "transport/entry/entry_node.hpp"

#include <algorithm>

// The part of entry_node that applies limits for cold servers and reports on them.
namespace carawayturn::entry
{

namespace
{

/// Changes that are logged one by one in one tick. Many servers may become cold at once,
/// for example when an evacuation ends.
constexpr std::size_t max_logged_changes = 32;

} // namespace

void entry_node::update_cold_terms()
{
    backends_.cold().set_terms(authority_.current(), settings_.bounds);
    hub_.cold().set_terms(authority_.current(), settings_.bounds);
}

void entry_node::note_evacuation_ended(std::string const& domain, time_point now)
{
    backends_.note_evacuation_ended(domain, now);
    hub_.cold().note_evacuation_ended(domain, now);
}

void entry_node::report_cold_servers(time_point now)
{
    auto const changes = backends_.cold().take_changes(now);
    for (std::size_t i = 0; i < std::min(changes.size(), max_logged_changes); ++i)
        log_.write(changes[i].cold ? entry_event::backend_cold
                                   : entry_event::backend_warm,
                   {{"server", changes[i].server},
                    {"source", name_of(changes[i].source)},
                    {"cold_ms", to_ms(changes[i].left)},
                    {"changes", std::uint64_t{changes.size()}}});
    if (!changes.empty())
    {
        changes_.notify();
        waiting_.wake(now);
    }
    metrics_.set_gauge("cold_servers",
                       static_cast<double>(backends_.cold().cold_count()));
    metrics_.set_gauge("cold_slots_held",
                       static_cast<double>(backends_.cold().slots_held(now)));
}

} // namespace carawayturn::entry
