#pragma once

#include "coordination/budget_manager.hpp"
#include "coordination/detail/budget_pool.hpp"
#include "coordination/detail/budget_share.hpp"
#include "coordination/detail/owner_election.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::detail
{

/// A request that waits for tokens.
struct waiting_request
{
    request_id request;
    token_count tokens = 0;
    time_point since{};
};

/// Where the tokens of a granted reservation came from.
struct reservation
{
    organisation_id organisation;
    token_count base = 0;
    token_bucket::mark base_mark;
    token_count pool = 0;
    token_bucket::mark pool_mark;
    std::vector<grant_part> granted;
};

/// Everything this instance keeps for one organisation.
struct budget_account
{
    budget_account(organisation_id organisation, incarnation_number self)
        : pool(std::move(organisation), self)
    {
    }

    budget_share share;
    budget_pool pool;
    std::uint64_t slot_epoch = 0;
    std::deque<waiting_request> waiting;
    /// Reservations with granted tokens, oldest first, until they are charged in full.
    std::deque<std::pair<time_point, request_id>> held;
    time_point used_at{};
    time_point asked_at{};
    /// The owner answered since `asked_at`; if the answer had a time, `ready_at` is when
    /// all tokens wanted then (`answer_wanted`) will have accrued.
    bool answered = false;
    std::optional<time_point> ready_at;
    token_count answer_wanted = 0;
    /// Whether this instance acted as the owner at the last step.
    bool owned = false;
    bool members_first = false;

    /// Whether periodic work is due; accrual alone is caught up on when it is needed.
    [[nodiscard]] bool busy(time_point now) const
    {
        return owned || !waiting.empty() || !held.empty() || pool.lendings() > 0 ||
               pool.active(now);
    }
};

class fleet_budget final : public budget_manager
{
public:
    fleet_budget(instance_identity identity, config_log const& config,
                 serving_authority const& authority);

    void handle(time_point now, event const& input, actions& out) override;
    [[nodiscard]] std::string dump(time_point now) const override;
    reserve_answer reserve(time_point now, request_id const& request,
                           organisation_id const& organisation, token_count tokens,
                           actions& out) override;
    void settle(time_point now, request_id const& request, token_count used) override;
    void release_all(time_point now, actions& out) override;

private:
    // Accounts.
    void update_slot(time_point now);
    void update_members(time_point now);
    [[nodiscard]] budget_terms terms_of(organisation_id const& organisation) const;
    budget_account* refreshed(time_point now, organisation_id const& organisation);
    [[nodiscard]] process_key self() const;

    // Reservations.
    [[nodiscard]] bool take(time_point now, request_id const& request,
                            organisation_id const& organisation, budget_account& account,
                            token_count tokens);
    void settle_parts(budget_account& account, reservation& taken, token_count used);
    void charge_long_held(time_point now, budget_terms const& terms,
                          budget_account& account);
    bool withdraw(request_id const& request);

    // Waiting requests.
    void serve_waiting(time_point now, organisation_id const& organisation,
                       budget_account& account, actions& out);
    void refuse_late(time_point now, organisation_id const& organisation,
                     budget_account& account, actions& out);
    [[nodiscard]] std::optional<duration> expected_wait(time_point now,
                                                        organisation_id const& id,
                                                        budget_account const& account,
                                                        waiting_request const& entry,
                                                        token_count ahead) const;
    [[nodiscard]] token_count wanted(time_point now, budget_account const& account) const;
    void ask_owner(time_point now, organisation_id const& organisation,
                   budget_account& account, actions& out);
    [[nodiscard]] member_entry const* owner_to_ask(time_point now,
                                                   organisation_id const& organisation,
                                                   budget_account const& account) const;
    void retry_ask(time_point now, organisation_id const& organisation,
                   budget_account& account, actions& out);

    // Duties as an owner.
    void step(time_point now, actions& out);
    void step_account(time_point now, organisation_id const& organisation,
                      budget_account& account, actions& out);
    void step_pool(time_point now, organisation_id const& organisation,
                   budget_account& account, actions& out);
    void release_pool(time_point now, organisation_id const& organisation,
                      budget_account& account, actions& out);
    [[nodiscard]] bool acts_as_owner(time_point now,
                                     organisation_id const& organisation) const;
    void query_members(time_point now, std::vector<organisation_id> const& organisations,
                       actions& out);
    void query_member(time_point now, instance_id const& to,
                      std::vector<organisation_id> organisations, actions& out);
    void send_grants(std::vector<addressed_grant> grants, actions& out);
    void serve_members(time_point now, organisation_id const& organisation,
                       budget_account& account, actions& out);

    // Messages.
    void receive(time_point now, instance_id const& from, peer_message const& message,
                 actions& out);
    void on_query(time_point now, instance_id const& from, lend_query const& query,
                  actions& out);
    void on_reply(time_point now, instance_id const& from, lend_reply const& reply,
                  actions& out);
    void on_ask(time_point now, instance_id const& from, budget_ask const& ask,
                actions& out);
    void on_grant(time_point now, instance_id const& from, budget_grant const& grant,
                  actions& out);
    void send(instance_id const& to, peer_message message, actions& out) const;

    instance_identity identity_;
    config_log const& config_;
    serving_authority const& authority_;
    owner_election election_;
    std::map<organisation_id, budget_account> accounts_;
    std::map<request_id, reservation> reservations_;
    std::map<request_id, organisation_id> waiting_;

    /// Slot and fencing number under which the base shares are used.
    std::optional<std::pair<slot_number, fencing_number>> slot_;
    std::uint64_t slot_epoch_ = 0;
    budget_share::standing standing_;

    std::uint64_t query_ = 0;
    std::uint64_t ask_ = 0;
    time_point queried_at_ = time_point::min();
    time_point stepped_at_ = time_point::min();
    std::map<std::uint64_t, time_point> queries_;
    /// Highest query answered of each owner.
    std::map<process_key, std::uint64_t> answered_;
    bool leaving_ = false;
};

} // namespace carawayturn::detail
