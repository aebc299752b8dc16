#include "coordination/detail/fleet_budget.hpp"

namespace carawayturn::detail
{

namespace
{

constexpr std::uint16_t log_owner_changed = 301;
constexpr std::uint16_t log_owner_silent = 303;
constexpr std::uint16_t log_shares_released = 304;

} // namespace

void fleet_budget::send(instance_id const& to, peer_message message, actions& out) const
{
    if (auto const* const member = election_.find(to))
    {
        out.emplace_back(send_peer{to, member->peer_address, std::move(message)});
    }
}

void fleet_budget::send_grants(std::vector<addressed_grant> grants, actions& out)
{
    for (auto& entry : grants)
    {
        send(entry.member.id, std::move(entry.grant), out);
    }
}

void fleet_budget::step(time_point now, actions& out)
{
    update_members(now);
    update_slot(now);
    std::vector<organisation_id> queried;
    bool const due = queried_at_ + query_period <= now || queried_at_ > now;
    for (auto& [organisation, account] : accounts_)
    {
        if (!account.busy(now))
        {
            continue;
        }
        static_cast<void>(refreshed(now, organisation));
        step_account(now, organisation, account, out);
        if (due && account.owned)
        {
            queried.push_back(organisation);
        }
    }
    if (due)
    {
        queried_at_ = now;
        std::erase_if(queries_, [now](auto const& entry)
                      { return entry.second + lend_period < now; });
        query_members(now, queried, out);
    }
}

void fleet_budget::step_account(time_point now, organisation_id const& organisation,
                                budget_account& account, actions& out)
{
    charge_long_held(now, terms_of(organisation), account);
    step_pool(now, organisation, account, out);
    serve_members(now, organisation, account, out);
    retry_ask(now, organisation, account, out);
}

void fleet_budget::step_pool(time_point now, organisation_id const& organisation,
                             budget_account& account, actions& out)
{
    bool const owner = acts_as_owner(now, organisation) && account.pool.active(now);
    if (owner != account.owned)
    {
        account.owned = owner;
        out.emplace_back(log_record{log_owner_changed, organisation.str(),
                                    owner ? "this instance owns the budget"
                                          : "this instance gave the budget up"});
    }
    if (!owner)
    {
        release_pool(now, organisation, account, out);
        return;
    }
    if (auto const tokens = account.share.lend_to_self(now, self()))
    {
        account.pool.lend_own(now, self(), *tokens, account.share.base_reserved());
    }
}

void fleet_budget::release_pool(time_point now, organisation_id const& organisation,
                                budget_account& account, actions& out)
{
    if (account.pool.lendings() == 0)
    {
        return;
    }
    auto const grants = account.pool.release(now, self(), query_);
    if (!grants.empty())
    {
        out.emplace_back(log_record{log_shares_released, organisation.str(),
                                    std::to_string(grants.size()) + " shares"});
    }
    send_grants(grants, out);
    if (account.pool.lendings() == 1)
    {
        if (auto const part = account.pool.release_own(self()))
        {
            account.share.end_own_lending(now, *part);
        }
    }
}

bool fleet_budget::acts_as_owner(time_point now,
                                 organisation_id const& organisation) const
{
    auto const* const owner = election_.owner(now, organisation);
    return !leaving_ && owner != nullptr && owner->id == identity_.id;
}

void fleet_budget::query_members(time_point now,
                                 std::vector<organisation_id> const& organisations,
                                 actions& out)
{
    if (organisations.empty())
    {
        return;
    }
    queries_.emplace(++query_, now);
    for (auto const& member : election_.members())
    {
        if (member.id != identity_.id && member.has_slot)
        {
            send(member.id, lend_query{query_, identity_.incarnation, organisations},
                 out);
        }
    }
}

void fleet_budget::query_member(time_point now, instance_id const& to,
                                std::vector<organisation_id> organisations, actions& out)
{
    queries_.emplace(++query_, now);
    send(to, lend_query{query_, identity_.incarnation, std::move(organisations)}, out);
}

void fleet_budget::serve_members(time_point now, organisation_id const& organisation,
                                 budget_account& account, actions& out)
{
    // Requests here and other members take turns to be served first.
    account.members_first = !account.members_first;
    if (!account.members_first)
    {
        serve_waiting(now, organisation, account, out);
    }
    send_grants(account.pool.distribute(now), out);
    if (account.members_first)
    {
        serve_waiting(now, organisation, account, out);
    }
}

member_entry const* fleet_budget::owner_to_ask(time_point now,
                                               organisation_id const& organisation,
                                               budget_account const& account) const
{
    // While the share is lent, only its borrower can have tokens from it.
    if (auto const lent = account.share.lent_to(now))
    {
        auto const* const member = election_.find(lent->id);
        if (member != nullptr && member->incarnation == lent->incarnation &&
            !election_.suspected(now, lent->id))
        {
            return member;
        }
    }
    return election_.owner(now, organisation);
}

void fleet_budget::ask_owner(time_point now, organisation_id const& organisation,
                             budget_account& account, actions& out)
{
    if (election_.members().empty())
    {
        update_members(now);
    }
    account.answered = false;
    account.asked_at = now;
    auto const* const owner = owner_to_ask(now, organisation, account);
    if (owner == nullptr)
    {
        return;
    }
    if (owner->id == identity_.id)
    {
        account.pool.note_activity(now);
        if (!account.owned && !leaving_)
        {
            step_pool(now, organisation, account, out);
            query_members(now, {organisation}, out);
        }
        return;
    }
    process_key const key{owner->id, owner->incarnation};
    budget_ask ask{++ask_, identity_.incarnation, account.share.counters(key)};
    ask.entry.organisation = organisation;
    ask.entry.wanted = wanted(now, account);
    account.answer_wanted = ask.entry.wanted;
    account.share.note_ask(now, key, ask.ask);
    send(owner->id, ask, out);
}

void fleet_budget::retry_ask(time_point now, organisation_id const& organisation,
                             budget_account& account, actions& out)
{
    // An answered ask is repeated less often, in case the owner has gone since.
    duration const pause = account.answered ? 2 * query_period : query_period;
    if (account.waiting.empty() || account.asked_at + pause > now)
    {
        return;
    }
    auto const* const owner = owner_to_ask(now, organisation, account);
    if (owner != nullptr && election_.suspect_if_silent(now, owner->id))
    {
        out.emplace_back(log_record{log_owner_silent, organisation.str(),
                                    owner->id.str() + " does not answer"});
    }
    ask_owner(now, organisation, account, out);
}

void fleet_budget::receive(time_point now, instance_id const& from,
                           peer_message const& message, actions& out)
{
    election_.note_heard(now, from);
    if (auto const* const query = std::get_if<lend_query>(&message))
    {
        on_query(now, from, *query, out);
    }
    else if (auto const* const reply = std::get_if<lend_reply>(&message))
    {
        on_reply(now, from, *reply, out);
    }
    else if (auto const* const ask = std::get_if<budget_ask>(&message))
    {
        on_ask(now, from, *ask, out);
    }
    else if (auto const* const grant = std::get_if<budget_grant>(&message))
    {
        on_grant(now, from, *grant, out);
    }
}

void fleet_budget::on_query(time_point now, instance_id const& from,
                            lend_query const& query, actions& out)
{
    process_key const owner{from, query.incarnation};
    std::uint64_t& answered = answered_[owner];
    if (query.query <= answered)
    {
        return;
    }
    answered = query.query;
    std::erase_if(answered_, [&](auto const& entry)
                  { return entry.first.id == from && entry.first < owner; });
    lend_reply reply{query.query, identity_.incarnation, {}};
    for (auto const& organisation : query.organisations)
    {
        budget_account* const account = refreshed(now, organisation);
        if (account == nullptr)
        {
            continue;
        }
        if (account->waiting.empty() && account->used_at + idle_grant_period < now)
        {
            account->share.return_grants();
        }
        lend_entry entry = account->share.lend(now, owner, query.query, !leaving_);
        entry.organisation = organisation;
        entry.wanted = wanted(now, *account);
        account->answer_wanted = entry.wanted;
        reply.entries.push_back(std::move(entry));
    }
    send(from, std::move(reply), out);
}

void fleet_budget::on_reply(time_point now, instance_id const& from,
                            lend_reply const& reply, actions& out)
{
    process_key const member{from, reply.incarnation};
    auto const sent = queries_.find(reply.query);
    time_point const sent_at =
        sent == queries_.end() ? now - 2 * lend_period : sent->second;
    std::vector<organisation_id> again;
    for (auto const& entry : reply.entries)
    {
        budget_account* const account = refreshed(now, entry.organisation);
        if (account == nullptr)
        {
            continue;
        }
        if (account->pool.merge_reply(now, member, entry, reply.query, sent_at))
        {
            again.push_back(entry.organisation);
        }
        if (auto grant = account->pool.renew(now, member))
        {
            send_grants({std::move(*grant)}, out);
        }
        serve_members(now, entry.organisation, *account, out);
    }
    if (!again.empty())
    {
        query_member(now, from, std::move(again), out);
    }
}

void fleet_budget::on_ask(time_point now, instance_id const& from, budget_ask const& ask,
                          actions& out)
{
    organisation_id const& organisation = ask.entry.organisation;
    budget_account* const account = refreshed(now, organisation);
    if (account == nullptr)
    {
        return;
    }
    auto const* const owner = election_.owner(now, organisation);
    if (owner != nullptr && owner->id != identity_.id && account->pool.lendings() == 0)
    {
        // The asking member passes the owner over; so does this one if it agrees.
        static_cast<void>(election_.suspect_if_silent(now, owner->id));
    }
    bool const owns = acts_as_owner(now, organisation);
    if (!owns && account->pool.lendings() == 0)
    {
        return;
    }
    process_key const member{from, ask.incarnation};
    account->pool.merge_ask(now, member, ask);
    if (owns && !account->owned)
    {
        step_pool(now, organisation, *account, out);
        query_members(now, {organisation}, out);
    }
    auto grants = account->pool.distribute(now);
    bool const served = std::any_of(grants.begin(), grants.end(),
                                    [&member](addressed_grant const& entry)
                                    { return entry.member == member; });
    if (!served)
    {
        grants.push_back(account->pool.grant(now, member));
    }
    send_grants(std::move(grants), out);
}

void fleet_budget::on_grant(time_point now, instance_id const& from,
                            budget_grant const& grant, actions& out)
{
    budget_account* const account = refreshed(now, grant.organisation);
    if (account == nullptr || grant.member_incarnation != identity_.incarnation)
    {
        return;
    }
    process_key const owner{from, grant.owner_incarnation};
    if (!account->share.accept(now, owner, grant, terms_of(grant.organisation)))
    {
        return;
    }
    account->answered = true;
    account->ready_at.reset();
    if (grant.retry_after > duration(0))
    {
        account->ready_at = now + grant.retry_after;
    }
    serve_waiting(now, grant.organisation, *account, out);
}

} // namespace carawayturn::detail
