#pragma once

#include "coordination/detail/budget_terms.hpp"
#include "coordination/detail/token_bucket.hpp"
#include "state/peer_message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace carawayturn::detail
{

/// Tokens of a request that were taken from one owner's grants.
struct grant_part
{
    process_key owner;
    token_count tokens = 0;
    std::uint64_t epoch = 0;
};

/// The member's side of one organisation's budget: its base share, to whom the share is
/// lent, and the grants it holds. Tokens can be in one place only: a share that is lent
/// holds no spendable tokens here.
class budget_share
{
public:
    /// Whether and from when the base share of this instance's slot may be used.
    struct standing
    {
        bool owning = false;
        time_point usable_from{};
    };

    /// Starts a base share with the given level at a time, which may be past or to come.
    /// Reservations from before give nothing back.
    void restart(time_point from, double level);

    /// Brings accrual and expiry up to date. To be called before any other use.
    void refresh(time_point now, budget_terms const& terms, standing const& slot);

    [[nodiscard]] bool base_usable(time_point now) const;
    [[nodiscard]] double base_level(time_point now) const;
    [[nodiscard]] token_count granted_available() const;
    /// Base share and grants that can be spent now, in whole tokens.
    [[nodiscard]] token_count spendable(time_point now) const;
    [[nodiscard]] bool has_open_grants() const;
    [[nodiscard]] token_bucket& base() { return base_; }
    /// Base tokens that are reserved or not handed over while the share is lent. Reserved
    /// tokens that come back go to the borrower with the next renewal.
    [[nodiscard]] token_count base_reserved() const;

    /// Takes up to `wanted` tokens from grants.
    [[nodiscard]] std::vector<grant_part> take_granted(token_count wanted);
    /// Settles a part taken from grants. The remainder can be spent again unless the
    /// grant expired or charge_held() came first.
    void settle_granted(grant_part const& part, token_count used);
    /// Charges a part in full before its request ends, so that it no longer counts
    /// against the owner's cap.
    void charge_held(grant_part& part);

    /// Answers a query of an owner. The base share is lent if it is free.
    [[nodiscard]] lend_entry lend(time_point now, process_key const& owner,
                                  std::uint64_t query, bool willing);
    /// Lends the share to this instance itself as the owner; returns the tokens moved.
    [[nodiscard]] std::optional<double> lend_to_self(time_point now,
                                                     process_key const& self);
    /// Takes the share back from this instance as the owner, with tokens of the pool.
    void end_own_lending(time_point now, double tokens);
    /// The counters for one owner, without lending.
    [[nodiscard]] lend_entry counters(process_key const& owner);
    void note_ask(time_point now, process_key const& owner, std::uint64_t ask);
    /// Returns whether the grant was news.
    bool accept(time_point now, process_key const& owner, budget_grant const& grant,
                budget_terms const& terms);
    /// Gives back grants that are not held by requests.
    void return_grants();
    [[nodiscard]] std::vector<process_key> owners() const;
    /// The owner to whom the share is lent now.
    [[nodiscard]] std::optional<process_key> lent_to(time_point now) const;
    [[nodiscard]] std::optional<time_point> lent_until(time_point now) const;

private:
    /// Absolute counters for one owner; this instance is the only writer of its part.
    struct owner_account
    {
        token_count granted = 0;
        token_count spent = 0;
        token_count returned = 0;
        token_count handed_over = 0;
        /// Reserved by requests in flight, and not yet counted as spent.
        token_count held = 0;
        std::uint64_t epoch = 0;
        std::uint64_t grant_clock = 0;
        time_point expires{};
        time_point last_used{};
        std::map<std::uint64_t, time_point> replies;
        std::map<std::uint64_t, time_point> asks;

        [[nodiscard]] token_count available() const
        {
            return std::max<token_count>(0, granted - spent - returned - held);
        }
    };

    struct lending
    {
        process_key owner;
        time_point until{};
        std::uint64_t query = 0;
    };

    void expire_grants(time_point now);
    void accrue(time_point now, budget_terms const& terms);
    void end_lending(time_point now, process_key const& owner, owner_account& account,
                     budget_grant const& grant, budget_terms const& terms);
    [[nodiscard]] lend_entry entry_of(owner_account const& account);

    /// Orders this instance's counters, also after an owner's account was forgotten.
    std::uint64_t clock_ = 0;
    token_bucket base_;
    time_point accrued_to_{};
    standing slot_;
    std::optional<lending> lending_;
    std::map<process_key, owner_account> owners_;
};

} // namespace carawayturn::detail
