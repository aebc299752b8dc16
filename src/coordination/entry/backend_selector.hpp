#pragma once

#include "coordination/entry/cold_servers.hpp"
#include "coordination/entry/evacuations.hpp"
#include "coordination/entry/server_availability.hpp"
#include "coordination/entry/server_pace.hpp"
#include "state/entry/backend_record.hpp"
#include "state/entry/node_message.hpp"
#include "state/entry/node_settings.hpp"
#include "state/entry/server_load.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// Identifies a model, or an adapter of it. The text form is MODEL or MODEL/ADAPTER.
struct model_key
{
    std::string model;
    std::string adapter;

    [[nodiscard]] static model_key parse(std::string_view text);
    [[nodiscard]] std::string str() const;
    friend auto operator<=>(model_key const&, model_key const&) = default;
};

/// The load of one backend server as this instance knows it.
struct backend_load
{
    /// Requests that this instance sent to the server and whose answers are not complete.
    std::uint32_t own = 0;
    /// Requests of all other instances, from the hub's latest update.
    std::uint32_t others = 0;
    /// The hub's latest update had that count.
    bool others_known = false;
    /// Running and waiting requests that the server reported with an answer.
    std::uint32_t reported = 0;
    time_point reported_at{};
    /// Requests of this instance at the server when it reported its load; nothing if it
    /// did not report its pace with it.
    std::optional<std::uint32_t> own_at_report;
    server_pace pace;
    /// Failure count: grows by one with each failure and decays over time.
    double failures = 0;
    time_point failures_at{};
};

/// What a request requires of the backend server that it is sent to.
struct backend_requirements
{
    std::string_view service;
    /// Empty for services that have no models.
    model_key model;
    /// Hash of the prompt parts that several requests share; requests with the same value
    /// prefer the same runner. Zero for no preference.
    std::uint64_t affinity = 0;
    /// Servers that the request was already sent to.
    std::set<std::string> excluded;
    /// Load from which on a server of a service with an admission queue is full.
    double queue_limit = 2;
    /// Software version that the server must have; empty if any will do.
    std::string_view version = {};
};

enum class choice_outcome
{
    chosen,
    /// No server of the service is known, or all of them are leaving or evacuated.
    no_backend,
    /// No server of the required software version can take the request, now or soon.
    version_absent,
    /// No server of the service holds the model.
    model_absent,
    /// A server holds the model, but none holds the adapter.
    adapter_absent,
    /// The best server has too many requests, or servers that hold the model are excluded
    /// or avoided.
    full,
    /// Every suitable server has paused this instance, limits it after a pause, or is
    /// cold and this instance has no slot for it.
    paused
};

struct backend_choice
{
    choice_outcome outcome = choice_outcome::no_backend;
    backend_record const* backend = nullptr;
    /// Requests at the chosen server, divided by its slots.
    double load = 0;
    /// When the first pause of a suitable server ends or a slot of one is expected. Set
    /// for the outcome `paused`.
    time_point pause_ends_at{};
    /// Whether a suitable server is cold and this instance has no slot for it. Set for
    /// the outcome `paused`.
    bool lacks_slot = false;
    /// The service's servers report their pace, so its requests can wait at the instance.
    bool has_queue = false;
    /// The request waits for room at a server.
    bool queued = false;
    /// Sum of the slots of the servers that may get a request now, each divided by the
    /// server's pace.
    double capacity = 0;
    /// Pace of the chosen server.
    double pace = 1;
};

/// Keeps the records of the backend servers and their load as seen from this instance,
/// and selects the server for each request.
class backend_selector
{
public:
    explicit backend_selector(std::string own_failure_domain, std::uint64_t seed);

    /// Adds or replaces the record of a server. A new incarnation starts without reported
    /// load and failures.
    void put(backend_record record);
    void remove(std::string const& id);

    [[nodiscard]] backend_record const* find(std::string const& id) const;
    [[nodiscard]] std::map<std::string, backend_record> const& all() const
    {
        return records_;
    }

    /// Selects a server for one more request. The outcome `full` may come with a server,
    /// the least loaded one.
    [[nodiscard]] backend_choice choose(backend_requirements const& requirements,
                                        time_point now);

    void note_sent(std::string const& id);
    void note_finished(std::string const& id);
    /// Returns whether the server's entry or the server itself has said that it is
    /// leaving, or the entry was removed.
    [[nodiscard]] bool is_leaving(std::string const& id) const;
    void note_failure(std::string const& id, time_point now);
    void note_success(std::string const& id, time_point now);
    void set_reported_load(std::string const& id, server_load const& reported,
                           time_point now);
    void set_other_requests(std::string const& id, std::uint32_t requests);
    /// Sets the other instances' requests at all servers. If the counts are for a
    /// different set of servers, only this instance's own requests count.
    void set_other_requests(fleet_loads const* loads);

    /// Sends no requests for this model to the server until `until`, because its runner
    /// denied that it holds the model or the hub is about to unload it.
    void avoid_model(std::string const& id, std::string const& key, time_point until);
    /// Does not select the server until `until`, because a different server answered at
    /// its address.
    void avoid(std::string const& id, time_point until);

    [[nodiscard]] backend_load const& load(std::string const& id);
    /// Returns the requests at all servers of the service that are neither leaving nor
    /// evacuated, divided by their slots; 1 if there is none.
    [[nodiscard]] double used_slots(std::string_view service, time_point now);
    /// Returns all requests at a server, as far as this instance knows.
    [[nodiscard]] double requests_at(std::string const& id, time_point now);

    /// Records that this incarnation of a server announced that it is leaving. Returns
    /// whether that is new.
    bool note_leaving(std::string const& id, std::int64_t born_ms);
    /// Records that a server asked this instance to send no requests for the duration
    /// `pause`.
    void note_pause(std::string const& id, std::int64_t born_ms, duration pause,
                    time_point now);
    /// Records that a server answered a request without rejecting it.
    void note_answered(std::string const& id) { availability_.note_answered(id); }
    /// Records that a notice about the server's availability cannot be parsed. Returns
    /// whether it is the first one from this server.
    bool note_malformed_header(std::string const& id)
    {
        return availability_.note_malformed_header(id);
    }
    /// The failure domains that are evacuated. Their servers are not selected.
    [[nodiscard]] evacuations& evacuated() { return evacuations_; }
    [[nodiscard]] evacuations const& evacuated() const { return evacuations_; }
    /// Returns whether the server is known and its failure domain is evacuated.
    [[nodiscard]] bool is_evacuated(std::string const& id) const;
    /// Returns whether a request may still be sent to the selected server, which may have
    /// announced a pause or that it is leaving, or may have been evacuated, since the
    /// selection. False also if that is unknown after a pause of this process.
    [[nodiscard]] bool may_send(backend_record const& record, time_point now) const;
    /// Servers that announced that they are leaving while their records do not show it;
    /// the hub has to be told of them.
    [[nodiscard]] std::vector<leaving_server> unreported_leaving() const;

    /// What this instance knows of cold servers.
    [[nodiscard]] cold_servers& cold() { return cold_; }
    [[nodiscard]] cold_servers const& cold() const { return cold_; }
    /// Records that the evacuation of a failure domain has ended, after which its servers
    /// may be cold.
    void note_evacuation_ended(std::string const& domain, time_point now);

private:
    struct candidate
    {
        backend_record const* record = nullptr;
        double score = 0;
        double load = 0;
        bool full = false;
        double pace = 1;
    };
    [[nodiscard]] static double requests_at(backend_load const& load, time_point now);
    /// Whether neither the hub nor the server told of others' requests of late, and this
    /// instance has as many there as it sends in that case.
    [[nodiscard]] static bool is_probed(backend_load const& load, double slots,
                                        time_point now);
    [[nodiscard]] double jitter();
    [[nodiscard]] bool is_avoided(std::string const& id, std::string const& key,
                                  time_point now);

    std::string own_domain_;
    std::uint64_t random_state_;
    std::map<std::string, backend_record> records_;
    /// Sum of id_hash() over the ids of all records.
    std::uint64_t id_hash_sum_ = 0;
    std::map<std::string, backend_load> loads_;
    paced_services paced_;
    server_availability availability_;
    evacuations evacuations_{service_bounds().evacuation};
    cold_servers cold_;
    std::map<std::string, time_point> avoided_;
    std::map<std::pair<std::string, std::string>, time_point> avoided_models_;
};

} // namespace carawayturn::entry
