#include "coordination/detail/budget_share.hpp"

#include <cmath>

namespace carawayturn::detail
{

namespace
{

/// Sent messages that a grant may still follow; older ones would have expired.
void remember(std::map<std::uint64_t, time_point>& sent, std::uint64_t id, time_point now)
{
    sent.emplace(id, now);
    std::erase_if(sent,
                  [now](auto const& entry) { return entry.second + lend_period < now; });
}

constexpr duration forget_owner_after = std::chrono::minutes(10);

} // namespace

void budget_share::restart(time_point from, double level)
{
    base_.reset(level);
    accrued_to_ = from;
    lending_.reset();
}

void budget_share::refresh(time_point now, budget_terms const& terms,
                           standing const& slot)
{
    slot_ = slot;
    accrue(now, terms);
    expire_grants(now);
}

void budget_share::accrue(time_point now, budget_terms const& terms)
{
    if (lending_ && lending_->until > now)
    {
        return;
    }
    // Tokens also accrue while the slot is held without authority: nobody else can have
    // used the share since it was claimed.
    time_point from = accrued_to_;
    if (lending_)
    {
        from = std::max(from, lending_->until);
        lending_.reset();
    }
    accrued_to_ = std::max(from, now);
    base_.credit(from < now ? seconds(now - from) * terms.share_rate() : 0.0,
                 terms.share_burst());
}

void budget_share::expire_grants(time_point now)
{
    for (auto& [key, account] : owners_)
    {
        if (account.expires > now)
        {
            continue;
        }
        account.returned += account.available();
        account.spent += account.held;
        account.held = 0;
        ++account.epoch;
    }
    std::erase_if(owners_, [now](auto const& entry)
                  { return entry.second.last_used + forget_owner_after < now; });
}

bool budget_share::base_usable(time_point now) const
{
    return slot_.owning && slot_.usable_from <= now && !lent_to(now);
}

double budget_share::base_level(time_point now) const
{
    return base_usable(now) ? std::max(0.0, base_.level()) : 0.0;
}

token_count budget_share::granted_available() const
{
    token_count sum = 0;
    for (auto const& [key, account] : owners_)
    {
        sum += account.available();
    }
    return sum;
}

token_count budget_share::spendable(time_point now) const
{
    return granted_available() + static_cast<token_count>(base_level(now));
}

bool budget_share::has_open_grants() const
{
    return std::any_of(owners_.begin(), owners_.end(),
                       [](auto const& entry)
                       { return entry.second.available() + entry.second.held > 0; });
}

std::vector<grant_part> budget_share::take_granted(token_count wanted)
{
    std::vector<grant_part> parts;
    for (auto& [key, account] : owners_)
    {
        token_count const taken = std::min(wanted, account.available());
        if (taken > 0)
        {
            account.held += taken;
            wanted -= taken;
            parts.push_back({key, taken, account.epoch});
        }
    }
    return parts;
}

void budget_share::settle_granted(grant_part const& part, token_count used)
{
    auto const found = owners_.find(part.owner);
    if (part.tokens == 0 || found == owners_.end() || found->second.epoch != part.epoch)
    {
        return;
    }
    found->second.held -= part.tokens;
    found->second.spent += used;
}

void budget_share::charge_held(grant_part& part)
{
    settle_granted(part, part.tokens);
    part.tokens = 0;
}

lend_entry budget_share::entry_of(owner_account const& account)
{
    lend_entry entry;
    entry.clock = ++clock_;
    entry.handed_over = account.handed_over;
    entry.spent = account.spent;
    entry.returned = account.returned;
    return entry;
}

lend_entry budget_share::counters(process_key const& owner)
{
    return entry_of(owners_[owner]);
}

token_count budget_share::base_reserved() const
{
    return static_cast<token_count>(std::ceil(base_.unspent()));
}

lend_entry budget_share::lend(time_point now, process_key const& owner,
                              std::uint64_t query, bool willing)
{
    owner_account& account = owners_[owner];
    account.last_used = std::max(account.last_used, now);
    remember(account.replies, query, now);
    bool const renewal = lending_ && lending_->owner == owner;
    bool const free = base_usable(now) || renewal;
    std::uint32_t shares = 0;
    if (willing && slot_.owning && free)
    {
        // The first reply of a lending hands over nothing. If it were lost and the
        // lending lapsed, the tokens would come back here and could be credited there
        // later; the owner credits only renewals of a lending that it knows to be
        // unbroken.
        if (renewal && base_.level() >= 1)
        {
            double const tokens = std::floor(base_.level());
            base_.move_out(tokens);
            account.handed_over += static_cast<token_count>(tokens);
        }
        lending_ = lending{owner, now + lend_period, query};
        shares = 1;
    }
    lend_entry entry = entry_of(account);
    entry.shares = shares;
    entry.reserved = base_reserved();
    return entry;
}

std::optional<double> budget_share::lend_to_self(time_point now, process_key const& self)
{
    bool const renewal = lending_ && lending_->owner == self;
    if (!slot_.owning || !(base_usable(now) || renewal))
    {
        return std::nullopt;
    }
    double const tokens = std::max(0.0, base_.level());
    base_.move_out(tokens);
    lending_ = lending{self, now + lend_period, 0};
    return tokens;
}

void budget_share::end_own_lending(time_point now, double tokens)
{
    lending_.reset();
    accrued_to_ = std::max(accrued_to_, now);
    base_.move_in(tokens);
}

void budget_share::note_ask(time_point now, process_key const& owner, std::uint64_t ask)
{
    owner_account& account = owners_[owner];
    account.last_used = std::max(account.last_used, now);
    remember(account.asks, ask, now);
}

bool budget_share::accept(time_point now, process_key const& owner,
                          budget_grant const& grant, budget_terms const& terms)
{
    auto const found = owners_.find(owner);
    if (found == owners_.end() || grant.clock <= found->second.grant_clock)
    {
        return false;
    }
    owner_account& account = found->second;
    auto const& sent = grant.ask != 0 ? account.asks : account.replies;
    auto const followed = sent.find(grant.ask != 0 ? grant.ask : grant.query);
    account.grant_clock = grant.clock;
    account.granted = grant.granted;
    // A grant that follows a message too old to be remembered has expired.
    account.expires = followed == sent.end() ? now : followed->second + grant.valid;
    if (grant.ends_lending)
    {
        end_lending(now, owner, account, grant, terms);
    }
    expire_grants(now);
    return true;
}

void budget_share::end_lending(time_point now, process_key const& owner,
                               owner_account& account, budget_grant const& grant,
                               budget_terms const& terms)
{
    bool const current = lent_to(now) == owner && lending_->query <= grant.query;
    if (!current)
    {
        // The owner counts the tokens no longer, so they are not spent.
        account.expires = now;
        return;
    }
    lending_.reset();
    accrued_to_ = std::max(accrued_to_, now);
    // Without validity the owner has written the grants off.
    token_count const tokens = grant.valid > duration(0) ? account.available() : 0;
    account.returned += tokens;
    base_.move_in(static_cast<double>(tokens));
    base_.credit(0, terms.share_burst());
}

void budget_share::return_grants()
{
    for (auto& [key, account] : owners_)
    {
        account.returned += account.available();
    }
}

std::vector<process_key> budget_share::owners() const
{
    std::vector<process_key> keys;
    for (auto const& [key, account] : owners_)
    {
        keys.push_back(key);
    }
    return keys;
}

std::optional<process_key> budget_share::lent_to(time_point now) const
{
    return lent_until(now) ? std::optional(lending_->owner) : std::nullopt;
}

std::optional<time_point> budget_share::lent_until(time_point now) const
{
    return lending_ && lending_->until > now ? std::optional(lending_->until)
                                             : std::nullopt;
}

} // namespace carawayturn::detail
