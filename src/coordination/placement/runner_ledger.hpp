#pragma once

#include "coordination/placement/demand_book.hpp"
#include "coordination/placement/rows.hpp"
#include "coordination/placement/runner_directory.hpp"
#include "state/table.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carawayturn::placement
{

/// Copies of one order that this owner emitted.
struct order_copies
{
    /// Emitted, and no answer event yet.
    std::uint32_t in_flight = 0;
    /// The answer was lost: the copy may still take effect.
    std::uint32_t lost = 0;
    /// Highest fencing number of a lost copy.
    fencing_number lost_fence = 0;
    std::uint32_t sent = 0;
    time_point last_sent{};

    [[nodiscard]] bool open() const { return in_flight + lost > 0; }
};

/// A reservation with what this owner knows of its orders.
struct held_item
{
    reservation what;
    order_copies load;
    order_copies unload;
    /// The load may read the checkpoint from the weight store. It does not if the runner
    /// reported the checkpoint as cached when the load was decided.
    bool from_store = true;
    /// Found in the row at the change of owner: copies of the former owner's order may
    /// still arrive.
    bool inherited = false;
    /// Phase in which it was found; meaningful if inherited.
    reservation_phase inherited_phase = reservation_phase::loading;
    /// When the needed order may be sent next, and the delay before the one after.
    time_point next_send{};
    duration delay{0};
    time_point decided_at{};
    time_point first_sent{};
    /// Latest change to phase loaded.
    time_point loaded_at{};
    /// The engine answered no_memory, and no later report has explained it yet.
    bool refused = false;
    /// Loaded by the row but not by the reports since then.
    std::optional<time_point> missing_since;

    [[nodiscard]] bool is_model() const { return what.item.adapter.empty(); }
    /// Whether the load occupies a weight-store slot.
    [[nodiscard]] bool uses_store() const { return is_model() && from_store; }
    [[nodiscard]] bool in(reservation_phase phase) const { return what.phase == phase; }
    /// The decision whose order is needed now.
    [[nodiscard]] decision_id const& needed() const
    {
        return in(reservation_phase::unloading) ? what.unload : what.load;
    }
};

/// One runner's reservations: as durable in its row, and as wanted after the next commit.
///
/// The ledger frees memory in two cases only: an acknowledged unload, and a new
/// incarnation of the runner.
class runner_ledger
{
public:
    runner_ledger(backend_id id, pool_id pool, fencing_number owner_fence);

    /// Takes the row over from a former owner.
    void inherit(row_version version, runner_row const& row);

    [[nodiscard]] backend_id const& id() const { return id_; }
    [[nodiscard]] incarnation_number incarnation() const { return incarnation_; }
    [[nodiscard]] std::vector<held_item>& items() { return items_; }
    [[nodiscard]] std::vector<held_item> const& items() const { return items_; }
    [[nodiscard]] held_item* find(decision_id const& decision);
    [[nodiscard]] held_item const* find(decision_id const& decision) const;
    [[nodiscard]] held_item const* find(loaded_item const& item) const;

    // Durable state.

    /// What the row has to contain; empty if it has to be absent.
    [[nodiscard]] std::optional<runner_row> wanted() const;
    [[nodiscard]] std::optional<runner_row> const& durable() const { return durable_; }
    [[nodiscard]] row_version version() const { return version_; }
    [[nodiscard]] bool dirty() const;
    /// Writes the row even if it is unchanged, to make an earlier commit that may still
    /// arrive fail.
    void require_write() { write_required_ = true; }
    void note_durable(row_version version, std::optional<runner_row> row);
    /// Drops decisions that are not durable; none of their orders can have left.
    void drop_undurable();
    /// Whether the decision is durable in the phase that needs its order.
    [[nodiscard]] bool durably_needed(held_item const& item) const;

    // Incarnations and memory.

    /// Takes notice of an incarnation that the runner itself showed. A newer one frees
    /// all reservations but those whose load may have reached it. Returns whether it is
    /// newer.
    bool note_incarnation(time_point now, incarnation_number seen, duration settle_time);
    void note_capacity(byte_count capacity) { capacity_ = capacity; }
    [[nodiscard]] byte_count capacity() const { return capacity_; }
    [[nodiscard]] byte_count reserved() const;
    /// Removes an item whose unload the engine acknowledged. Reports lag, so one that
    /// still shows the item is no sign of unknown memory until `until`.
    void free_item(decision_id const& unload, time_point until);
    /// Drops what is no longer needed of the items freed lately.
    void forget_freed(time_point now, backend_report const& report);
    /// Whether a lost copy of an unload order for the item may still arrive, at an engine
    /// that would execute it together with an order of the given fencing number.
    [[nodiscard]] bool unload_may_arrive(time_point now, loaded_item const& item,
                                         backend_report const& report,
                                         fencing_number fence) const;
    /// Items of the report that no reservation explains and that were there at least
    /// since `lag` ago.
    [[nodiscard]] std::vector<loaded_item>
    note_unknown_items(time_point now, backend_report const& report, duration lag);
    /// Memory that may be reserved: the capacity less reservations and less memory that
    /// the report shows and no reservation explains.
    [[nodiscard]] byte_count free(backend_report const& report) const;
    [[nodiscard]] byte_count unexplained(backend_report const& report) const;

    // Trust after a change of owner.

    /// Whether the engine has answered an order of this owner, so that it refuses the
    /// former owner's if it checks fencing numbers.
    [[nodiscard]] bool fence_seen() const { return fence_seen_; }
    void note_fence_seen() { fence_seen_ = true; }
    /// Whether new decisions may be made for this runner.
    [[nodiscard]] bool decidable(backend_report const& report) const;

    /// Order that only tells the engine the owner's fencing number.
    struct fence_order
    {
        std::uint32_t in_flight = 0;
        time_point next_send{};
        duration delay{0};
    };
    [[nodiscard]] decision_id fence_decision() const;
    /// Fencing number with which the present owner took the runner over.
    [[nodiscard]] fencing_number owner_fence() const { return owner_fence_; }
    fence_order& fence() { return fence_; }
    [[nodiscard]] fence_order const& fence() const { return fence_; }
    [[nodiscard]] bool needs_fence(backend_report const& report) const;

    void remove_row() { removed_ = true; }
    [[nodiscard]] bool removed() const { return removed_; }
    /// The row cannot be read or belongs to another pool; the runner is left alone.
    void set_unreadable() { unreadable_ = true; }
    [[nodiscard]] bool unreadable() const { return unreadable_; }

private:
    backend_id id_;
    pool_id pool_;
    fencing_number owner_fence_;
    incarnation_number incarnation_ = 0;
    byte_count capacity_ = 0;
    struct dated_item
    {
        loaded_item item;
        time_point time;
    };
    [[nodiscard]] bool freed_lately(loaded_item const& item) const;

    std::vector<held_item> items_;
    std::vector<dated_item> freed_;
    struct late_unload
    {
        loaded_item item;
        fencing_number fence = 0;
        time_point until{};
    };
    std::vector<late_unload> late_unloads_;
    std::vector<dated_item> unknown_;
    row_version version_ = 0;
    std::optional<runner_row> durable_;
    fence_order fence_;
    bool inherited_ = false;
    bool fence_seen_ = false;
    bool write_required_ = false;
    bool removed_ = false;
    bool unreadable_ = false;
};

} // namespace carawayturn::placement
