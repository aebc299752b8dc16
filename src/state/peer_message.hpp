#pragma once

#include "state/fleet.hpp"
#include "state/fleet_config.hpp"
#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace carawayturn
{

/// One instance's heartbeat, as it or another instance passes it on. Ages are counted at
/// the sender when the message leaves.
struct member_entry
{
    instance_id id;
    incarnation_number incarnation = 0;
    slot_number slot = 0;
    bool has_slot = false;
    std::uint64_t heartbeat = 0;
    instance_state state = instance_state::joining;
    endpoint peer_address;
    failure_domain_id failure_domain;
    /// Time since the last successful answer of the table service.
    duration store_contact_age{0};
    config_version config = 0;
    /// Fencing number of the slot held; the higher of two claims of a slot is valid.
    fencing_number fence = 0;
};

/// Periodic gossip: the sender's entry first, then a few others.
struct gossip
{
    std::vector<member_entry> entries;
    /// Poison signatures refused everywhere, a few at a time.
    std::vector<digest> poisonous;
    /// Backend servers known to be leaving, with the incarnation that leaves.
    std::vector<std::pair<backend_id, incarnation_number>> leaving;
};

/// Asks a peer for configuration changes above a version.
struct config_query
{
    std::uint64_t query = 0;
    config_version have = 0;
};

/// Answers a config_query: changes from `have` + 1 on, or a whole copy when the log is
/// too short.
struct config_reply
{
    std::uint64_t query = 0;
    /// Highest version the sender has in force.
    config_version version = 0;
    /// Time since the sender knew that version to be the newest; see config_log.
    duration confirmed_age{0};
    std::vector<config_change> changes;
    std::vector<fleet_config> whole_copy;
};

/// Absolute demand for one model or adapter at one instance, since its incarnation began.
struct demand_entry
{
    model_id model;
    adapter_id adapter;
    std::uint32_t waiting = 0;
    duration oldest_wait{0};
    duration tightest_deadline{0};
    std::uint64_t arrivals = 0;
    /// The organisation that waits longest, for fair order.
    organisation_id organisation;
};

/// Demand at one instance for the models of one pool, to the pool's owner.
struct demand_report
{
    pool_id pool;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<demand_entry> entries;
};

/// Replicas of one pool as its owner publishes them. Higher (fence, version) wins.
struct placement_update
{
    pool_id pool;
    fencing_number fence = 0;
    std::uint64_t version = 0;
    std::vector<replica> replicas;
    /// Expected time until each of these models is loaded, for waiting callers, in the
    /// order of loads. `bytes` is the memory reserved: 0 while the load is only queued.
    std::vector<std::pair<loaded_item, duration>> loading;
};

/// The budget owner asks a member to lend its base shares.
struct lend_query
{
    std::uint64_t query = 0;
    incarnation_number incarnation = 0;
    std::vector<organisation_id> organisations;
};

/// One organisation's part of a lend_reply. Counters are absolute for (member
/// incarnation, owner incarnation), written by the member only, ordered by `clock`.
struct lend_entry
{
    organisation_id organisation;
    /// Share lent for the lending period, in base shares (0 or 1).
    std::uint32_t shares = 0;
    std::uint64_t clock = 0;
    /// Base tokens handed over with the share, cumulative.
    token_count handed_over = 0;
    /// Granted tokens spent, cumulative.
    token_count spent = 0;
    /// Granted tokens given back or expired unspent, cumulative.
    token_count returned = 0;
    /// Tokens wanted now by waiting requests.
    token_count wanted = 0;
    /// Base tokens not handed over that requests in flight may still give back, or that
    /// await the next reply. They count against the owner's cap.
    token_count reserved = 0;
};

struct lend_reply
{
    std::uint64_t query = 0;
    incarnation_number incarnation = 0;
    std::vector<lend_entry> entries;
};

/// A member asks the owner for tokens at once.
struct budget_ask
{
    std::uint64_t ask = 0;
    incarnation_number incarnation = 0;
    lend_entry entry;
};

/// The owner's cumulative grants to one member, for (owner incarnation, member
/// incarnation).
struct budget_grant
{
    /// The ask this answers, or 0 when unasked.
    std::uint64_t ask = 0;
    /// The lend_query sequence of the owner that this grant follows.
    std::uint64_t query = 0;
    organisation_id organisation;
    incarnation_number owner_incarnation = 0;
    incarnation_number member_incarnation = 0;
    std::uint64_t clock = 0;
    token_count granted = 0;
    /// Grants may be spent this long after the member sent the ask or lend_reply that the
    /// owner has seen last.
    duration valid{0};
    /// When not enough could be granted: time until the tokens wanted will have accrued.
    duration retry_after{0};
    /// The owner has ended the member's lending that followed `query` or an earlier one:
    /// the member uses its base share again at once and keeps the granted tokens in it.
    bool ends_lending = false;
};

/// Tells a pool's new owner or all members that a request signature crashed a backend
/// server.
struct poison_notice
{
    digest signature;
    std::uint32_t crashes = 0;
};

using peer_message =
    std::variant<gossip, config_query, config_reply, demand_report, placement_update,
                 lend_query, lend_reply, budget_ask, budget_grant, poison_notice>;

} // namespace carawayturn
