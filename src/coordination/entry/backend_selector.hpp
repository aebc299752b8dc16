#pragma once

#include "coordination/entry/server_availability.hpp"
#include "state/entry/backend_record.hpp"
#include "state/entry/node_message.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// A model, or an adapter of one as MODEL/ADAPTER.
struct model_key
{
    std::string model;
    std::string adapter;

    [[nodiscard]] static model_key parse(std::string_view text);
    [[nodiscard]] std::string str() const;
    friend auto operator<=>(model_key const&, model_key const&) = default;
};

/// What is known of the load of one backend server.
struct backend_load
{
    /// Requests of this instance that it has not answered to the end.
    std::uint32_t own = 0;
    /// Requests of all other instances, as the hub told last.
    std::uint32_t others = 0;
    /// Running and waiting requests that the server told with an answer.
    std::uint32_t reported = 0;
    time_point reported_at{};
    /// Grows with each failure and decays.
    double failures = 0;
    time_point failures_at{};
};

/// What a request needs of a backend server.
struct backend_requirements
{
    std::string_view service;
    /// Empty for plain services.
    model_key model;
    /// Identifies the prompt parts that requests share; requests with the same value
    /// prefer the same runner.
    std::uint64_t affinity = 0;
    /// Servers that this request was sent to already.
    std::set<std::string> excluded;
};

enum class choice_outcome
{
    chosen,
    /// No live server of the service is known.
    no_backend,
    /// No server holds the model.
    model_absent,
    /// The model is held, its adapter is not.
    adapter_absent,
    /// Every server that could take it has more waiting than it should.
    full,
    /// Every server that could take it wants nothing for a time.
    paused
};

struct backend_choice
{
    choice_outcome outcome = choice_outcome::no_backend;
    backend_record const* backend = nullptr;
    /// Load of the chosen server in parts of its slots.
    double load = 0;
    /// When the first of the paused servers takes requests again, if all are paused.
    time_point pause_ends_at{};
};

/// The backend servers, their load as seen from this instance, and the choice among them.
class backend_selector
{
public:
    explicit backend_selector(std::string own_failure_domain, std::uint64_t seed);

    /// Puts or replaces a record. A new incarnation starts without load and failures.
    void put(backend_record record);
    void remove(std::string const& id);

    [[nodiscard]] backend_record const* find(std::string const& id) const;
    [[nodiscard]] std::map<std::string, backend_record> const& all() const
    {
        return records_;
    }

    /// Chooses a server for one more request.
    [[nodiscard]] backend_choice choose(backend_requirements const& requirements,
                                        time_point now);

    void note_sent(std::string const& id);
    void note_finished(std::string const& id);
    void note_failure(std::string const& id, time_point now);
    void note_success(std::string const& id, time_point now);
    void set_reported_load(std::string const& id, std::uint32_t requests, time_point now);
    void set_other_requests(std::string const& id, std::uint32_t requests);
    /// The same for all servers. If the counts are for other servers than this board has,
    /// only the own requests count.
    void set_other_requests(fleet_loads const* loads);

    /// Requests for this model are not sent to the server until then: its runner denied
    /// that it holds the model, or the hub is about to unload it.
    void avoid_model(std::string const& id, std::string const& key, time_point until);
    /// The server is not chosen until then, because it is another one at this address.
    void avoid(std::string const& id, time_point until);

    [[nodiscard]] backend_load const& load(std::string const& id);

    /// Notes that a server said that this incarnation of it leaves. Returns whether that
    /// is new.
    bool note_leaving(std::string const& id, std::int64_t born_ms);
    /// Notes that a server wants nothing for so long.
    void note_pause(std::string const& id, std::int64_t born_ms, duration pause,
                    time_point now);
    /// Notes that a server answered a request without turning it away.
    void note_answered(std::string const& id) { availability_.note_answered(id); }
    /// Notes a word of a server that cannot be understood. Returns whether it is the
    /// first.
    bool note_malformed_header(std::string const& id)
    {
        return availability_.note_malformed_header(id);
    }
    /// Whether what was chosen for this server may still be sent to it.
    [[nodiscard]] bool may_send(backend_record const& record, time_point now) const;
    /// Servers that said that they leave and whose records do not say so.
    [[nodiscard]] std::vector<leaving_server> unreported_leaving() const;

private:
    struct candidate
    {
        backend_record const* record = nullptr;
        double score = 0;
        double load = 0;
    };
    [[nodiscard]] double load_of(backend_record const& record, backend_load const& load,
                                 time_point now) const;
    [[nodiscard]] double jitter();
    [[nodiscard]] bool is_avoided(std::string const& id, std::string const& key,
                                  time_point now);

    std::string own_domain_;
    std::uint64_t random_state_;
    std::map<std::string, backend_record> records_;
    /// Sum of id_hash() over the records.
    std::uint64_t id_hash_sum_ = 0;
    std::map<std::string, backend_load> loads_;
    server_availability availability_;
    std::map<std::string, time_point> avoided_;
    std::map<std::pair<std::string, std::string>, time_point> avoided_models_;
};

} // namespace carawayturn::entry
