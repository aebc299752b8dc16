#include "state/log_catalogue.hpp"

#include <algorithm>
#include <iterator>

namespace carawayturn
{

namespace
{

using enum log_level;

// Ordered by number. The hundreds are: 1 slots and membership, 2 configuration, 3
// budgets, 4 placement, 5 requests, 6 idempotency and poison requests, 7 transport, 8
// process.
constexpr log_event events[] = {
    // 100: slots and membership
    {101, info, "slot_claimed"},
    {102, warning, "slot_lost"},

    // 200: configuration
    {201, info, "config_in_force"},
    {202, info, "config_committed"},

    // 300: budgets
    {301, info, "budget_owner_changed"},

    // 400: placement
    {401, info, "pool_claimed"},
    {402, info, "load_decided"},

    // 500: requests
    {501, info, "request_refused"},
    {502, debug, "request_finished"},

    // 600: idempotency and poison requests
    {601, warning, "idempotency_outcome_unknown"},
    {602, warning, "poison_suspected"},
    {603, error, "poison_confirmed"},

    // 700: transport
    {701, warning, "peer_message_rejected"},
    {702, info, "listening"},
    {703, warning, "instance_list_unavailable"},
    {704, warning, "backend_poll_failed"},
    {705, info, "admin_request"},

    // 800: process
    {801, info, "process_started"},
    {802, info, "drain_started"},
    {803, info, "process_stopped"},
    {805, error, "start_failed"},
};

} // namespace

std::span<log_event const> log_events()
{
    return events;
}

log_event const* find_log_event(std::uint16_t number)
{
    auto const* const found =
        std::find_if(std::begin(events), std::end(events),
                     [number](log_event const& entry) { return entry.number == number; });
    return found == std::end(events) ? nullptr : found;
}

} // namespace carawayturn
