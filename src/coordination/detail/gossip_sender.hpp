#pragma once

#include "coordination/detail/member_table.hpp"

#include <map>
#include <random>
#include <vector>

namespace carawayturn::detail
{

inline constexpr duration gossip_every = std::chrono::milliseconds(250);
/// The same while the table service does not answer.
inline constexpr duration gossip_in_outage_every = std::chrono::milliseconds(100);
/// Peers and entries for each round; constant, so that the cost does not depend on the
/// size of the fleet.
inline constexpr std::size_t gossip_peers = 3;
inline constexpr std::size_t gossip_entries = 8;

/// Chooses peers and entries for gossip and sends it.
class gossip_sender
{
public:
    explicit gossip_sender(instance_identity const& identity);

    /// Takes the addresses of entry instances from the platform's list.
    void note_listed(std::vector<listed_instance> const& instances);

    /// Sends one round to random peers.
    void send_round(time_point now, member_entry const& own, member_table const& members,
                    actions& out);

private:
    [[nodiscard]] std::vector<std::pair<instance_id, endpoint>>
    choose_peers(member_table const& members);
    [[nodiscard]] std::vector<member const*> recent(time_point now,
                                                    member_table const& members) const;
    [[nodiscard]] std::vector<member const*>
    choose_entries(time_point now, instance_id const& peer, member_table const& members);
    template <class Item>
    void keep_random(std::vector<Item>& items, std::size_t count);

    instance_id self_;
    std::map<instance_id, endpoint> listed_;
    std::mt19937_64 random_;
};

} // namespace carawayturn::detail
