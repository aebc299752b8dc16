#pragma once

#include "coordination/entry/cold_bound.hpp"
#include "state/entry/backend_record.hpp"
#include "state/entry/node_message.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace carawayturn::entry
{

/// Decides which servers are cold, from their rows in the store, and which instance may
/// send to them. Handles the load pattern "a server has just started, sustains a few
/// requests a second, and hundreds of instances find it idle at the same time".
///
/// Each cold server has as many slots as requests may arrive there within any second. An
/// instance may send one request a second for each of its slots. A slot goes to another
/// instance only when its validity and cold_slot_spacing have passed, so that no two
/// instances use it within a second.
class cold_slots
{
public:
    /// Sets the limits for cold servers.
    void set_terms(std::shared_ptr<serving_config const> config,
                   service_bounds const& bounds)
    {
        bound_.set(std::move(config), bounds);
    }

    /// Takes back all slots, because this instance becomes the hub. Unless there was no
    /// hub before, grants none until the former hub's slots have ended.
    void start(bool first_holder, time_point now);

    /// Processes a row of a server and returns the value of its record's cold_for_s.
    /// @param newly_started whether a server that was unknown so far has just started;
    /// false
    ///     while the rows are read for the first time.
    std::uint32_t put(backend_record const& record, bool newly_started, time_point now);
    void remove(std::string const& id);
    /// Records that a server is cold until `until` as far as this instance knew before it
    /// became the hub.
    void inherit(backend_record const& record, time_point until);
    /// Records that the evacuation of a failure domain has ended. Its servers are cold
    /// until rows that are written later say otherwise.
    void note_evacuation_ended(std::string const& domain, time_point now);

    /// Returns the servers whose cold_for_s has changed without a row since the last
    /// call. Must be called regularly.
    [[nodiscard]] std::vector<std::string> take_changed(time_point now);
    [[nodiscard]] std::uint32_t cold_for_s(std::string const& id) const;

    /// Grants slots to the sender of a complete status.
    /// @param instances number of instances in the fleet.
    [[nodiscard]] std::vector<cold_slot_grant>
    answer(node_status const& status, std::size_t instances, time_point now);

private:
    /// Name and incarnation of an instance. A process that has restarted does not know
    /// what it sent before.
    using owner = std::pair<std::string, std::uint64_t>;
    struct holding
    {
        std::uint32_t slots = 0;
        time_point valid_until{};
        std::uint32_t wanted = 0;
        /// When the instance last asked for more slots than it had.
        time_point lacked_at{};
    };
    struct server
    {
        std::string id;
        std::string service;
        std::string domain;
        std::int64_t born_ms = 0;
        time_point cold_since{};
        time_point cold_until{};
        /// Rows that are read before this time may be older than the last event that made
        /// the server cold.
        time_point rows_count_from{};
        /// When the newest row with a cold time was read; zero if none was.
        time_point row_at{};
        std::uint32_t flag = 0;
        time_point flagged_until{};
        bool changed = false;
        bool removed = false;
        std::map<owner, holding> holdings;
        /// Slots that were taken back, and when they can be granted again.
        std::vector<std::pair<time_point, std::uint32_t>> returning;
    };
    static void describe(server& target, backend_record const& record);
    static void make_cold(server& target, time_point until, time_point now);
    static void update_flag(server& target, time_point now);
    static void take_back_expired(server& target, time_point now);
    [[nodiscard]] static std::uint32_t free_slots(server const& target,
                                                  std::uint32_t slots);
    [[nodiscard]] static std::uint32_t
    target_slots(server const& target, owner const& asker, std::uint32_t slots,
                 std::size_t instances, time_point now);
    [[nodiscard]] std::uint32_t grant(server& target, owner const& asker,
                                      std::uint32_t wanted, std::size_t instances,
                                      time_point now) const;

    cold_bound bound_;
    /// By short id. Servers that share one also share the slots.
    std::map<std::uint32_t, server> servers_;
    time_point grants_from_{};
};

} // namespace carawayturn::entry
