#pragma once

#include "state/entry/backend_record.hpp"
#include "state/entry/lease_row.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Requests of one instance that a backend server works on.
struct in_flight_count
{
    std::string backend;
    /// MODEL or MODEL/ADAPTER; empty for plain services.
    std::string model;
    std::uint32_t count = 0;
};

/// Requests of one instance for one model since its start and at the moment.
struct demand_count
{
    std::string service;
    std::string model;
    std::uint64_t arrivals = 0;
    std::uint32_t waiting = 0;
};

/// Units of an organisation's quota that one request needs.
struct quota_request
{
    std::uint64_t quota_request_id = 0;
    std::string organisation;
    double units = 0;
    /// Wanted beyond the request, for the next ones.
    double extra_units = 0;
};

struct quota_reply
{
    std::uint64_t quota_request_id = 0;
    double units = 0;
    std::int64_t retry_after_us = 0;
};

/// Requests with this signature were in flight when a backend server crashed.
struct crash_report
{
    std::uint64_t signature = 0;
    std::string backend;
};

/// At how many crashes requests with this signature were in flight.
struct crash_count
{
    std::uint64_t signature = 0;
    std::uint32_t crashes = 0;
};

/// A backend server said that this incarnation of it leaves.
struct leaving_server
{
    std::string backend;
    std::int64_t born_ms = 0;
};

/// From an instance to the hub: its state, and what it needs. An instance that is not the
/// hub answers it with what it knows of the configuration and the hub.
struct node_status
{
    std::string node;
    /// Where other instances reach the sender.
    std::string address;
    std::uint64_t incarnation = 0;
    /// The sender's clock; returned with the reply.
    std::int64_t sent_at_us = 0;
    std::uint64_t config_version = 0;
    /// Directory state that the sender has: the hub's incarnation and revision.
    std::uint64_t directory_hub = 0;
    std::uint64_t directory_revision = 0;
    /// Digest of the sender's directory if it has none of this hub.
    std::vector<std::uint64_t> directory_digest;
    /// The sender has no configuration, or heard of a newer one.
    bool wants_config = false;
    /// False for a message that only asks for quota; its other lists are empty.
    bool complete = true;
    std::vector<in_flight_count> in_flight;
    std::vector<demand_count> demand;
    std::vector<quota_request> quota_requests;
    std::vector<crash_report> crashes;
    /// Signatures under suspicion of which a request was answered.
    std::vector<std::uint64_t> cleared_signatures;
    /// Servers that said that they leave and that the sender's directory shows as
    /// staying.
    std::vector<leaving_server> leaving;
};

/// Requests of all instances at each server of the hub's directory. The same for all
/// instances, and a count has no id beside it, since it would be most of the bytes.
struct fleet_loads
{
    /// Sum of id_hash() over the directory; an instance with other servers can't use the
    /// counts.
    std::uint64_t directory_id_sum = 0;
    /// In the order of the servers' ids.
    std::vector<std::uint32_t> requests;
};

/// Requests that all other instances have at a backend server.
struct other_instances_load
{
    /// short_id() of the server.
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

/// Records of the hub's directory and the ids of servers that are gone from it.
struct directory_part
{
    std::vector<backend_record> records;
    std::vector<std::string> removed;
};

/// From the hub to an instance, in reply to a status or because something changed; or
/// from another instance that was asked in the hub's place.
struct node_update
{
    /// False if the sender is not the hub; then only the fields up to `instances` and the
    /// configuration are meant.
    bool from_hub = true;
    /// sent_at_us of the status that is answered; 0 for none.
    std::int64_t echo_us = 0;
    /// Age of the hub's own confirmation of the configuration when it replied.
    std::int64_t confirmation_age_us = 0;
    std::uint64_t config_version = 0;
    /// Time since the hub last read the backend servers from the store.
    std::int64_t directory_age_us = 0;
    /// The lease row as the sender knows it, and its version; 0 for none. The whole row:
    /// a holder that claims again keeps its address and raises the fence.
    lease_row lease;
    std::uint64_t lease_version = 0;
    std::int64_t lease_remaining_us = 0;
    std::uint32_t instances = 1;
    /// The configuration as the store holds it, packed, if the sender of the status lacks
    /// it, and its row's version.
    std::string packed_config;
    std::uint64_t config_row = 0;
    std::uint64_t directory_hub = 0;
    std::uint64_t directory_revision = 0;
    /// The revision after which the changes come, unless the update brings in step.
    std::uint64_t directory_changes_after = 0;
    /// The instance has this hub's directory after this update, whatever it had before:
    /// it replaces the parts below and keeps the others.
    bool is_resync = false;
    /// Bits of the parts of the directory that the records replace; servers of these
    /// parts that are not among the records are gone.
    std::uint64_t replaced_buckets = 0;
    /// What the update tells of the directory. Updates that tell the same share the
    /// parts, so that each is made and encoded once.
    std::vector<std::shared_ptr<directory_part const>> directory;
    /// Whether the following lists are present.
    bool complete = true;
    std::shared_ptr<fleet_loads const> loads;
    /// For the servers at which the receiver itself has requests, or had by its former
    /// status: what the others have there, in place of the count in `loads`.
    std::vector<other_instances_load> other_instances_loads;
    std::vector<model_estimate> estimates;
    std::vector<unloading_model> unloading_models;
    std::vector<quota_reply> quota;
    /// Organisations that have little left of their quota.
    std::vector<std::string> exhausted_organisations;
    std::vector<crash_count> crashes;
    /// Signatures that are no longer under suspicion.
    std::vector<std::uint64_t> cleared_signatures;
    /// Addresses of some other instances.
    std::vector<std::string> peers;
};

} // namespace carawayturn::entry
