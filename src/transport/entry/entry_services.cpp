#include "transport/entry/entry_services.hpp"

#include "transport/entry/boot_clock.hpp"

namespace carawayturn::entry
{

void entry_services::note_limit(client_share share, limit_action action) const
{
    metrics.count("client_limits_total{share=\"" + std::string(name_of(share)) +
                  "\",action=\"" + std::string(name_of(action)) + "\"}");
    if (auto const number = limits.record(share, action, boot_now()))
        log.write(entry_event::client_limited,
                  {{"share", name_of(share)},
                   {"action", name_of(action)},
                   {"number", *number},
                   {"connections", std::uint64_t{callers.open()}},
                   {"connection_limit", std::uint64_t{callers.limit()}},
                   {"head_bytes", heads.taken()},
                   {"body_bytes", bodies.taken()}});
}

} // namespace carawayturn::entry
