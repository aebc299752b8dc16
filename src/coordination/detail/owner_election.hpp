#pragma once

#include "coordination/detail/budget_terms.hpp"
#include "state/peer_message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carawayturn::detail
{

/// Finds the owner of each organisation's budget by this instance's own view of the
/// members. Silent members can be passed over before membership declares them gone.
class owner_election
{
public:
    explicit owner_election(instance_id self) : self_(std::move(self)) {}

    void update(time_point now, std::vector<member_entry> members);
    void note_heard(time_point now, instance_id const& from);
    /// Passes a member over for some seconds unless it was heard from lately. Returns
    /// whether it is passed over now.
    bool suspect_if_silent(time_point now, instance_id const& member);

    [[nodiscard]] std::vector<member_entry> const& members() const { return members_; }
    [[nodiscard]] member_entry const* find(instance_id const& id) const;
    [[nodiscard]] bool suspected(time_point now, instance_id const& id) const;
    /// The owner, or null if no member is ready.
    [[nodiscard]] member_entry const* owner(time_point now,
                                            organisation_id const& organisation) const;

private:
    struct contact
    {
        time_point heard_at{};
        time_point suspected_until{};
    };

    instance_id self_;
    std::vector<member_entry> members_;
    std::map<instance_id, contact> contacts_;
};

} // namespace carawayturn::detail
