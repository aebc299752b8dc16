#include "coordination/detail/gossip_sender.hpp"

#include "state/stable_hash.hpp"

#include <algorithm>

namespace carawayturn::detail
{

namespace
{

// Entries older than this carry little news; the members themselves send newer ones.
constexpr duration pass_on_within = std::chrono::seconds(6);

} // namespace

gossip_sender::gossip_sender(instance_identity const& identity)
    : self_(identity.id), random_(stable_hash(identity.id.str(), identity.seed))
{
}

void gossip_sender::note_listed(std::vector<listed_instance> const& instances)
{
    listed_.clear();
    for (auto const& listed : instances)
    {
        if (listed.kind == "entry" && listed.peer_port != 0)
            listed_[instance_id(listed.id)] = {listed.address.address, listed.peer_port};
    }
}

template <class Item>
void gossip_sender::keep_random(std::vector<Item>& items, std::size_t count)
{
    count = std::min(count, items.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen)
    {
        std::uniform_int_distribution<std::size_t> index(chosen, items.size() - 1);
        std::swap(items[chosen], items[index(random_)]);
    }
    items.resize(count);
}

std::vector<std::pair<instance_id, endpoint>>
gossip_sender::choose_peers(member_table const& members)
{
    std::map<instance_id, endpoint> known = listed_;
    for (auto const& [id, peer] : members.all())
    {
        if (peer.entry.state == instance_state::left)
            known.erase(id);
        else if (peer.entry.peer_address.port != 0)
            known[id] = peer.entry.peer_address;
    }
    known.erase(self_);
    std::vector<std::pair<instance_id, endpoint>> peers(known.begin(), known.end());
    keep_random(peers, gossip_peers);
    return peers;
}

std::vector<member const*> gossip_sender::recent(time_point now,
                                                 member_table const& members) const
{
    std::vector<member const*> found;
    for (auto const& [id, known] : members.all())
    {
        if (now - known.heard_at < pass_on_within)
            found.push_back(&known);
    }
    return found;
}

std::vector<member const*> gossip_sender::choose_entries(time_point now,
                                                         instance_id const& peer,
                                                         member_table const& members)
{
    auto chosen = recent(now, members);
    std::erase_if(chosen, [&peer](auto const* known) { return known->entry.id == peer; });
    keep_random(chosen, gossip_entries - 1);
    // An instance whose slot was claimed while it was cut off must learn of it before it
    // counts this message towards rule (b).
    if (auto const* const rival = members.rival_of(peer); rival != nullptr)
    {
        std::erase(chosen, rival);
        chosen.insert(chosen.begin(), rival);
        chosen.resize(std::min(chosen.size(), gossip_entries - 1));
    }
    return chosen;
}

void gossip_sender::send_round(time_point now, member_entry const& own,
                               member_table const& members, actions& out)
{
    for (auto const& [id, address] : choose_peers(members))
    {
        gossip message;
        message.entries.push_back(own);
        for (auto const* const known : choose_entries(now, id, members))
            message.entries.push_back(member_table::aged(*known, now));
        out.emplace_back(send_peer{id, address, std::move(message)});
    }
}

} // namespace carawayturn::detail
