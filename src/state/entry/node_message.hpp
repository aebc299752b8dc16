#pragma once

#include "state/entry/backend_record.hpp"
#include "state/entry/evacuated_domains.hpp"
#include "state/entry/lease_row.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Number of requests from one instance that are in flight at a backend server.
struct in_flight_count
{
    std::string backend;
    /// MODEL or MODEL/ADAPTER; empty for services without models.
    std::string model;
    std::uint32_t count = 0;
};

/// Demand for one model at one instance: the requests that arrived since the instance
/// started, and those that are waiting now.
struct demand_count
{
    std::string service;
    std::string model;
    std::uint64_t arrivals = 0;
    std::uint32_t waiting = 0;
};

/// Asks the hub for units of an organisation's quota for one request.
struct quota_request
{
    std::uint64_t quota_request_id = 0;
    std::string organisation;
    double units = 0;
    /// Further units to grant if available, for the instance's next requests.
    double extra_units = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// How long the request can wait for the units; 0 if it cannot.
    std::int64_t max_wait_us = 0;
};

struct quota_reply
{
    std::uint64_t quota_request_id = 0;
    double units = 0;
    std::int64_t retry_after_us = 0;
    /// The request waits at the hub. Another reply follows.
    bool queued = false;
};

/// Reports that a request with this signature was in flight when a backend server
/// crashed.
struct crash_report
{
    std::uint64_t signature = 0;
    /// The server; empty if the instance reports that it refuses such requests.
    std::string backend;
};

/// Number of backend server crashes during which requests with this signature were in
/// flight.
struct crash_count
{
    std::uint64_t signature = 0;
    std::uint32_t crashes = 0;
};

/// Reports that an incarnation of a backend server has announced its shutdown.
struct leaving_server
{
    std::string backend;
    std::int64_t born_ms = 0;
};

/// Asks the hub for slots at a cold backend server.
struct cold_slot_request
{
    /// short_id() of the server.
    std::uint32_t short_server_id = 0;
    /// Requests that the instance would send to the server within a second.
    std::uint32_t wanted = 0;
};

/// The hub's reply to a cold_slot_request.
struct cold_slot_grant
{
    std::uint32_t short_server_id = 0;
    /// Replaces the number of slots that the instance had. Valid for a fixed time from
    /// when the instance sent its status.
    std::uint32_t slots = 0;
    /// Age of the newest row in the store, if it states that the server is warm; -1
    /// otherwise.
    std::int64_t warm_row_age_us = -1;
};

/// Message from an instance to the hub with the instance's state and its requests. A
/// receiver that is not the hub replies with what it knows about the configuration and
/// the hub.
struct node_status
{
    std::string node;
    /// Address at which other instances reach the sender.
    std::string address;
    std::uint64_t incarnation = 0;
    /// The sender's time; the reply returns it in echo_us.
    std::int64_t sent_at_us = 0;
    std::uint64_t config_version = 0;
    /// State of the sender's directory: the hub incarnation it came from and its
    /// revision.
    std::uint64_t directory_hub = 0;
    std::uint64_t directory_revision = 0;
    /// Digest of the sender's directory if the directory did not come from this hub.
    std::vector<std::uint64_t> directory_digest;
    /// The sender has no configuration, or has heard of a newer one.
    bool wants_config = false;
    /// False for a message that only requests quota; its other lists are empty.
    bool complete = true;
    std::vector<in_flight_count> in_flight;
    std::vector<demand_count> demand;
    std::vector<quota_request> quota_requests;
    std::vector<crash_report> crashes;
    /// Suspected signatures for which a backend server has answered a request.
    std::vector<std::uint64_t> cleared_signatures;
    /// Backend servers that announced their shutdown and that the sender's directory does
    /// not show as draining.
    std::vector<leaving_server> leaving;
    std::vector<cold_slot_request> cold_requests;
    /// Ids of quota requests that no longer wait. Also in an incomplete status. The id of
    /// a request in quota_requests states that its caller takes a stream up again, so
    /// that the message format stays as it was: a hub that does not know this finds no
    /// such request to cancel, since it cancels before it decides on new ones.
    std::vector<std::uint64_t> cancelled_quota_requests;
};

/// Requests from all instances at each backend server in the hub's directory. All
/// instances get the same counts. The server ids are omitted because they would take most
/// of the bytes.
struct fleet_loads
{
    /// Sum of id_hash() over the hub's directory. An instance whose directory has another
    /// sum contains other servers and ignores the counts.
    std::uint64_t directory_id_sum = 0;
    /// Request counts, sorted by server id.
    std::vector<std::uint32_t> requests;
};

/// Number of requests that all instances but the receiver have at a backend server.
struct other_instances_load
{
    /// short_id() of the backend server.
    std::uint32_t short_server_id = 0;
    std::uint32_t requests = 0;
};

struct model_estimate
{
    std::string service;
    std::string model;
    std::int64_t ready_in_us = 0;
};

struct unloading_model
{
    std::string backend;
    std::string model;
};

/// A part of a directory update: records to put and the ids of removed servers.
struct directory_part
{
    std::vector<backend_record> records;
    std::vector<std::string> removed;
};

/// Id in `cancelled_quota_requests` of no quota request. States that the sender of the
/// status reads what follows the former end of an update, so that the message format
/// stays as it was: a receiver that does not know this finds no such request to cancel.
inline constexpr std::uint64_t reads_store_state = 0;

/// What the sender of an update knows of the store's eras.
struct store_state
{
    /// The newest era; 0 if the store names none.
    std::uint64_t era = 0;
    /// The era in which the lease row was written that the update contains.
    std::uint64_t lease_era = 0;
};

/// Whether the sender of the status reads the state of the store in the update that
/// answers it.
[[nodiscard]] inline bool reads_state_of_store(node_status const& status)
{
    auto const& ids = status.cancelled_quota_requests;
    return std::find(ids.begin(), ids.end(), reads_store_state) != ids.end();
}

/// Message from the hub to an instance, sent in reply to a status or after a change. An
/// instance that is not the hub also replies with it to a status.
struct node_update
{
    /// False if the sender is not the hub. Only the fields up to config_row, except
    /// directory_age_us, and `evacuated` are set then.
    bool from_hub = true;
    /// sent_at_us of the status that this update replies to; 0 if it is not a reply.
    std::int64_t echo_us = 0;
    /// Age of the sender's own confirmation of the configuration at the time of the
    /// reply.
    std::int64_t confirmation_age_us = 0;
    std::uint64_t config_version = 0;
    /// Time since the hub last read the backend servers from the store.
    std::int64_t directory_age_us = 0;
    /// The lease row as the sender knows it, and the row's version; 0 if it knows none.
    /// The row is complete, since a holder that claims the lease again keeps its address
    /// and raises the fence.
    lease_row lease;
    std::uint64_t lease_version = 0;
    std::int64_t lease_remaining_us = 0;
    std::uint32_t instances = 1;
    /// The packed contents of the configuration row in the store, if the sender of the
    /// status lacks them, and the row's version.
    std::string packed_config;
    std::uint64_t config_row = 0;
    std::uint64_t directory_hub = 0;
    std::uint64_t directory_revision = 0;
    /// The revision that the changes are based on. Unused if is_resync is set.
    std::uint64_t directory_changes_after = 0;
    /// The update applies to any previous directory: the receiver replaces the buckets in
    /// replaced_buckets, keeps the others and then has this hub's directory.
    bool is_resync = false;
    /// Bit mask of the directory buckets that the records replace. Servers in these
    /// buckets that are not among the records are removed.
    std::uint64_t replaced_buckets = 0;
    /// The directory changes. Updates with the same changes share the parts, so that each
    /// part is built and encoded once.
    std::vector<std::shared_ptr<directory_part const>> directory;
    /// Whether the lists below are present, other than the quota replies and, in an
    /// update that is no reply, the crash counts and cleared signatures.
    bool complete = true;
    std::shared_ptr<fleet_loads const> loads;
    /// Replaces the counts in `loads` for the backend servers at which the receiver has
    /// requests, or had some according to its previous status.
    std::vector<other_instances_load> other_instances_loads;
    std::vector<model_estimate> estimates;
    std::vector<unloading_model> unloading_models;
    std::vector<quota_reply> quota;
    /// Organisations whose quota is nearly used up. One that requests more than its rate
    /// is listed twice, so that the message format stays as it was: instances that do not
    /// know the distinction ignore the repetition.
    std::vector<std::string> exhausted_organisations;
    std::vector<crash_count> crashes;
    /// Signatures that are no longer suspected of causing crashes.
    std::vector<std::uint64_t> cleared_signatures;
    /// Addresses of some of the other instances.
    std::vector<std::string> peers;
    /// The newest reading of the evacuated failure domains that the sender knows. Set in
    /// every update, also of a sender that is not the hub.
    evacuated_domains evacuated;
    /// Replies to the status's cold_requests; empty in an update that is no reply.
    std::vector<cold_slot_grant> cold_grants;
    /// The hub's time of sending, from which the age of grants is told; 0 in an update
    /// without quota replies.
    std::int64_t sent_at_us = 0;
    /// Only in an update for an instance that reads it.
    std::optional<store_state> store;
};

} // namespace carawayturn::entry
