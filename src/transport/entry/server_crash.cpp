#include "transport/entry/server_crash.hpp"

#include "transport/entry/boot_clock.hpp"

namespace carawayturn::entry
{

void note_server_crash(entry_services& services, std::string const& server)
{
    auto const crash = services.crashes.note_crash(server, boot_now());
    if (!crash)
        return;
    services.log.write(entry_event::backend_crashed,
                       {{"server", server},
                        {"broken_attempts", std::uint64_t{crash->broken_attempts}},
                        {"most_crashes", std::uint64_t{crash->most_crashes}}});
}

} // namespace carawayturn::entry
