#include "coordination/placement/pool_owner.hpp"

#include <algorithm>

namespace carawayturn::placement
{

namespace
{

// An order that leaves with less lease time than this might reach the engine after the
// lease has lapsed.
constexpr duration lease_reserve = std::chrono::milliseconds(500);

bool is_unload(order_action action)
{
    return action == order_action::unload || action == order_action::unload_adapter;
}

bool acknowledges_load(order_result value)
{
    return value == order_result::done || value == order_result::already;
}

bool acknowledges_unload(order_result value)
{
    return value == order_result::done || value == order_result::already ||
           value == order_result::not_loaded;
}

/// Whether the engine processed the order and so knows its fencing number.
bool shows_fence(order_result value)
{
    return value != order_result::stale_fence && value != order_result::not_delivered &&
           value != order_result::unknown;
}

duration next_delay(duration delay, placement_manager::policy const& limits)
{
    return std::clamp(2 * delay, limits.repeat_delay_min, limits.repeat_delay_max);
}

void settle_copy(order_copies& copies, order_answered const& answer)
{
    if (copies.in_flight > 0)
        --copies.in_flight;
    if (answer.outcome == order_result::unknown)
    {
        ++copies.lost;
        copies.lost_fence = std::max(copies.lost_fence, answer.order.fence);
    }
    // The order had nothing left to do, so one of the lost copies has taken effect.
    bool const nothing_left =
        answer.outcome == order_result::already ||
        (answer.outcome == order_result::not_loaded && is_unload(answer.order.action));
    if (nothing_left && copies.lost > 0)
        --copies.lost;
}

order_action action_for(held_item const& item)
{
    bool const unloads = item.in(reservation_phase::unloading);
    if (item.is_model())
        return unloads ? order_action::unload : order_action::load;
    return unloads ? order_action::unload_adapter : order_action::load_adapter;
}

} // namespace

engine_order pool_owner::order_for(runner_ledger const& ledger,
                                   held_item const& item) const
{
    return {item.needed(),    ledger.id(),    owned_->fence,
            action_for(item), item.what.item, {}};
}

bool pool_owner::may_send(time_point now, engine_order const& order) const
{
    if (!usable(now) || context_.authority.lease_left(now) <= lease_reserve ||
        order.fence != owned_->fence)
        return false;
    auto const found = ledgers_.find(order.backend);
    if (found == ledgers_.end())
        return false;
    auto const& ledger = found->second;
    if (order.decision == ledger.fence_decision())
        return ledger.durable() && ledger.durable()->fence == ledger.owner_fence();
    auto const* const item = ledger.find(order.decision);
    return item != nullptr && item->needed() == order.decision &&
           action_for(*item) == order.action && ledger.durably_needed(*item);
}

void pool_owner::send_orders(time_point now, actions& out)
{
    for (auto& [id, ledger] : ledgers_)
    {
        auto const* const info = context_.runners.find(id);
        if (info == nullptr || !info->reachable)
            continue;
        if (info->report && ledger.needs_fence(*info->report))
            send_fence_order(now, ledger, out);
        for (auto& item : ledger.items())
            send_item_order(now, ledger, item, out);
    }
}

void pool_owner::send_item_order(time_point now, runner_ledger& ledger, held_item& item,
                                 actions& out)
{
    if (item.refused || item.next_send > now || !ledger.durably_needed(item))
        return;
    bool const unloads = item.in(reservation_phase::unloading);
    auto& copies = unloads ? item.unload : item.load;
    bool const fetches = !unloads && item.uses_store();
    auto const* const config = pool();
    if (copies.in_flight > 0 || config == nullptr ||
        (fetches && !pace_.allows(now, config->loads_per_second)))
        return;
    auto order = order_for(ledger, item);
    if (!may_send(now, order))
        return;
    if (copies.sent++ == 0)
        item.first_sent = now;
    ++copies.in_flight;
    copies.last_sent = now;
    if (fetches)
        pace_.note_start(now);
    out.emplace_back(send_order{std::move(order)});
}

void pool_owner::send_fence_order(time_point now, runner_ledger& ledger, actions& out)
{
    auto& fence = ledger.fence();
    auto const* const info = context_.runners.find(ledger.id());
    engine_order order{ledger.fence_decision(), ledger.id(), owned_->fence,
                       order_action::set_role,  {},          info->report->role};
    if (fence.in_flight > 0 || fence.next_send > now || !may_send(now, order))
        return;
    ++fence.in_flight;
    out.emplace_back(send_order{std::move(order)});
}

void pool_owner::take_order_answer(time_point now, order_answered const& answer,
                                   actions& out)
{
    auto const found = ledgers_.find(answer.order.backend);
    if (!owned_ || found == ledgers_.end())
        return;
    auto& ledger = found->second;
    changed_ = true;
    if (answer.order.decision == ledger.fence_decision())
        take_fence_answer(now, ledger, answer, out);
    else if (auto* const item = note_answer_incarnation(now, ledger, answer, out))
    {
        if (is_unload(answer.order.action))
            take_unload_answer(now, ledger, *item, answer, out);
        else
            take_load_answer(now, ledger, *item, answer, out);
    }
    // The engine has seen a higher number: this owner's own raised one, or a new owner's.
    if (answer.outcome == order_result::stale_fence &&
        answer.order.fence >= owned_->fence)
        verified_ = false;
    advance(now, out);
}

void pool_owner::take_fence_answer(time_point now, runner_ledger& ledger,
                                   order_answered const& answer, actions& out)
{
    auto& fence = ledger.fence();
    fence.in_flight = 0;
    if (shows_fence(answer.outcome))
    {
        ledger.note_fence_seen();
        return;
    }
    fence.delay = next_delay(fence.delay, context_.limits);
    fence.next_send = now + fence.delay;
    log(406, ledger.id().str(), std::string(name_of(answer.outcome)), out);
}

held_item* pool_owner::note_answer_incarnation(time_point now, runner_ledger& ledger,
                                               order_answered const& answer, actions& out)
{
    auto* const item = ledger.find(answer.order.decision);
    if (item == nullptr)
        return nullptr;
    bool const unloads = is_unload(answer.order.action);
    bool const own_copy = answer.order.fence >= ledger.owner_fence();
    if (own_copy)
        settle_copy(unloads ? item->unload : item->load, answer);
    if (shows_fence(answer.outcome) && own_copy)
        ledger.note_fence_seen();
    if (answer.incarnation == 0 || answer.incarnation == ledger.incarnation())
        return item;
    if (answer.incarnation < ledger.incarnation())
    {
        // What the former process did has ended with it.
        repeat_later(now, *item, order_result::not_delivered, ledger.id(), out);
        return nullptr;
    }
    // The order itself was executed by the new process, so its load stays reserved.
    auto& copies = item->load;
    copies.in_flight += unloads ? 0 : 1;
    if (ledger.note_incarnation(now, answer.incarnation, context_.limits.report_lag))
        log(408, ledger.id().str(), "incarnation in an answer", out);
    auto* const kept = ledger.find(answer.order.decision);
    if (kept != nullptr && !unloads)
        --kept->load.in_flight;
    return kept;
}

void pool_owner::take_load_answer(time_point now, runner_ledger& ledger, held_item& item,
                                  order_answered const& answer, actions& out)
{
    if (!item.in(reservation_phase::loading))
        return;
    if (acknowledges_load(answer.outcome))
        return mark_loaded(now, ledger, item);
    if (answer.outcome == order_result::no_memory)
    {
        // The reservation stays until the next report shows what holds the memory.
        item.refused = true;
        log(407, ledger.id().str(), "no_memory for " + item.what.item.model.str(), out);
        return;
    }
    repeat_later(now, item, answer.outcome, ledger.id(), out);
    auto const* const info = context_.runners.find(ledger.id());
    // The engine has lost the adapter's model; the adapter is placed anew.
    if (answer.outcome == order_result::not_loaded && info != nullptr && info->report &&
        unload_is_safe(item, *info->report))
        unload_item(now, ledger, item, out);
}

void pool_owner::mark_loaded(time_point now, runner_ledger& ledger, held_item& item)
{
    auto const* const info = context_.runners.find(ledger.id());
    // With more than one copy it is not known which of them was slow.
    if (item.load.sent == 1 && info != nullptr && info->report)
        times_.note(item.what.item, tier_of(*info->report, item.what.item.model),
                    now - item.first_sent);
    item.what.phase = reservation_phase::loaded;
    item.what.settled = !item.inherited && !item.load.open();
    item.loaded_at = now;
    item.missing_since.reset();
    item.delay = duration::zero();
}

void pool_owner::take_unload_answer(time_point now, runner_ledger& ledger,
                                    held_item& item, order_answered const& answer,
                                    actions& out)
{
    if (!item.in(reservation_phase::unloading))
        return;
    if (acknowledges_unload(answer.outcome))
        return ledger.free_item(item.what.unload, now + context_.limits.report_lag);
    repeat_later(now, item, answer.outcome, ledger.id(), out);
}

void pool_owner::repeat_later(time_point now, held_item& item, order_result outcome,
                              backend_id const& runner, actions& out)
{
    item.delay = next_delay(item.delay, context_.limits);
    item.next_send = now + item.delay;
    log(406, runner.str(),
        item.needed().str() + " after " + std::string(name_of(outcome)), out);
}

} // namespace carawayturn::placement
