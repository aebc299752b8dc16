#include "coordination/detail/owner_election.hpp"

#include "state/stable_hash.hpp"

namespace carawayturn::detail
{

namespace
{

constexpr duration suspicion_period = std::chrono::seconds(5);

} // namespace

void owner_election::update(time_point now, std::vector<member_entry> members)
{
    members_ = std::move(members);
    for (auto const& member : members_)
    {
        contacts_.try_emplace(member.id, contact{now, time_point{}});
    }
    std::erase_if(contacts_,
                  [this](auto const& entry) { return find(entry.first) == nullptr; });
}

void owner_election::note_heard(time_point now, instance_id const& from)
{
    auto const found = contacts_.find(from);
    if (found != contacts_.end())
    {
        found->second = {now, time_point{}};
    }
}

bool owner_election::suspect_if_silent(time_point now, instance_id const& member)
{
    auto const found = contacts_.find(member);
    if (member == self_ || found == contacts_.end() ||
        found->second.heard_at + silence_limit > now)
    {
        return false;
    }
    found->second.suspected_until = now + suspicion_period;
    return true;
}

member_entry const* owner_election::find(instance_id const& id) const
{
    auto const found =
        std::find_if(members_.begin(), members_.end(),
                     [&id](member_entry const& member) { return member.id == id; });
    return found == members_.end() ? nullptr : &*found;
}

bool owner_election::suspected(time_point now, instance_id const& id) const
{
    auto const found = contacts_.find(id);
    return found != contacts_.end() && found->second.suspected_until > now;
}

member_entry const* owner_election::owner(time_point now,
                                          organisation_id const& organisation) const
{
    member_entry const* best = nullptr;
    std::uint64_t best_weight = 0;
    for (auto const& member : members_)
    {
        if (member.state != instance_state::ready || !member.has_slot ||
            suspected(now, member.id))
        {
            continue;
        }
        std::uint64_t const weight =
            stable_hash(organisation.str() + "/" + member.id.str());
        if (best == nullptr || weight > best_weight)
        {
            best = &member;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace carawayturn::detail
