#pragma once

#include "state/entry/time_units.hpp"

#include <cstdint>

// Constants that request_flow.cpp and request_attempt.cpp share.
namespace carawayturn::entry::flow
{

/// Deadline of a request that does not state one.
inline constexpr duration default_deadline = std::chrono::seconds(15);
/// Callers are expected to give up on a stream without events after the greatest of
/// these: multiples of the route's latency objective and gap objective, and a fixed
/// time.
inline constexpr int abandon_latency_factor = 4;
inline constexpr int abandon_gap_factor = 8;
inline constexpr duration min_abandon_time = std::chrono::seconds(2);
/// Work on a request ends this long before its deadline, so that the answer still
/// arrives.
inline constexpr duration answer_margin = std::chrono::milliseconds(20);
/// A stream without an event counts as stalled, and is moved to another server, after
/// this multiple of the gap objective, and not before a fixed time.
inline constexpr int stall_gap_factor = 5;
inline constexpr duration min_stall_time = std::chrono::seconds(1);
/// Maximum number of times that one request is sent, including the times that servers
/// rejected it.
inline constexpr std::uint32_t max_sends = 4;
/// If the hub can place a model at all, it estimates within this time when the model will
/// be ready. A request without an estimate after this time is refused.
inline constexpr duration estimate_timeout = std::chrono::milliseconds(1500);
/// Interval at which a waiting request checks for a server even without a notification.
inline constexpr duration recheck_interval = std::chrono::milliseconds(200);
/// An answer up to this length, in bytes, is buffered completely before any of it is
/// sent to the caller, so that another attempt can replace an answer that breaks off. A
/// longer answer is forwarded as it arrives.
inline constexpr std::size_t max_buffered_answer = std::size_t{64} * 1024;
/// Bytes of answers for which each request always has memory, so that short answers and
/// events do not depend on what other servers send.
inline constexpr std::size_t free_answer_bytes = std::size_t{8} * 1024;
/// Longest answer, in bytes, that is forwarded, streams included. Without this limit an
/// endless answer would occupy the process until the request's deadline.
inline constexpr std::size_t max_relayed_answer = std::size_t{16} << 20U;
/// Longest body, in bytes, of an answer that is read although it is not forwarded, and
/// the longest time that this takes. Opening a connection costs less than reading on.
inline constexpr std::size_t max_discarded_body = std::size_t{64} * 1024;
inline constexpr duration max_discard_time = std::chrono::milliseconds(50);
/// A server that crashes under a request does so as it begins to write the content of its
/// answer. A run whose content began longer ago than this is not suspected; one that is
/// still reading its prompt is, whenever its head was written.
inline constexpr duration max_crash_delay = std::chrono::milliseconds(1000);
/// Number of shared parts of a prompt for which crashes are counted. Bounds the memory
/// that one request can take there.
inline constexpr std::size_t max_tracked_parts = 256;
/// Interval at which a request checks its deadline while it is queued behind others for
/// the end of a server's pause.
inline constexpr duration queued_recheck_interval = std::chrono::milliseconds(1000);
/// Shortest wait between two checks of a waiting request.
inline constexpr duration min_recheck_wait = std::chrono::milliseconds(1);
/// A runner that answers that it does not hold a model is avoided for that model this
/// long.
inline constexpr duration model_denied_pause = std::chrono::milliseconds(60);
/// Number of bytes of a caller's header that a log line repeats.
inline constexpr std::size_t max_logged_id = 64;
/// A server at whose address a different server answers is avoided this long, until the
/// directory catches up.
inline constexpr duration wrong_server_pause = std::chrono::seconds(2);
/// Quota that the instances together request in advance, in seconds of the organisation's
/// rate.
inline constexpr double quota_reserve_s = 0.2;
/// For this long after its start, an instance may not have read the configuration and the
/// list of servers yet. A request waits for them up to this long.
inline constexpr duration initial_state_timeout = std::chrono::milliseconds(1000);
/// Values of the Retry-After header for refusals whose cause passes without action:
/// another instance can serve the request, the cause passes soon, or it takes longer.
inline constexpr duration retry_elsewhere = std::chrono::milliseconds(20);
inline constexpr duration retry_soon = std::chrono::milliseconds(300);
inline constexpr duration retry_later = std::chrono::milliseconds(1000);

inline bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

inline bool is_server_failure(unsigned status)
{
    return status >= 500;
}

/// Whether a caller takes this status as a promise that its request has not run and never
/// will.
inline bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace carawayturn::entry::flow
