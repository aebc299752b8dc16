#pragma once

#include <cstdint>

namespace carawayturn::entry
{

/// Numbered log events of an instance on the platform. src/state/log_catalogue.cpp maps
/// them to their levels and names in the log.
enum class entry_event : std::uint16_t
{
    request_ended = 1100,
    attempt_ended = 1101,
    request_malformed = 1102,
    server_silent = 1103,
    request_hedged = 1104,
    call_answer_malformed = 1105,
    client_limited = 1108,
    configuration_in_force = 1110,
    configuration_unreadable = 1111,
    store_lost = 1120,
    store_regained = 1121,
    store_answer_unreadable = 1122,
    own_reading_changed = 1123,
    store_restored = 1124,
    store_answer_rejected = 1125,
    backend_changed = 1130,
    backend_row_unreadable = 1131,
    backend_gone = 1132,
    leaving_announced = 1133,
    backend_paused = 1134,
    backend_word_unclear = 1135,
    backend_crashed = 1136,
    crashes_blocked = 1137,
    backend_cold = 1138,
    backend_warm = 1139,
    version_found = 1140,
    peer_message_unreadable = 1141,
    hub_found = 1142,
    hub_lost = 1143,
    peer_asked = 1144,
    stream_taken_up = 1145,
    stream_kept_back = 1146,
    lease_claimed = 1150,
    lease_row_unreadable = 1151,
    lease_released = 1152,
    lease_lost = 1153,
    lease_not_released = 1154,
    instance_started = 1160,
    instance_draining = 1161,
    instance_stopped = 1162,
    readiness_changed = 1163,
    settings_reloaded = 1164,
    settings_rejected = 1165,
    intake_closed = 1166,
    requests_cut = 1167,
    order_ended = 1170,
    report_unreadable = 1171,
    task_failed = 1180,
    evacuation_began = 1190,
    evacuation_ended = 1191,
    evacuation_rows_ignored = 1192,
    quota_contended = 1193
};

} // namespace carawayturn::entry
