#include "coordination/placement/pool_owner.hpp"

#include <algorithm>

namespace carawayturn::placement
{

namespace
{

// A round also runs without a change, for demand that grows, and more seldom for replicas
// that become idle: a round looks at all items of the pool.
constexpr duration round_interval = std::chrono::milliseconds(250);
constexpr duration idle_round_interval = std::chrono::seconds(1);
constexpr duration call_delay_min = std::chrono::milliseconds(100);
constexpr duration call_delay_max = std::chrono::seconds(2);

} // namespace

void pool_owner::take_demand(time_point now, instance_id const& from,
                             demand_report const& report, actions& out)
{
    if (!demand_.apply(now, from, report))
        return;
    changed_ = true;
    advance(now, out);
}

void pool_owner::advance(time_point now, actions& out)
{
    watch_lease(now, out);
    demand_.expire(now);
    bool const may_call = !call_ && next_call_ <= now && pool() != nullptr &&
                          context_.authority.lease_valid(now) && !leaving_;
    if (!owned_)
    {
        if (may_call && next_claim_check_ <= now)
        {
            next_claim_check_ = now + round_interval;
            if (is_candidate(now))
                read_pool(now, out);
        }
        return;
    }
    if (may_call && !verified_)
        return read_pool(now, out);
    if (may_call && !runners_read_)
        return read_runners({}, out);
    if (may_call && commit_)
        return read_back(out);
    if (!usable(now))
        return;
    bool const round_due = changed_ || next_round_ <= now;
    if (may_call && round_due)
    {
        refresh_ledgers(now, out);
        changed_ = false;
        next_round_ =
            now + (demand_.waiting().empty() ? idle_round_interval : round_interval);
        decide(now, out);
        if (raise_wanted_)
            raise_fence(now, out);
        else
            commit_dirty(now, out);
    }
    send_orders(now, out);
    if (round_due)
        compare_publication();
}

pool_owner::table_call& pool_owner::start_call(call_kind kind)
{
    call_ = table_call{context_.next_operation(), kind};
    return *call_;
}

void pool_owner::delay_calls(time_point now)
{
    call_delay_ = std::clamp(2 * call_delay_, call_delay_min, call_delay_max);
    next_call_ = now + call_delay_;
}

bool pool_owner::take_table_answer(time_point now, table_answered const& answer,
                                   actions& out)
{
    if (!call_ || call_->operation != answer.operation)
        return false;
    auto const kind = call_->kind;
    call_.reset();
    switch (kind)
    {
    case call_kind::read_pool:
        take_pool_row(now, answer.outcome, out);
        break;
    case call_kind::claim:
        take_claim_outcome(now, answer.outcome, out);
        break;
    case call_kind::read_runners:
        take_runner_rows(now, answer.outcome, out);
        break;
    case call_kind::commit_rows:
        take_commit_outcome(now, answer.outcome, out);
        break;
    case call_kind::read_back:
        take_read_back(now, answer.outcome, out);
        break;
    case call_kind::raise_fence:
        take_raise_outcome(answer.outcome, out);
        break;
    }
    advance(now, out);
    return true;
}

bool pool_owner::has_runner(backend_id const& runner) const
{
    return ledgers_.contains(runner);
}

} // namespace carawayturn::placement
