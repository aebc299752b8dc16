#pragma once

#include "coordination/component.hpp"
#include "state/peer_message.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace carawayturn
{

/// Periods of the slot lease. Both sides count in their own monotonic time.
struct lease_timing
{
    duration renew_every = std::chrono::seconds(2);
    duration time_to_live = std::chrono::seconds(6);
    /// Part of time_to_live by which a holder stops early and a claimant waits longer,
    /// for drift between the two clocks.
    double drift_margin = 0.1;
};

/// A claim of a lease of this instance, to be checked in the same transaction as a write
/// that needs it.
struct held_slot
{
    slot_number slot = 0;
    fencing_number fence = 0;
    row_check row;
};

/// Holds this instance's slot lease, keeps the gossip of all members, and answers who may
/// act.
///
/// An instance may serve callers when its lease is valid, or, while the table service is
/// down for the fleet, when a majority of slots reports the same (docs/design.md, section
/// 5). The component renews and claims slots, sends and merges gossip, and tells which
/// instances are proven stopped.
class serving_authority : public component
{
public:
    /// What the component needs to know of the configuration in force; set by config_log.
    struct config_view
    {
        config_version version = 0;
        std::uint32_t instance_slots = 0;
    };

    [[nodiscard]] static std::unique_ptr<serving_authority>
    create(instance_identity identity, lease_timing timing);

    /// Tells the configuration in force, for gossip and the number of slots. Lower
    /// versions than before are ignored.
    virtual void set_config(config_view view) = 0;

    /// A peer confirmed that `newest` was the newest version at the time `asked` or
    /// later. The table's answers are taken from events instead.
    virtual void confirm_config(time_point asked, config_version newest);

    /// When the question was sent whose answer last confirmed the version in force; empty
    /// if it was never confirmed.
    [[nodiscard]] virtual std::optional<time_point> config_confirmed() const;

    /// Whether callers may be served now, by rule (a) or (b).
    [[nodiscard]] virtual bool may_serve(time_point now) const = 0;

    /// Whether the slot lease is valid now, by the holder's cautious count. Needed for
    /// orders and ownership.
    [[nodiscard]] virtual bool lease_valid(time_point now) const = 0;

    /// Time left on the lease; zero when it has lapsed.
    [[nodiscard]] virtual duration lease_left(time_point now) const = 0;

    /// The slot held, if any, even when its lease has lapsed.
    [[nodiscard]] virtual std::optional<held_slot> slot() const = 0;

    /// Whether the base shares of the slot may be used now: the slot is held and
    /// may_serve().
    [[nodiscard]] virtual bool owns_base_share(time_point now) const = 0;

    /// Live members as this instance sees them, itself included, ordered by id.
    [[nodiscard]] virtual std::vector<member_entry>
    live_members(time_point now) const = 0;

    /// Whether the holder of the slot at that fencing number is proven to have stopped:
    /// its lease lapsed while a majority of slots had store contact (two majorities
    /// intersect).
    [[nodiscard]] virtual bool proven_stopped(time_point now, slot_number slot,
                                              fencing_number fence) const = 0;

    /// Slot holders that are neither proven stopped nor confirmed at the version or
    /// above.
    [[nodiscard]] virtual std::vector<instance_id>
    unconfirmed(time_point now, config_version version) const = 0;

    /// Whether the table service answered this instance within the lease's time to live.
    [[nodiscard]] virtual bool has_store_contact(time_point now) const = 0;

    /// Sets the state that gossip announces. `left` releases the slot.
    virtual void set_state(time_point now, instance_state state, actions& out) = 0;
};

} // namespace carawayturn
