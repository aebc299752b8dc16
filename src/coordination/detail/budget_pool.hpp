#pragma once

#include "coordination/detail/budget_terms.hpp"
#include "coordination/detail/token_bucket.hpp"
#include "state/peer_message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carawayturn::detail
{

/// A grant and the member it goes to.
struct addressed_grant
{
    process_key member;
    budget_grant grant;
};

/// The owner's side of one organisation's budget: the shares lent to this instance, the
/// tokens that accrue on them, and what was granted out of them.
///
/// At every moment the level, the unspent grants and the tokens that lenders may still
/// hand over together are at most the cap of the shares that are lent, and a grant
/// expires no later than the lendings that fund it.
class budget_pool
{
public:
    budget_pool(organisation_id organisation, incarnation_number owner);

    /// Brings accrual, lendings and grants up to date. To be called before any other use.
    void refresh(time_point now, budget_terms const& terms);

    [[nodiscard]] double level() const { return std::max(0.0, bucket_.level()); }
    [[nodiscard]] token_bucket& bucket() { return bucket_; }
    [[nodiscard]] std::size_t lendings() const { return lendings_; }
    [[nodiscard]] token_count outstanding() const;
    [[nodiscard]] bool active(time_point now) const;
    void note_activity(time_point now) { active_at_ = std::max(active_at_, now); }

    /// Merges a member's reply to a query sent at `sent`. Returns whether the member
    /// should be asked again at once: it has just begun to lend and hands its tokens over
    /// with its next reply.
    bool merge_reply(time_point now, process_key const& member, lend_entry const& entry,
                     std::uint64_t query, time_point sent);
    void merge_ask(time_point now, process_key const& member, budget_ask const& ask);
    /// Adds or renews the owner's own share, with the base tokens moved into the pool and
    /// those that its requests in flight have reserved.
    void lend_own(time_point now, process_key const& self, double tokens,
                  token_count reserved);

    /// Serves the members that want tokens, in the order in which they began to want.
    [[nodiscard]] std::vector<addressed_grant> distribute(time_point now);
    /// Grants to one member, possibly nothing, in answer to its last message.
    [[nodiscard]] addressed_grant grant(time_point now, process_key const& member);
    /// Extends the unspent grants of a member and tops them up for its recent use.
    [[nodiscard]] std::optional<addressed_grant> renew(time_point now,
                                                       process_key const& member);
    /// Takes the owner's own share out of the pool once no grant is funded by it; returns
    /// its part of the level.
    [[nodiscard]] std::optional<double> release_own(process_key const& self);
    /// Ends the lendings that no grant needs, and gives each an equal part of the level.
    /// Replies to queries up to `last_query` no longer lend.
    [[nodiscard]] std::vector<addressed_grant>
    release(time_point now, process_key const& self, std::uint64_t last_query);

    /// Time until `tokens` more than the members want that came before `since` will have
    /// accrued. Short while lendings are still coming in.
    [[nodiscard]] duration time_until(time_point now, double tokens,
                                      time_point since) const;

private:
    /// What the owner knows of one member; the granted counter is its own.
    struct member_account
    {
        bool lends = false;
        time_point expires{};
        time_point accrued_to{};
        std::uint64_t ended_query = 0;
        /// Base tokens of the lent share that the member may still hand over.
        token_count reserved = 0;

        token_count granted = 0;
        token_count spent = 0;
        token_count returned = 0;
        token_count handed_over = 0;
        std::uint64_t clock = 0;
        /// Until then the member may spend what it was granted.
        time_point grants_expire{};
        /// The unspent grants have surely expired: they are gone, and reports that they
        /// were returned give nothing back.
        bool written_off = false;

        token_count wanted = 0;
        time_point wanted_since{};
        /// What is left of the tokens wanted when the member took its place in the order.
        token_count turn = 0;
        /// The message that the next grant follows.
        std::uint64_t last_ask = 0;
        std::uint64_t last_query = 0;
        time_point heard_at{};
        /// Tokens a second that the member spends, smoothed.
        double use = 0;
        time_point use_at{};

        [[nodiscard]] token_count unspent() const
        {
            return std::max<token_count>(0, granted - spent - returned);
        }
        [[nodiscard]] token_count counted() const { return written_off ? 0 : unspent(); }
    };

    [[nodiscard]] bool merge(time_point now, process_key const& member,
                             lend_entry const& entry);
    void merge_counters(time_point now, member_account& account, lend_entry const& entry);
    [[nodiscard]] addressed_grant issue(time_point now, process_key const& member,
                                        token_count tokens, time_point limit);
    [[nodiscard]] addressed_grant end_lending(time_point now, process_key const& member,
                                              double part, std::uint64_t last_query);
    [[nodiscard]] token_count grantable(member_account const& account) const;
    [[nodiscard]] token_count headroom(member_account const& account,
                                       token_count possible) const;
    [[nodiscard]] time_point funded_until(time_point now, token_count outstanding) const;
    /// Tokens that a lent share can hold in the pool. Negative if more are reserved.
    [[nodiscard]] double funds(member_account const& account) const;
    [[nodiscard]] double cap() const;
    void apply_cap();
    void forget_members(time_point now);
    void begin_lending(time_point now, member_account& account);

    organisation_id organisation_;
    incarnation_number owner_;
    budget_terms terms_;
    token_bucket bucket_;
    std::size_t lendings_ = 0;
    std::uint64_t clock_ = 0;
    time_point active_at_{};
    /// When the first of the present lendings began.
    time_point began_at_{};
    std::map<process_key, member_account> members_;
};

} // namespace carawayturn::detail
