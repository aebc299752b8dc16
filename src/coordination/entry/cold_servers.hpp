#pragma once

#include "coordination/entry/cold_bound.hpp"
#include "state/entry/backend_record.hpp"
#include "state/entry/node_message.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// From where this instance knows whether a server is cold.
enum class cold_source : std::uint8_t
{
    /// The hub, or the server's row if this instance reads the store itself.
    directory,
    /// A header of the server's answer.
    answer,
    /// A connection that broke or was refused.
    connection,
    evacuation
};

[[nodiscard]] std::string_view name_of(cold_source source);

/// Whether a request may be sent to a server now.
enum class cold_decision : std::uint8_t
{
    /// The server is not cold, or its service has no limit.
    warm,
    /// The server is cold, and a slot was used.
    slot_used,
    no_slot
};

/// A server that became cold or warm at this instance.
struct cold_change
{
    std::string server;
    bool cold = false;
    cold_source source = cold_source::directory;
    /// How long the server is still cold as far as is known.
    duration left{};
};

/// Decides whether this instance may send a request to a server that is cold, and how
/// much less a server is preferred that was cold until a moment ago. Handles the load
/// patterns "a server has just started and every instance finds it idle" and "the cold
/// time of many servers ends at once".
///
/// An instance with n valid slots for a server sends if it has sent fewer than n requests
/// there within cold_slot_spacing. Sends are counted over all incarnations of the server.
class cold_servers
{
public:
    explicit cold_servers(std::uint64_t seed) : seed_(seed) {}

    void set_terms(std::shared_ptr<serving_config const> config,
                   service_bounds const& bounds)
    {
        bound_.set(std::move(config), bounds);
    }

    /// Processes a record from the hub, or from a row with the hub's mark.
    void put(backend_record const& record, time_point now);
    void remove(std::string const& id, time_point now);
    /// Records the remaining cold time that the server stated with an answer.
    void note_cold_left(backend_record const& record, duration left, time_point now);
    /// Records that a connection to the server broke or was refused.
    void note_broken(backend_record const& record, time_point now);
    /// Records that the evacuation of the server's failure domain has ended.
    void note_evacuation_ended(backend_record const& record, time_point now);

    /// Applies the hub's grants.
    /// @param sent_at when this instance sent the status that they answer.
    void apply(std::vector<cold_slot_grant> const& grants, time_point sent_at,
               time_point now);
    /// Returns the requests for the next status: servers at which requests used a slot or
    /// lacked one a short while ago.
    [[nodiscard]] std::vector<cold_slot_request> take_requests(time_point now);

    /// Returns whether the server is cold and has a limit.
    [[nodiscard]] bool is_cold(backend_record const& record, time_point now) const;
    /// Returns when a request may be sent to the server, as far as is known; `now` if it
    /// may be sent now.
    [[nodiscard]] time_point usable_at(backend_record const& record,
                                       time_point now) const;
    /// Records that a request is about to be sent to the server, and looks for a
    /// connection. Until release(), usable_at() leaves a slot for it, so that the
    /// requests that wait do not all open connections for the same slot. Returns whether
    /// the server is cold; otherwise release() must not be called.
    [[nodiscard]] bool reserve(std::string const& id);
    void release(std::string const& id);
    /// Decides whether a request may be sent to the server now, and counts it if so. Must
    /// be called immediately before the request is written.
    [[nodiscard]] cold_decision spend(backend_record const& record, time_point now);
    /// Records that a request would have been sent to the server if there were a slot.
    void note_wanted(std::string const& id, time_point now);
    /// Returns what is added to the server's score after its cold time, as a multiple of
    /// its slots.
    [[nodiscard]] double penalty(backend_record const& record, time_point now) const;
    /// Until when the server is cold as far as is known.
    [[nodiscard]] time_point cold_until(std::string const& id) const;

    /// Returns the servers that became cold or warm since the last call. Must be called
    /// regularly.
    [[nodiscard]] std::vector<cold_change> take_changes(time_point now);
    [[nodiscard]] std::size_t cold_count() const { return cold_count_; }
    /// Number of slots that this instance holds.
    [[nodiscard]] std::uint64_t slots_held(time_point now) const;

private:
    struct state
    {
        std::int64_t born_ms = 0;
        /// By the record's mark.
        time_point told_until{};
        std::uint32_t flag = 0;
        /// By what this instance noticed itself, and since when.
        time_point noticed_until{};
        time_point noticed_at{};
        cold_source source = cold_source::directory;
        std::uint32_t slots = 0;
        time_point slots_until{};
        /// When the status was sent whose answer was applied last.
        time_point answered_status{};
        std::deque<time_point> sends;
        time_point lacked_at{};
        std::uint32_t reserved = 0;
        /// Last send after the cold time.
        time_point warm_send{};
        bool shown_cold = false;

        [[nodiscard]] time_point cold_until() const
        {
            return std::max(told_until, noticed_until);
        }
    };
    void notice(backend_record const& record, cold_source source, duration left,
                time_point now);
    [[nodiscard]] static std::size_t sends_since(state const& known, time_point since);
    [[nodiscard]] state const* find(std::string const& id) const;
    /// Returns the state of the server if it is cold and has a limit, or null.
    [[nodiscard]] state const* find_cold(backend_record const& record,
                                         time_point now) const;
    [[nodiscard]] double random_part(std::string const& id, std::uint64_t salt) const;

    std::uint64_t seed_;
    cold_bound bound_;
    /// Servers that are cold, were cold a short while ago, or to which this instance sent
    /// while they were cold.
    std::map<std::string, state> states_;
    std::size_t cold_count_ = 0;
};

} // namespace carawayturn::entry
