#pragma once

#include "state/entry/time_units.hpp"

#include <cstdint>

// Constants of request_flow.cpp and request_attempt.cpp.
namespace carawayturn::entry::flow
{

/// Time a caller waits that does not tell for how long.
inline constexpr duration default_deadline = std::chrono::seconds(15);
/// Callers give up on a stream without events after this many times its latency
/// objective or its gap objective, and not before a fixed time.
inline constexpr int abandon_latency_factor = 4;
inline constexpr int abandon_gap_factor = 8;
inline constexpr duration min_abandon_time = std::chrono::seconds(2);
/// The answer leaves this long before the time is over, so that it still arrives.
inline constexpr duration answer_margin = std::chrono::milliseconds(20);
/// A stream without an event is moved to another server after this many gap objectives,
/// and not before a fixed time.
inline constexpr int stall_gap_factor = 5;
inline constexpr duration min_stall_time = std::chrono::seconds(1);
/// Sends of one request in all, with those that servers denied.
inline constexpr std::uint32_t max_sends = 4;
/// The hub answers with an estimate within this time if it can place the model at all.
inline constexpr duration estimate_timeout = std::chrono::milliseconds(1500);
/// How often a waiting request looks by itself.
inline constexpr duration recheck_interval = std::chrono::milliseconds(200);
/// An answer up to this length is kept whole before the caller gets any of it, so that
/// one that breaks off can still be replaced. A longer one is passed on as it arrives.
inline constexpr std::size_t max_buffered_answer = std::size_t{64} * 1024;
/// Longest answer that is passed on. One that never ends would else hold the process
/// until its deadline.
inline constexpr std::size_t max_relayed_answer = std::size_t{16} << 20U;
/// How often one looks that waits behind others for the end of a pause: its time may run
/// out before its turn comes.
inline constexpr duration queued_recheck_interval = std::chrono::milliseconds(1000);
/// How long it waits at least before it looks again.
inline constexpr duration min_recheck_wait = std::chrono::milliseconds(1);
/// A runner that denies that it holds a model is avoided for it this long.
inline constexpr duration model_denied_pause = std::chrono::milliseconds(60);
/// A server that is not the expected one is avoided until the directory catches up.
inline constexpr duration wrong_server_pause = std::chrono::seconds(2);
/// Part of the rate that an instance asks for in advance, in seconds over all instances.
inline constexpr double quota_reserve_s = 0.2;
/// An instance that started within this time knows configuration and servers soon; a
/// request waits for them as long at most.
inline constexpr duration initial_state_timeout = std::chrono::milliseconds(1000);
/// Times to come back after refusals whose cause passes by itself.
inline constexpr duration retry_elsewhere = std::chrono::milliseconds(20);
inline constexpr duration retry_soon = std::chrono::milliseconds(300);
inline constexpr duration retry_later = std::chrono::milliseconds(1000);

} // namespace carawayturn::entry::flow
