#include "faults/step.hpp"

#include <algorithm>
#include <variant>

namespace carawayturn::bench
{

namespace
{

bool writes_row(action const& done, std::string_view prefix)
{
    auto const* const commit = std::get_if<store_commit>(&done);
    return commit != nullptr &&
           std::any_of(commit->commit.writes.begin(), commit->commit.writes.end(),
                       [&](auto const& write) { return write.key.starts_with(prefix); });
}

template <order_action Action>
bool orders(action const& done)
{
    auto const* const order = std::get_if<send_order>(&done);
    return order != nullptr && order->order.action == Action;
}

template <class Message>
bool sends(action const& done)
{
    auto const* const sent = std::get_if<send_peer>(&done);
    return sent != nullptr && std::holds_alternative<Message>(sent->message);
}

bool sends_config(action const& done)
{
    auto const* const sent = std::get_if<send_peer>(&done);
    auto const* const reply =
        sent == nullptr ? nullptr : std::get_if<config_reply>(&sent->message);
    return reply != nullptr && (!reply->changes.empty() || !reply->whole_copy.empty());
}

template <class Action>
bool is(action const& done)
{
    return std::holds_alternative<Action>(done);
}

template <bool AtMostOnce>
bool dispatches(action const& done)
{
    auto const* const sent = std::get_if<dispatch_request>(&done);
    return sent != nullptr && sent->keep_answer == AtMostOnce;
}

bool writes_slot(action const& done)
{
    return writes_row(done, "slots/");
}
bool writes_config(action const& done)
{
    return writes_row(done, "config/");
}
bool writes_pool(action const& done)
{
    return writes_row(done, "pools/");
}
bool writes_runner(action const& done)
{
    return writes_row(done, "runners/");
}
bool writes_intent(action const& done)
{
    return writes_row(done, "once/");
}

// Occurrences are chosen so that the step belongs to the workload, not to the fleet's
// start.
constexpr protocol_step steps[] = {
    {"slot.renew", writes_slot, 40},
    {"slot.renew.late", writes_slot, 80},
    {"membership.gossip", sends<gossip>, 400},
    {"pool.claim", writes_pool, 1},
    {"load.commit", writes_runner, 1},
    {"load.commit.second", writes_runner, 3},
    {"load.commit.later", writes_runner, 8},
    {"load.order", orders<order_action::load>, 1},
    {"load.order.second", orders<order_action::load>, 3},
    {"adapter.order", orders<order_action::load_adapter>, 1},
    {"unload.order", orders<order_action::unload>, 1},
    {"placement.publish", sends<placement_update>, 20},
    {"demand.report", sends<demand_report>, 2},
    {"budget.query", sends<lend_query>, 200},
    {"budget.lend", sends<lend_reply>, 200},
    {"budget.ask", sends<budget_ask>, 1},
    {"budget.grant", sends<budget_grant>, 5},
    {"once.intent", writes_intent, 2},
    {"once.dispatch", dispatches<true>, 2},
    {"once.answer", writes_intent, 5},
    {"config.commit", writes_config, 2},
    {"config.spread", sends_config, 2},
    {"config.accept", is<answer_submission>, 2},
    {"stream.dispatch", dispatches<false>, 5},
    {"request.refuse", is<refuse_request>, 2},
};

} // namespace

std::span<protocol_step const> protocol_steps()
{
    return steps;
}

} // namespace carawayturn::bench
