#include "coordination/instance_core.hpp"

#include "coordination/backend_directory.hpp"
#include "coordination/budget_manager.hpp"
#include "coordination/config_log.hpp"
#include "coordination/idempotency_ledger.hpp"
#include "coordination/poison_ledger.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

namespace carawayturn
{

namespace
{

constexpr std::uint16_t event_drain_started = 802;
constexpr std::uint16_t event_drain_limit_reached = 804;

/// Time for the last writes (released slot and pools) to reach the table service.
constexpr duration departure_grace = std::chrono::milliseconds(500);

/// Bounds of what one gossip message carries, so that its size stays flat.
constexpr std::size_t gossip_poison_signatures = 4;
constexpr std::size_t gossip_leaving_servers = 16;

/// Where a draining instance stands.
enum class drain_phase
{
    none,
    /// Not ready, but requests are still accepted until the balancer has noticed.
    noticed,
    /// Nothing new is accepted; open requests finish.
    finishing,
    /// Ownership is released; the last writes are on their way.
    leaving,
    finished
};

} // namespace

struct instance_core::state
{
    explicit state(core_settings chosen);

    void handle_one(time_point now, event const& input, actions& out);
    void complete_gossip(action& done);
    void update_ready(time_point now, actions& out);
    void start_drain(time_point now, actions& out);
    void advance_drain(time_point now, actions& out);
    void finish_requests(time_point now, actions& out);
    void leave(time_point now, actions& out);
    [[nodiscard]] bool drain_limit_reached(time_point now) const
    {
        return now - drain_started >= settings.drain.limit;
    }

    core_settings settings;
    std::unique_ptr<serving_authority> authority;
    std::unique_ptr<config_log> config;
    std::unique_ptr<backend_directory> backends;
    std::unique_ptr<budget_manager> budgets;
    std::unique_ptr<placement_manager> placement;
    std::unique_ptr<idempotency_ledger> idempotency;
    std::unique_ptr<poison_ledger> poison;
    std::unique_ptr<request_flow> flow;
    /// In the order in which they see each event.
    std::vector<std::pair<char const*, component*>> components;

    bool ready = false;
    drain_phase drain = drain_phase::none;
    time_point drain_started{};
    std::size_t busy_callers = 0;
    time_point left_at{};
};

instance_core::state::state(core_settings chosen) : settings(std::move(chosen))
{
    auto const& identity = settings.identity;
    authority = serving_authority::create(identity, settings.lease);
    config = config_log::create(identity, *authority);
    backends = backend_directory::create();
    budgets = budget_manager::create(identity, *config, *authority);
    placement =
        placement_manager::create(identity, *config, *authority, settings.placement);
    idempotency = idempotency_ledger::create(identity, *authority);
    poison = poison_ledger::create(identity, *authority);
    flow = request_flow::create(
        identity,
        {*config, *authority, *backends, *budgets, *placement, *idempotency, *poison},
        settings.flow);
    components = {{"authority", authority.get()}, {"config", config.get()},
                  {"backends", backends.get()},   {"budgets", budgets.get()},
                  {"placement", placement.get()}, {"idempotency", idempotency.get()},
                  {"poison", poison.get()},       {"requests", flow.get()}};
}

void instance_core::state::handle_one(time_point now, event const& input, actions& out)
{
    for (auto const& [name, part] : components)
        part->handle(now, input, out);
    if (std::holds_alternative<drain_requested>(input))
        start_drain(now, out);
    if (auto const* const callers = std::get_if<callers_busy>(&input))
    {
        busy_callers = callers->connections;
        // Requests that are refused one after the other leave short gaps, which a tick
        // may miss.
        advance_drain(now, out);
    }
    if (std::holds_alternative<tick>(input))
    {
        advance_drain(now, out);
        update_ready(now, out);
    }
}

/// Adds to outgoing gossip what other components spread by it.
void instance_core::state::complete_gossip(action& done)
{
    auto* const sent = std::get_if<send_peer>(&done);
    auto* const message = sent == nullptr ? nullptr : std::get_if<gossip>(&sent->message);
    if (message == nullptr)
        return;
    message->poisonous = poison->next_for_gossip(gossip_poison_signatures);
    message->leaving = backends->leaving();
    if (message->leaving.size() > gossip_leaving_servers)
        message->leaving.resize(gossip_leaving_servers);
}

void instance_core::state::update_ready(time_point now, actions& out)
{
    bool const now_ready = drain == drain_phase::none && config->current().version > 0 &&
                           authority->may_serve(now);
    if (now_ready == ready)
        return;
    ready = now_ready;
    if (drain == drain_phase::none)
        authority->set_state(now, ready ? instance_state::ready : instance_state::joining,
                             out);
    out.push_back(set_ready{ready});
}

void instance_core::state::start_drain(time_point now, actions& out)
{
    if (drain != drain_phase::none)
        return;
    drain = drain_phase::noticed;
    drain_started = now;
    out.push_back(log_record{event_drain_started, settings.identity.id.str(), ""});
    authority->set_state(now, instance_state::draining, out);
    update_ready(now, out);
}

void instance_core::state::advance_drain(time_point now, actions& out)
{
    if (drain == drain_phase::noticed && now - drain_started >= settings.drain.notice)
    {
        drain = drain_phase::finishing;
        flow->stop_accepting();
    }
    if (drain == drain_phase::finishing)
        finish_requests(now, out);
    // A request that begins to arrive during the last writes is answered as well.
    if (drain == drain_phase::leaving && now - left_at >= departure_grace &&
        (busy_callers == 0 || drain_limit_reached(now)))
    {
        drain = drain_phase::finished;
        out.push_back(drain_finished{});
    }
}

void instance_core::state::finish_requests(time_point now, actions& out)
{
    bool const limit_reached = drain_limit_reached(now);
    // A request that is still being read is open at its connection only.
    auto const open = std::max(flow->open_requests(), busy_callers);
    if (limit_reached && open > 0)
    {
        out.push_back(log_record{event_drain_limit_reached, settings.identity.id.str(),
                                 std::to_string(open)});
        flow->refuse_all(now, out);
    }
    if (limit_reached || (open == 0 && idempotency->writes_in_progress() == 0))
        leave(now, out);
}

void instance_core::state::leave(time_point now, actions& out)
{
    drain = drain_phase::leaving;
    left_at = now;
    budgets->release_all(now, out);
    placement->release_all(now, out);
    authority->set_state(now, instance_state::left, out);
}

instance_core::instance_core(core_settings settings)
    : state_(std::make_unique<state>(std::move(settings)))
{
}

instance_core::~instance_core() = default;

actions instance_core::handle(time_point now, event const& input)
{
    actions done;
    std::deque<event> pending{input};
    while (!pending.empty())
    {
        event const current = std::move(pending.front());
        pending.pop_front();
        actions produced;
        state_->handle_one(now, current, produced);
        for (auto& entry : produced)
        {
            if (auto* const raised = std::get_if<raise_event>(&entry))
                pending.push_back(std::move(raised->raised));
            else
            {
                state_->complete_gossip(entry);
                done.push_back(std::move(entry));
            }
        }
    }
    return done;
}

bool instance_core::may_send_order(time_point now, engine_order const& order) const
{
    return state_->placement->may_send(now, order);
}

std::string instance_core::dump(time_point now) const
{
    std::string text = "{\"instance\":\"" + state_->settings.identity.id.str() + "\"";
    for (auto const& [name, part] : state_->components)
        text += ",\"" + std::string(name) + "\":" + part->dump(now);
    return text + "}";
}

std::string instance_core::explain(request_id const& request) const
{
    return state_->flow->explain(request);
}

fleet_config const& instance_core::config() const
{
    return state_->config->current();
}

} // namespace carawayturn
