#pragma once

#include "coordination/component.hpp"
#include "coordination/serving_authority.hpp"
#include "state/peer_message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carawayturn::detail
{

/// Periods derived from the lease timing.
struct authority_periods
{
    explicit authority_periods(lease_timing const& timing);

    duration time_to_live;
    /// What a holder may count on: time_to_live less the drift margin.
    duration cautious;
    /// What a claimant waits: time_to_live plus the drift margin.
    duration patient;
    /// How recent the store contact must be that a claimant counts. Short against
    /// `patient`, so that a holder whose renewals ended together with everyone's store
    /// contact can tell that nobody has claimed its slot.
    duration recent_contact;
    /// Without an answer of the table service for this long an instance reports no
    /// contact, which rule (b) counts. Less than a lease has left when it was due for
    /// renewal, so that rule (b) can hold before the lease lapses.
    duration no_contact;
    /// A gap in contact of this length starts the unbroken contact anew that a claim
    /// needs. Shorter than no_contact by more than a message's way, so that no report of
    /// missing contact goes unnoticed by a claimant.
    duration contact_gap;
};

/// What this instance knows of another one from gossip.
struct member
{
    member_entry entry;
    /// When an entry newer than the one before arrived, from anyone.
    time_point heard_at{};
    /// The member's last contact with the table service, in local time.
    time_point contact_at{};
    /// Start of the unbroken contact with the table service that contact_at ends.
    time_point contact_since{};
    /// When the member's own message arrived last.
    std::optional<time_point> direct_at;
    /// Whether that message reported no store contact.
    bool direct_without_contact = false;
};

/// All members heard of. Entries are merged by (incarnation, heartbeat), highest first,
/// so lost, repeated and reordered messages do no harm.
class member_table
{
public:
    member_table(instance_id self, incarnation_number incarnation,
                 authority_periods periods);

    /// Merges one message. The first entry counts as heard directly if the sender is its
    /// subject.
    void merge(time_point now, instance_id const& from, gossip const& message);

    /// Notes any other message as a sign of life.
    void note_alive(time_point now, instance_id const& from);

    /// Drops members that were silent for long.
    void evict(time_point now);

    [[nodiscard]] member const* find(instance_id const& id) const;
    [[nodiscard]] std::map<instance_id, member> const& all() const { return members_; }

    /// The entry as it is passed on now: its store contact age includes the time that it
    /// was kept here.
    [[nodiscard]] static member_entry aged(member const& known, time_point now);

    /// Whether the member was heard within the time to live and has not left.
    [[nodiscard]] bool live(member const& known, time_point now) const;

    /// The member with the highest fencing number among those that claim each slot.
    [[nodiscard]] std::map<slot_number, member const*> holders(slot_number slots) const;

    /// The member that claims the peer's slot at a higher fencing number, or null.
    [[nodiscard]] member const* rival_of(instance_id const& peer) const;

    /// The member that claims the slot at a fencing number above the given one, or null.
    [[nodiscard]] member const* claimant(slot_number slot, fencing_number above) const;

    /// The highest configuration version that live members reported.
    [[nodiscard]] config_version highest_config(time_point now) const;

    /// Whether a process with this instance's id and a higher incarnation was heard of.
    [[nodiscard]] bool superseded() const { return superseded_; }

private:
    void merge_entry(time_point now, member_entry const& entry, bool direct);
    void take(time_point now, member& known, member_entry const& entry, bool is_new);

    instance_id self_;
    incarnation_number incarnation_;
    authority_periods periods_;
    std::map<instance_id, member> members_;
    bool superseded_ = false;
};

} // namespace carawayturn::detail
