#include "coordination/detail/fleet_budget.hpp"

#include <boost/json.hpp>

#include <cmath>

namespace carawayturn::detail
{

namespace
{

constexpr std::uint16_t log_request_above_burst = 302;

/// Bounds of the time for which a reservation of granted tokens is held against the
/// owner's cap, so that its remainder can be given back in full.
constexpr double shortest_hold = 0.1;
constexpr double longest_hold = 30;

} // namespace

fleet_budget::fleet_budget(instance_identity identity, config_log const& config,
                           serving_authority const& authority)
    : identity_(std::move(identity)), config_(config), authority_(authority),
      election_(identity_.id)
{
}

process_key fleet_budget::self() const
{
    return {identity_.id, identity_.incarnation};
}

void fleet_budget::handle(time_point now, event const& input, actions& out)
{
    if (auto const* const received = std::get_if<peer_received>(&input))
    {
        receive(now, received->from, received->message, out);
    }
    else if (std::holds_alternative<tick>(input) ||
             std::holds_alternative<config_changed>(input))
    {
        step(now, out);
    }
}

void fleet_budget::update_slot(time_point now)
{
    auto const held = authority_.slot();
    std::optional<std::pair<slot_number, fencing_number>> current;
    if (held)
    {
        current.emplace(held->slot, held->fence);
    }
    if (current && current != slot_)
    {
        ++slot_epoch_;
        // The first holder of a slot finds its share untouched.
        bool const first = held->fence <= 1;
        standing_.usable_from = first ? now : now + takeover_delay;
        slot_ = current;
    }
    standing_.owning = held.has_value() && authority_.owns_base_share(now);
}

void fleet_budget::update_members(time_point now)
{
    election_.update(now, authority_.live_members(now));
}

budget_terms fleet_budget::terms_of(organisation_id const& organisation) const
{
    fleet_config const& config = config_.current();
    auto const found = config.organisations.find(organisation);
    budget_terms terms;
    terms.slots = std::max(1U, config.instance_slots);
    if (found != config.organisations.end())
    {
        terms.rate = std::max(0.0, found->second.rate);
        terms.burst = static_cast<double>(std::max<token_count>(0, found->second.burst));
    }
    return terms;
}

budget_account* fleet_budget::refreshed(time_point now,
                                        organisation_id const& organisation)
{
    update_slot(now);
    auto found = accounts_.find(organisation);
    if (found == accounts_.end())
    {
        if (!config_.current().organisations.contains(organisation))
        {
            return nullptr;
        }
        found = accounts_.try_emplace(organisation, organisation, identity_.incarnation)
                    .first;
    }
    budget_account& account = found->second;
    budget_terms const terms = terms_of(organisation);
    if (account.slot_epoch != slot_epoch_)
    {
        account.slot_epoch = slot_epoch_;
        bool const first = slot_ && slot_->second <= 1;
        account.share.restart(standing_.usable_from, first ? terms.share_burst() : 0.0);
    }
    account.share.refresh(now, terms, standing_);
    account.pool.refresh(now, terms);
    return &account;
}

reserve_answer fleet_budget::reserve(time_point now, request_id const& request,
                                     organisation_id const& organisation,
                                     token_count tokens, actions& out)
{
    budget_account* const account = refreshed(now, organisation);
    if (account == nullptr || reservations_.contains(request) ||
        waiting_.contains(request))
    {
        return {reserve_outcome::refused, longest_retry};
    }
    if (static_cast<double>(tokens) > terms_of(organisation).burst)
    {
        out.emplace_back(
            log_record{log_request_above_burst, organisation.str(),
                       request.str() + " needs " + std::to_string(tokens) + " tokens"});
        return {reserve_outcome::refused, longest_retry};
    }
    account->used_at = now;
    if (account->waiting.empty() && take(now, request, organisation, *account, tokens))
    {
        return {reserve_outcome::granted, duration(0)};
    }
    account->waiting.push_back({request, tokens, now});
    waiting_.emplace(request, organisation);
    ask_owner(now, organisation, *account, out);
    return {reserve_outcome::pending, duration(0)};
}

bool fleet_budget::take(time_point now, request_id const& request,
                        organisation_id const& organisation, budget_account& account,
                        token_count tokens)
{
    auto const pooled = static_cast<token_count>(account.pool.level());
    if (account.share.spendable(now) + pooled < tokens)
    {
        return false;
    }
    reservation taken;
    taken.organisation = organisation;
    token_count missing = std::max<token_count>(0, tokens);
    // Grants go first: they expire.
    taken.granted = account.share.take_granted(missing);
    for (auto const& part : taken.granted)
    {
        missing -= part.tokens;
    }
    taken.base =
        std::min(missing, static_cast<token_count>(account.share.base_level(now)));
    taken.base_mark = account.share.base().reserve(static_cast<double>(taken.base));
    taken.pool = missing - taken.base;
    taken.pool_mark = account.pool.bucket().reserve(static_cast<double>(taken.pool));
    account.pool.note_activity(taken.pool > 0 ? now : time_point::min());
    if (!taken.granted.empty())
    {
        account.held.emplace_back(now, request);
    }
    reservations_.emplace(request, std::move(taken));
    return true;
}

void fleet_budget::settle(time_point now, request_id const& request, token_count used)
{
    if (withdraw(request))
    {
        return;
    }
    auto const found = reservations_.find(request);
    if (found == reservations_.end())
    {
        return;
    }
    budget_account* const account = refreshed(now, found->second.organisation);
    if (account != nullptr)
    {
        settle_parts(*account, found->second, std::max<token_count>(0, used));
    }
    reservations_.erase(found);
}

void fleet_budget::settle_parts(budget_account& account, reservation& taken,
                                token_count used)
{
    auto const charge = [&used](token_count part)
    {
        token_count const charged = std::min(used, part);
        used -= charged;
        return charged;
    };
    auto const from_base = static_cast<double>(charge(taken.base));
    account.share.base().settle(static_cast<double>(taken.base), from_base,
                                taken.base_mark);
    auto const from_pool = static_cast<double>(charge(taken.pool));
    account.pool.bucket().settle(static_cast<double>(taken.pool), from_pool,
                                 taken.pool_mark);
    for (auto const& part : taken.granted)
    {
        account.share.settle_granted(part, charge(part.tokens));
    }
    // Use beyond the upper bound becomes a debt of the base share.
    account.share.base().move_out(static_cast<double>(used));
}

void fleet_budget::charge_long_held(time_point now, budget_terms const& terms,
                                    budget_account& account)
{
    double const hold = terms.rate > 0 ? terms.burst / (2 * terms.rate) : shortest_hold;
    duration const limit = from_seconds(std::clamp(hold, shortest_hold, longest_hold));
    while (!account.held.empty() && account.held.front().first + limit <= now)
    {
        auto const found = reservations_.find(account.held.front().second);
        if (found != reservations_.end())
        {
            for (auto& part : found->second.granted)
            {
                account.share.charge_held(part);
            }
        }
        account.held.pop_front();
    }
}

bool fleet_budget::withdraw(request_id const& request)
{
    auto const found = waiting_.find(request);
    if (found == waiting_.end())
    {
        return false;
    }
    std::erase_if(accounts_.at(found->second).waiting,
                  [&request](waiting_request const& entry)
                  { return entry.request == request; });
    waiting_.erase(found);
    return true;
}

token_count fleet_budget::wanted(time_point now, budget_account const& account) const
{
    token_count sum = 0;
    for (auto const& entry : account.waiting)
    {
        sum += entry.tokens;
    }
    return std::max<token_count>(0, sum - account.share.spendable(now));
}

void fleet_budget::serve_waiting(time_point now, organisation_id const& organisation,
                                 budget_account& account, actions& out)
{
    while (!account.waiting.empty())
    {
        waiting_request const head = account.waiting.front();
        if (!take(now, head.request, organisation, account, head.tokens))
        {
            break;
        }
        account.waiting.pop_front();
        waiting_.erase(head.request);
        account.used_at = now;
        out.emplace_back(raise_event{budget_decided{head.request, true, duration(0)}});
    }
    refuse_late(now, organisation, account, out);
}

void fleet_budget::refuse_late(time_point now, organisation_id const& organisation,
                               budget_account& account, actions& out)
{
    bool const undecided = !account.answered && account.asked_at + ask_limit > now;
    double const rate = std::max(terms_of(organisation).rate, 1e-3);
    token_count ahead = 0;
    std::deque<waiting_request> kept;
    for (auto& entry : account.waiting)
    {
        token_count const needed = ahead + entry.tokens;
        auto const wait = expected_wait(now, organisation, account, entry, needed);
        time_point const limit = entry.since + wait_limit;
        if (limit > now && (undecided || !wait || now + *wait <= limit))
        {
            ahead = needed;
            kept.push_back(std::move(entry));
            continue;
        }
        duration const accrual = from_seconds(static_cast<double>(needed) / rate);
        duration const retry = wait.value_or(duration(0)) > wait_limit ? *wait : accrual;
        waiting_.erase(entry.request);
        out.emplace_back(raise_event{budget_decided{entry.request, false, retry}});
    }
    account.waiting = std::move(kept);
}

std::optional<duration> fleet_budget::expected_wait(time_point now,
                                                    organisation_id const& id,
                                                    budget_account const& account,
                                                    waiting_request const& entry,
                                                    token_count ahead) const
{
    if (acts_as_owner(now, id) && account.pool.lendings() > 0)
    {
        token_count const own = ahead - account.share.spendable(now);
        return account.pool.time_until(now, static_cast<double>(own), entry.since);
    }
    if (!account.ready_at)
    {
        return std::nullopt;
    }
    // The owner's answer is for all requests that waited here when it was asked.
    budget_terms const terms = terms_of(id);
    double const others =
        static_cast<double>(account.answer_wanted + account.share.spendable(now) - ahead);
    duration const earlier =
        others > 0 && terms.rate > 0 ? from_seconds(others / terms.rate) : duration(0);
    return std::max(duration(0), *account.ready_at - now - earlier);
}

void fleet_budget::release_all(time_point now, actions& out)
{
    leaving_ = true;
    update_members(now);
    for (auto& [organisation, unused] : accounts_)
    {
        budget_account& account = *refreshed(now, organisation);
        release_pool(now, organisation, account, out);
        if (account.share.granted_available() == 0)
        {
            continue;
        }
        account.share.return_grants();
        for (auto const& owner : account.share.owners())
        {
            budget_ask ask{++ask_, identity_.incarnation, account.share.counters(owner)};
            ask.entry.organisation = organisation;
            send(owner.id, ask, out);
        }
    }
}

std::string fleet_budget::dump(time_point now) const
{
    boost::json::object organisations;
    for (auto const& [id, account] : accounts_)
    {
        auto const lent = account.share.lent_to(now);
        auto const* const owner = election_.owner(now, id);
        organisations[id.str()] = {
            {"base_level", account.share.base_level(now)},
            {"granted_available", account.share.granted_available()},
            {"lent_to", lent ? lent->id.str() : ""},
            {"owner", owner != nullptr ? owner->id.str() : ""},
            {"pool_level", account.pool.level()},
            {"pool_lendings", account.pool.lendings()},
            {"pool_outstanding", account.pool.outstanding()},
            {"waiting", account.waiting.size()},
        };
    }
    return boost::json::serialize(boost::json::object{
        {"organisations", std::move(organisations)},
        {"reservations", reservations_.size()},
        {"owns_base_share", standing_.owning},
        {"leaving", leaving_},
    });
}

} // namespace carawayturn::detail
