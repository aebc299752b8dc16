#include "state/log_catalogue.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace carawayturn
{

namespace
{

using enum log_level;

// Ordered by number. The hundreds are: 1 slots and membership, 2 configuration, 3
// budgets, 4 placement, 5 requests, 6 idempotency and poison requests, 7 transport, 8
// process, 11 instances on the platform.
constexpr log_event events[] = {
    // 100: slots and membership
    {101, info, "slot_claimed"},
    {102, warning, "slot_lost"},
    {103, info, "slot_released"},
    {104, error, "instance_superseded"},
    {105, warning, "slot_row_unreadable"},
    {111, warning, "backend_crash_detected"},
    {112, info, "backend_leaving"},
    {113, info, "backend_removed"},
    {114, warning, "instance_list_empty"},

    // 200: configuration
    {201, info, "config_in_force"},
    {202, info, "config_committed"},
    {203, error, "config_row_unreadable"},
    {204, warning, "config_commit_outcome_unknown"},
    {205, info, "config_change_refused"},

    // 300: budgets
    {301, info, "budget_owner_changed"},
    {302, warning, "budget_request_above_burst"},
    {303, info, "budget_owner_silent"},
    {304, info, "budget_shares_released"},

    // 400: placement
    {401, info, "pool_claimed"},
    {402, info, "load_decided"},
    {403, info, "unload_decided"},
    {404, warning, "pool_lost"},
    {405, info, "pool_released"},
    {406, warning, "order_repeated"},
    {407, warning, "order_refused"},
    {408, info, "runner_restarted"},
    {409, info, "runner_removed"},
    {410, warning, "runner_row_unreadable"},
    {411, warning, "unknown_memory_adopted"},
    {412, warning, "replica_missing_in_report"},
    {413, info, "pool_fence_raised"},

    // 500: requests
    {501, info, "request_refused"},
    {503, info, "caller_gone"},

    // 600: idempotency and poison requests
    {601, warning, "idempotency_outcome_unknown"},
    {602, warning, "poison_suspected"},
    {603, error, "poison_confirmed"},
    {604, warning, "idempotency_write_failed"},
    {605, warning, "idempotency_answer_too_large"},
    {606, info, "poison_cleared"},
    {607, warning, "poison_table_full"},

    // 700: transport
    {701, warning, "peer_message_rejected"},
    {702, info, "listening"},
    {703, warning, "instance_list_unavailable"},
    {704, warning, "backend_poll_failed"},
    {705, info, "admin_request"},
    {706, warning, "answer_malformed"},

    // 800: process
    {801, info, "process_started"},
    {802, info, "drain_started"},
    {803, info, "process_stopped"},
    {804, warning, "drain_limit_reached"},
    {805, error, "start_failed"},

    // 1100: instances on the platform
    {1100, info, "request_ended"},
    {1101, info, "attempt_ended"},
    {1102, info, "request_malformed"},
    {1103, info, "server_silent"},
    {1104, info, "request_hedged"},
    {1105, warning, "call_answer_malformed"},
    {1108, warning, "client_limited"},
    {1110, info, "configuration_in_force"},
    {1111, error, "configuration_unreadable"},
    {1120, warning, "store_lost"},
    {1121, info, "store_regained"},
    {1122, warning, "store_answer_unreadable"},
    {1123, info, "own_reading_changed"},
    {1124, warning, "store_restored"},
    {1125, warning, "store_answer_rejected"},
    {1130, info, "backend_changed"},
    {1131, warning, "backend_row_unreadable"},
    {1132, info, "backend_gone"},
    {1133, info, "leaving_announced"},
    {1134, info, "backend_paused"},
    {1135, warning, "backend_word_unclear"},
    {1136, warning, "backend_crashed"},
    {1137, warning, "crashes_blocked"},
    {1138, info, "backend_cold"},
    {1139, info, "backend_warm"},
    {1140, info, "version_found"},
    {1141, warning, "peer_message_unreadable"},
    {1142, info, "hub_found"},
    {1143, warning, "hub_lost"},
    {1144, info, "peer_asked"},
    {1145, info, "stream_taken_up"},
    {1146, info, "stream_kept_back"},
    {1150, info, "lease_claimed"},
    {1151, warning, "lease_row_unreadable"},
    {1152, info, "lease_released"},
    {1153, warning, "lease_lost"},
    {1154, warning, "lease_not_released"},
    {1160, info, "instance_started"},
    {1161, info, "instance_draining"},
    {1162, info, "instance_stopped"},
    {1163, info, "readiness_changed"},
    {1164, info, "settings_reloaded"},
    {1165, error, "settings_rejected"},
    {1166, info, "intake_closed"},
    {1167, warning, "requests_cut"},
    {1170, info, "order_ended"},
    {1171, warning, "report_unreadable"},
    {1180, error, "task_failed"},
    {1190, warning, "evacuation_began"},
    {1191, info, "evacuation_ended"},
    {1192, warning, "evacuation_rows_ignored"},
    {1193, info, "quota_contended"},
};

} // namespace

std::string_view name_of(log_level level)
{
    static constexpr std::array<std::string_view, 4> names{"debug", "info", "warning",
                                                           "error"};
    return names.at(static_cast<std::size_t>(level));
}

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
