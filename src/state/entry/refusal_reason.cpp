#include "state/entry/refusal_reason.hpp"

#include <array>
#include <cstddef>

namespace carawayturn::entry
{

namespace
{

struct refusal_info
{
    std::string_view name;
    unsigned status = 503;
};

/// In the order of the enumerators of refusal_reason.
constexpr std::array<refusal_info, 25> refusals{{{"no_configuration", 503},
                                                 {"request_id_missing", 400},
                                                 {"bodies_full", 503},
                                                 {"heads_full", 503},
                                                 {"configuration_stale", 503},
                                                 {"route_unknown", 404},
                                                 {"key_unknown", 401},
                                                 {"request_crashes_servers", 500},
                                                 {"service_unknown", 503},
                                                 {"over_rate", 429},
                                                 {"over_rate_alone", 429},
                                                 {"deadline_unreachable", 503},
                                                 {"draining", 503},
                                                 {"backends_full", 503},
                                                 {"servers_paused", 503},
                                                 {"no_backend", 503},
                                                 {"model_too_late", 503},
                                                 {"model_not_placed", 503},
                                                 {"stream_version_unknown", 503},
                                                 {"stream_version_unavailable", 503},
                                                 {"caller_gone", 503},
                                                 {"not_run_by_backends", 503},
                                                 {"backend_failed", 502},
                                                 {"instance_stopped", 502},
                                                 {"deadline_passed", 504}}};

} // namespace

std::string_view name_of(refusal_reason reason)
{
    return refusals.at(static_cast<std::size_t>(reason)).name;
}

unsigned status_of(refusal_reason reason)
{
    return refusals.at(static_cast<std::size_t>(reason)).status;
}

} // namespace carawayturn::entry
