#pragma once

#include "coordination/poison_ledger.hpp"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::detail
{

/// Poison signatures of the fleet as this instance knows them, from crashes here, from
/// peers and from the table service.
class shared_poison_ledger final : public poison_ledger
{
public:
    shared_poison_ledger(instance_identity identity, serving_authority const& authority);

    void handle(time_point now, event const& input, actions& out) override;
    [[nodiscard]] std::string dump(time_point now) const override;
    [[nodiscard]] suspicion classify(digest const& signature) const override;
    void note_crash(time_point now, digest const& signature, bool ran_alone,
                    actions& out) override;
    void note_success(time_point now, digest const& signature, actions& out) override;
    std::vector<digest> next_for_gossip(std::size_t count) override;

private:
    struct poisonous_entry
    {
        /// The write or its read-back that is in progress; empty if none.
        operation_id awaited;
        time_point next_try{};
    };

    void add_suspect(time_point now, digest const& signature);
    void confirm(time_point now, digest const& signature, bool durable, bool seen_here,
                 actions& out);
    void announce(time_point now, digest const& signature, std::uint32_t crashes,
                  std::size_t count, actions& out);
    void receive(time_point now, peer_message const& message, actions& out);

    void step(time_point now, actions& out);
    void expire_suspects(time_point now);
    void write_rows(time_point now, actions& out);
    void read_rows(time_point now, std::string after, actions& out);
    void answered(time_point now, table_answered const& answer, actions& out);
    void on_rows(time_point now, rows_read const& found, actions& out);
    void on_write(time_point now, digest const& signature, table_outcome const& outcome,
                  actions& out);
    [[nodiscard]] operation_id next_operation();

    instance_identity identity_;
    serving_authority const& authority_;
    std::mt19937_64 random_;
    /// Suspects and when they expire; the queue has them in order of expiry.
    std::map<digest, time_point> suspects_;
    std::deque<std::pair<time_point, digest>> expiries_;
    std::map<digest, poisonous_entry> poisonous_;
    /// Poisonous signatures whose rows are not known to be durable.
    std::set<digest> unwritten_;
    /// Signature after which next_for_gossip() goes on.
    digest gossiped_;
    std::map<operation_id, digest> writes_;
    operation_id reading_;
    time_point read_at_ = time_point::min();
    std::uint64_t operation_ = 0;
    bool full_logged_ = false;
};

} // namespace carawayturn::detail
