#include "transport/entry/server_notice.hpp"

#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"

namespace carawayturn::entry
{

namespace
{

void mark_server_leaving(entry_services& services, std::string const& server,
                         std::int64_t born_ms)
{
    if (!services.backends.note_leaving(server, born_ms))
        return;
    services.connections.drop(server);
    auto const* const known = services.backends.find(server);
    services.metrics.count("servers_leaving_total");
    services.log.write(
        entry_event::leaving_announced,
        {{"server", server},
         {"born_ms", born_ms},
         {"entry_draining", std::int64_t{known != nullptr && known->draining}}});
    services.hub.send_status_soon();
}

void pause_server(entry_services& services, std::string const& server,
                  std::int64_t born_ms, duration pause)
{
    auto const now = boot_now();
    services.backends.note_pause(server, born_ms, pause, now);
    services.metrics.count("server_pauses_total");
    services.log.write(
        entry_event::backend_paused,
        {{"server", server},
         {"pause_ms", to_ms(pause)},
         {"in_flight", std::uint64_t{services.backends.load(server).own}}});
}

} // namespace

void apply_server_notice(entry_services& services, std::string const& server,
                         std::int64_t born_ms, server_notice const& notice)
{
    // The address now belongs to another server, whose notice does not apply to this one.
    if (!notice.sender.empty() && notice.sender != server)
        return;
    if (notice.malformed && services.backends.note_malformed_header(server))
        services.log.write(entry_event::backend_word_unclear, {{"server", server}});
    if (auto const* const known = services.backends.find(server);
        known != nullptr && known->born_ms == born_ms && notice.cold_left &&
        !notice.sender.empty())
        services.backends.cold().note_cold_left(*known, *notice.cold_left, boot_now());
    if (notice.leaving)
        mark_server_leaving(services, server, born_ms);
    if (notice.pause)
        pause_server(services, server, born_ms, *notice.pause);
}

} // namespace carawayturn::entry
