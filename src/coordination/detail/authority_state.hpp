#pragma once

#include "coordination/detail/gossip_sender.hpp"
#include "coordination/detail/member_table.hpp"
#include "coordination/detail/slot_lease.hpp"
#include "coordination/serving_authority.hpp"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace carawayturn::detail
{

inline constexpr duration slot_read_every = std::chrono::seconds(1);
/// Slot rows in one periodic read. More are read while no slot is held or a submission
/// waits for acceptance.
inline constexpr std::size_t slots_read = 64;
inline constexpr std::size_t slots_read_at_once = 1000;
/// How long a submission may wait for acceptance; see config_log.
inline constexpr duration submission_limit = std::chrono::seconds(10);

/// Contact of this instance with the table service.
class store_contact
{
public:
    explicit store_contact(authority_periods periods) : periods_(periods) {}

    void note(time_point now);
    [[nodiscard]] duration age(time_point now) const;
    /// Whether contact was unbroken for the whole period that ends now.
    [[nodiscard]] bool unbroken_for(time_point now, duration period) const;

private:
    authority_periods periods_;
    std::optional<time_point> last_;
    time_point since_{};
};

/// Implementation of serving_authority.
class authority_state : public serving_authority
{
public:
    authority_state(instance_identity identity, lease_timing timing);

    void handle(time_point now, event const& input, actions& out) override;
    [[nodiscard]] std::string dump(time_point now) const override;

    void set_config(config_view view) override;
    void confirm_config(time_point asked, config_version newest) override;
    [[nodiscard]] std::optional<time_point> config_confirmed() const override;
    [[nodiscard]] bool may_serve(time_point now) const override;
    [[nodiscard]] bool lease_valid(time_point now) const override;
    [[nodiscard]] duration lease_left(time_point now) const override;
    [[nodiscard]] std::optional<held_slot> slot() const override;
    [[nodiscard]] bool owns_base_share(time_point now) const override;
    [[nodiscard]] std::vector<member_entry> live_members(time_point now) const override;
    [[nodiscard]] bool proven_stopped(time_point now, slot_number slot,
                                      fencing_number fence) const override;
    [[nodiscard]] std::vector<instance_id>
    unconfirmed(time_point now, config_version version) const override;
    [[nodiscard]] bool has_store_contact(time_point now) const override;
    void set_state(time_point now, instance_state state, actions& out) override;

private:
    struct pending_operation
    {
        operation_id operation;
        time_point sent{};
    };
    struct pending_read
    {
        pending_operation operation;
        std::vector<slot_number> slots;
    };
    struct head_answer
    {
        time_point asked{};
        config_version version = 0;
    };
    struct version_start
    {
        config_version version = 0;
        time_point since{};
    };

    // Table service (authority_table.cpp).
    void on_tick(time_point now, actions& out);
    void on_table_answer(time_point now, table_answered const& answer, actions& out);
    void on_write_answer(time_point now, table_answered const& answer, actions& out);
    void on_read_answer(time_point now, rows_read const& answer, actions& out);
    void on_slot_row(time_point now, time_point asked, slot_number slot,
                     table_row const& row, actions& out);
    void on_own_row(time_point now, slot_number slot, slot_watch const& watch,
                    actions& out);
    void on_head_row(time_point asked, table_row const* row, actions& out);
    void hold(time_point now, slot_number slot, slot_row const& row, row_version version,
              std::optional<time_point> sent, actions& out);
    void lose_slot(std::string const& reason, actions& out);
    void expire_pending(time_point now);
    void read_rows(time_point now, actions& out);
    [[nodiscard]] std::vector<slot_number> slots_to_read(time_point now);
    [[nodiscard]] bool suspect(time_point now, slot_number slot) const;
    void write_slot(time_point now, actions& out);
    void renew(time_point now, actions& out);
    void claim(time_point now, actions& out);
    [[nodiscard]] std::optional<slot_number> choose_slot(time_point now);
    void release(time_point now, slot_number slot, slot_row row, row_version version,
                 actions& out);
    void send_write(time_point now, slot_number slot, slot_row const& row,
                    row_version version, actions& out);
    [[nodiscard]] slot_row own_row(fencing_number fence, std::uint64_t counter) const;
    [[nodiscard]] operation_id next_operation();

    // Membership and proofs (authority_state.cpp).
    void on_peer(time_point now, peer_received const& received, actions& out);
    void gossip_round(time_point now, actions& out);
    [[nodiscard]] member_entry own_entry(time_point now) const;
    [[nodiscard]] slot_number slots() const;
    [[nodiscard]] std::size_t majority() const { return slots() / 2 + 1; }
    void refresh_confirmed();
    void refresh_rule_b(time_point now);
    [[nodiscard]] bool unclaimed_while_in_contact(member const& known) const;
    [[nodiscard]] bool majority_has_contact(time_point now) const;
    [[nodiscard]] bool holder_stopped(time_point now, slot_watch const& watch) const;
    [[nodiscard]] bool rows_read_since(time_point since) const;
    [[nodiscard]] std::optional<time_point> in_force_since(config_version version) const;
    [[nodiscard]] bool row_confirmed(time_point now, slot_watch const& watch,
                                     config_version version) const;

    instance_identity identity_;
    lease_timing timing_;
    authority_periods periods_;
    config_view view_;
    instance_state state_ = instance_state::joining;
    std::uint64_t heartbeat_ = 0;
    time_point last_call_{};

    store_contact contact_;
    slot_lease lease_;
    slot_watches watches_;
    member_table members_;
    gossip_sender gossip_;
    std::mt19937_64 random_;

    std::uint64_t operations_ = 0;
    std::optional<pending_operation> write_;
    std::optional<pending_read> read_;
    time_point next_write_{};
    time_point next_read_{};
    time_point next_gossip_{};
    time_point read_all_until_{};
    slot_number read_cursor_ = 0;

    std::optional<head_answer> head_;
    std::optional<time_point> confirmed_;
    std::deque<version_start> version_starts_;
    /// Rule (b) holds before this time, as far as the peers are concerned.
    std::optional<time_point> rule_b_until_;
};

} // namespace carawayturn::detail
