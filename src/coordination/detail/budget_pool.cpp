#include "coordination/detail/budget_pool.hpp"

#include <cmath>

namespace carawayturn::detail
{

namespace
{

/// Use is smoothed over about this time.
constexpr duration use_window = std::chrono::seconds(1);
/// A member is granted its use of this time ahead, so that it need not ask for each
/// request and is served on while a dead owner is replaced.
constexpr double headroom_seconds = 2.0;
/// Part of the level that may go into one member's headroom at once.
constexpr double headroom_part = 0.25;
constexpr duration forget_member_after = std::chrono::minutes(5);
/// Lendings come in for about this long after the first one.
constexpr duration settling_time = std::chrono::milliseconds(300);
constexpr time_point no_limit = time_point::max();

} // namespace

budget_pool::budget_pool(organisation_id organisation, incarnation_number owner)
    : organisation_(std::move(organisation)), owner_(owner),
      active_at_(time_point::min() + activity_period)
{
}

void budget_pool::refresh(time_point now, budget_terms const& terms)
{
    double accrued = 0;
    lendings_ = 0;
    for (auto& [key, account] : members_)
    {
        if (account.lends)
        {
            time_point const until = std::min(now, account.expires);
            if (until > account.accrued_to)
            {
                accrued += seconds(until - account.accrued_to) * terms_.share_rate();
                account.accrued_to = until;
            }
            account.lends = account.expires > now;
            lendings_ += account.lends ? 1U : 0U;
        }
        if (account.grants_expire <= now && account.unspent() > 0)
        {
            account.written_off = true;
        }
    }
    bucket_.credit(accrued, cap());
    terms_ = terms;
    apply_cap();
    forget_members(now);
}

double budget_pool::funds(member_account const& account) const
{
    return terms_.share_burst() - static_cast<double>(account.reserved);
}

double budget_pool::cap() const
{
    double lent = 0;
    for (auto const& [key, account] : members_)
    {
        lent += account.lends ? funds(account) : 0.0;
    }
    return std::max(0.0, lent - static_cast<double>(outstanding()));
}

void budget_pool::apply_cap()
{
    bucket_.credit(0, cap());
}

void budget_pool::forget_members(time_point now)
{
    std::erase_if(members_, [now](auto const& entry)
                  { return entry.second.heard_at + forget_member_after < now; });
}

token_count budget_pool::outstanding() const
{
    token_count sum = 0;
    for (auto const& [key, account] : members_)
    {
        sum += account.counted();
    }
    return sum;
}

bool budget_pool::active(time_point now) const
{
    return active_at_ + activity_period > now || outstanding() > 0;
}

bool budget_pool::merge(time_point now, process_key const& member,
                        lend_entry const& entry)
{
    auto const [found, created] = members_.try_emplace(member);
    member_account& account = found->second;
    if (entry.clock <= account.clock)
    {
        return false;
    }
    bool const forgotten =
        entry.spent < account.spent || entry.returned < account.returned;
    if (created || forgotten)
    {
        // One side has no memory of the pair, so nothing is outstanding between them.
        account.granted = entry.spent + entry.returned;
        account.spent = entry.spent;
        account.returned = entry.returned;
        account.handed_over = entry.handed_over;
        account.use_at = now;
    }
    merge_counters(now, account, entry);
    account.clock = entry.clock;
    token_count const wanted = std::max<token_count>(0, entry.wanted);
    if (account.wanted == 0)
    {
        account.wanted_since = now;
        account.turn = wanted;
    }
    account.turn = std::min(account.turn, wanted);
    account.wanted = wanted;
    account.heard_at = now;
    return true;
}

void budget_pool::merge_counters(time_point now, member_account& account,
                                 lend_entry const& entry)
{
    token_count const spent = entry.spent - account.spent;
    token_count const returned = entry.returned - account.returned;
    account.spent = entry.spent;
    account.returned = entry.returned;
    if (!account.written_off)
    {
        bucket_.move_in(static_cast<double>(returned));
    }
    account.written_off = account.written_off && account.unspent() > 0;
    double const elapsed = seconds(now - account.use_at);
    double const weight = 1 - std::exp(-elapsed / seconds(use_window));
    if (elapsed > 0)
    {
        account.use += weight * (static_cast<double>(spent) / elapsed - account.use);
        account.use_at = now;
    }
    if (spent > 0 || entry.wanted > 0)
    {
        note_activity(now);
    }
    apply_cap();
}

bool budget_pool::merge_reply(time_point now, process_key const& member,
                              lend_entry const& entry, std::uint64_t query,
                              time_point sent)
{
    if (!merge(now, member, entry))
    {
        return false;
    }
    member_account& account = members_.at(member);
    account.last_query = query;
    account.last_ask = 0;
    token_count const handed = entry.handed_over - account.handed_over;
    account.handed_over = entry.handed_over;
    bool const lends =
        entry.shares > 0 && sent + owner_lend_period > now && query > account.ended_query;
    if (!lends)
    {
        return false;
    }
    bool const begins = !account.lends;
    if (begins)
    {
        begin_lending(now, account);
    }
    else
    {
        // Only an unbroken lending hands tokens over; see budget_share::lend().
        bucket_.move_in(static_cast<double>(std::max<token_count>(0, handed)));
    }
    account.reserved = std::max<token_count>(0, entry.reserved);
    account.expires = std::max(account.expires, sent + owner_lend_period);
    apply_cap();
    return begins;
}

void budget_pool::merge_ask(time_point now, process_key const& member,
                            budget_ask const& ask)
{
    note_activity(now);
    if (merge(now, member, ask.entry))
    {
        members_.at(member).last_ask = ask.ask;
    }
}

void budget_pool::lend_own(time_point now, process_key const& self, double tokens,
                           token_count reserved)
{
    member_account& account = members_[self];
    if (!account.lends)
    {
        begin_lending(now, account);
    }
    account.heard_at = now;
    account.expires = now + owner_lend_period;
    account.reserved = reserved;
    bucket_.move_in(tokens);
    apply_cap();
}

void budget_pool::begin_lending(time_point now, member_account& account)
{
    account.lends = true;
    account.accrued_to = now;
    began_at_ = lendings_ == 0 ? now : began_at_;
    ++lendings_;
}

token_count budget_pool::grantable(member_account const& account) const
{
    // Reviving grants that were written off costs as much as new ones.
    token_count const revived = account.written_off ? account.unspent() : 0;
    return static_cast<token_count>(level()) - revived;
}

token_count budget_pool::headroom(member_account const& account,
                                  token_count possible) const
{
    bool const shortage =
        std::any_of(members_.begin(), members_.end(),
                    [](auto const& entry) { return entry.second.wanted > 0; });
    if (shortage)
    {
        return 0;
    }
    double const missing =
        account.use * headroom_seconds - static_cast<double>(account.unspent());
    double const limit = static_cast<double>(possible) * headroom_part;
    return static_cast<token_count>(std::max(0.0, std::min(missing, limit)));
}

std::vector<addressed_grant> budget_pool::distribute(time_point now)
{
    std::vector<std::pair<time_point, process_key>> waiting;
    for (auto const& [key, account] : members_)
    {
        if (account.wanted > 0)
        {
            waiting.emplace_back(account.wanted_since, key);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    std::vector<addressed_grant> grants;
    for (auto const& [since, key] : waiting)
    {
        if (grantable(members_.at(key)) >= 1)
        {
            grants.push_back(grant(now, key));
        }
    }
    return grants;
}

addressed_grant budget_pool::grant(time_point now, process_key const& member)
{
    member_account& account = members_.at(member);
    token_count const possible = std::max<token_count>(0, grantable(account));
    token_count tokens = std::min(account.wanted, possible);
    account.wanted -= tokens;
    account.turn -= tokens;
    if (tokens > 0 && account.turn <= 0)
    {
        // What came in during its turn goes behind the other members. Before that the
        // member keeps its place: parts of a request spread over many members serve none.
        account.wanted_since = now;
        account.turn = account.wanted;
    }
    if (tokens > 0)
    {
        tokens += headroom(account, possible - tokens);
    }
    return issue(now, member, tokens, no_limit);
}

std::optional<addressed_grant> budget_pool::renew(time_point now,
                                                  process_key const& member)
{
    auto const found = members_.find(member);
    if (found == members_.end())
    {
        return std::nullopt;
    }
    member_account const& account = found->second;
    token_count const possible = std::max<token_count>(0, grantable(account));
    token_count const tokens = account.wanted > 0 ? 0 : headroom(account, possible);
    if (tokens == 0 && account.unspent() == 0)
    {
        return std::nullopt;
    }
    return issue(now, member, tokens, no_limit);
}

addressed_grant budget_pool::issue(time_point now, process_key const& member,
                                   token_count tokens, time_point limit)
{
    member_account& account = members_.at(member);
    token_count cost = tokens;
    if (account.written_off && tokens > 0)
    {
        cost += account.unspent();
        account.written_off = false;
    }
    account.granted += tokens;
    bucket_.move_out(static_cast<double>(cost));
    apply_cap();
    addressed_grant result{member, {}};
    budget_grant& grant = result.grant;
    grant.ask = account.last_ask;
    grant.query = account.last_query;
    grant.organisation = organisation_;
    grant.owner_incarnation = owner_;
    grant.member_incarnation = member.incarnation;
    grant.clock = ++clock_;
    grant.granted = account.granted;
    grant.retry_after =
        account.wanted > 0 ? time_until(now, 0, account.wanted_since) : duration(0);
    // Grants that were written off stay so: the member gives them back at once.
    time_point const until =
        account.written_off ? now : std::min(limit, funded_until(now, outstanding()));
    if (until > now)
    {
        account.grants_expire = std::max(account.grants_expire, until);
        grant.valid =
            from_seconds(seconds(until - account.heard_at) / clock_drift) - duration(1);
    }
    return result;
}

time_point budget_pool::funded_until(time_point now, token_count outstanding) const
{
    if (terms_.share_burst() <= 0)
    {
        return now;
    }
    std::vector<std::pair<time_point, double>> ends;
    for (auto const& [key, account] : members_)
    {
        if (account.lends)
        {
            ends.emplace_back(account.expires, funds(account));
        }
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    auto unfunded = static_cast<double>(outstanding) - 1e-6;
    for (auto const& [end, tokens] : ends)
    {
        unfunded -= tokens;
        if (unfunded <= 0)
        {
            return end;
        }
    }
    return now;
}

std::optional<double> budget_pool::release_own(process_key const& self)
{
    auto const own = members_.find(self);
    if (own == members_.end() || !own->second.lends || outstanding() > 0)
    {
        return std::nullopt;
    }
    double const part = level() / static_cast<double>(lendings_);
    bucket_.move_out(part);
    own->second.lends = false;
    --lendings_;
    apply_cap();
    return part;
}

std::vector<addressed_grant> budget_pool::release(time_point now, process_key const& self,
                                                  std::uint64_t last_query)
{
    std::vector<std::pair<time_point, process_key>> lenders;
    for (auto const& [key, account] : members_)
    {
        if (account.lends && key != self)
        {
            lenders.emplace_back(account.expires, key);
        }
    }
    // The freshest lendings fund the grants that remain.
    std::sort(lenders.begin(), lenders.end(), std::greater<>());
    auto unfunded = static_cast<double>(outstanding());
    auto const ends =
        std::find_if(lenders.begin(), lenders.end(),
                     [&](auto const& lender)
                     {
                         bool const needed = unfunded > 0;
                         unfunded -= needed ? funds(members_.at(lender.second)) : 0.0;
                         return !needed;
                     });
    std::vector<addressed_grant> grants;
    lenders.erase(lenders.begin(), ends);
    if (lenders.empty())
    {
        return grants;
    }
    // A member with unspent grants may spend them even if the message is lost.
    std::erase_if(lenders, [this](auto const& lender)
                  { return members_.at(lender.second).counted() > 0; });
    double const part = level() / static_cast<double>(lendings_);
    for (auto const& [expires, key] : lenders)
    {
        grants.push_back(end_lending(now, key, part, last_query));
    }
    for (auto const& [expires, key] : lenders)
    {
        members_.at(key).lends = false;
        --lendings_;
    }
    apply_cap();
    return grants;
}

addressed_grant budget_pool::end_lending(time_point now, process_key const& member,
                                         double part, std::uint64_t last_query)
{
    member_account& account = members_.at(member);
    token_count const revived = account.written_off ? account.unspent() : 0;
    token_count const tokens = static_cast<token_count>(part) - revived;
    addressed_grant ending =
        issue(now, member, std::max<token_count>(0, tokens), account.expires);
    ending.grant.ends_lending = true;
    // The tokens belong to the member's share from now on.
    account.written_off = true;
    ending.grant.query = last_query;
    account.ended_query = last_query;
    account.wanted = 0;
    return ending;
}

duration budget_pool::time_until(time_point now, double tokens, time_point since) const
{
    double wanted = tokens - level();
    for (auto const& [key, account] : members_)
    {
        wanted += account.wanted_since <= since ? static_cast<double>(account.wanted) : 0;
    }
    if (wanted <= 0)
    {
        return duration(0);
    }
    if (lendings_ == 0)
    {
        return settling_time;
    }
    double const rate = static_cast<double>(lendings_) * terms_.share_rate();
    duration const time = from_seconds(wanted / rate);
    return began_at_ + settling_time > now ? std::min(time, settling_time) : time;
}

} // namespace carawayturn::detail
