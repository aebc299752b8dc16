#include "fleet/fleet.hpp"

#include "fleet/fleet_node.hpp"
#include "state/hash.hpp"

#include <algorithm>

namespace carawayturn::bench
{

using namespace std::chrono_literals;

namespace
{

/// After this long without an answer a table operation's outcome is unknown.
constexpr duration table_timeout = 1s;
/// How long the balancer goes on sending to an instance that died or became unready.
constexpr duration balancer_lag = 1s;
constexpr std::uint32_t polls_until_unreachable = 3;

} // namespace

fleet::fleet(fleet_settings settings, driver_factory factory)
    : settings_(std::move(settings)), factory_(std::move(factory)),
      random_(settings_.seed)
{
    auto const& shape = settings_.shape;
    weights_.loads_per_second = shape.loads_per_second;
    weights_.adapter_time = shape.adapter_time;
    for (std::uint32_t index = 0; index < shape.runners + shape.plain_servers; ++index)
    {
        bool const runner = index < shape.runners;
        fake_engine::settings engine;
        engine.id = backend_id((runner ? "runner-" : "plain-") + std::to_string(index));
        engine.pool = pool_id(runner ? "chat" : "dispatch");
        engine.capacity = runner ? shape.runner_capacity : 0;
        engine.checks_fence = settings_.engines_check_fence;
        engine.refuses_over_capacity = settings_.engines_refuse_over_capacity;
        engines_.push_back(std::make_unique<fake_engine>(queue_, weights_, engine));
    }
    for (std::uint32_t index = 0; index < shape.instances; ++index)
    {
        auto entry = std::make_unique<node>();
        entry->start.id = instance_id("entry-" + std::to_string(index));
        entry->start.incarnation = 0;
        entry->start.failure_domain =
            failure_domain_id("fd-" + std::to_string(index % shape.failure_domains));
        entry->start.peer_address = {"10.0.0." + std::to_string(index + 1), 7000};
        entry->start.seed = settings_.seed * 1000 + index;
        nodes_.push_back(std::move(entry));
    }
}

fleet::~fleet() = default;

std::size_t fleet::size() const
{
    return nodes_.size();
}
bool fleet::alive(std::size_t instance) const
{
    return nodes_[instance]->alive;
}
bool fleet::ready(std::size_t instance) const
{
    return nodes_[instance]->alive && nodes_[instance]->ready;
}
incarnation_number fleet::incarnation(std::size_t instance) const
{
    return nodes_[instance]->start.incarnation;
}
config_version fleet::config_in_force(std::size_t instance) const
{
    return nodes_[instance]->alive ? nodes_[instance]->driver->config_in_force() : 0;
}
std::string fleet::dump(std::size_t instance) const
{
    return nodes_[instance]->alive ? nodes_[instance]->driver->dump(queue_.now()) : "";
}

bool fleet::start(fleet_config const& config)
{
    config_ = config;
    for (std::size_t index = 0; index < nodes_.size(); ++index)
        start_node(index);
    run_for(10s);
    submit(replace_config{config}, "first-configuration");
    for (int second = 0; second < 60; ++second)
    {
        run_for(1s);
        bool all = true;
        for (std::size_t index = 0; index < nodes_.size(); ++index)
            all = all && ready(index) && config_in_force(index) > 0;
        if (all)
            return true;
    }
    return false;
}

void fleet::run_for(duration time)
{
    queue_.run_until(queue_.now() + time);
}

void fleet::start_node(std::size_t index)
{
    auto& entry = *nodes_[index];
    ++entry.start.incarnation;
    entry.alive = true;
    entry.ready = false;
    ++entry.ready_changes;
    entry.paused_until = {};
    entry.driver = factory_(entry.start);
    record_listing();
    auto const incarnation = entry.start.incarnation;
    // Instances do not start in step; offsets spread their ticks and polls.
    auto const offset = std::chrono::milliseconds(index * 3);
    queue_.after(offset, [=, this] { tick_node(index, incarnation); });
    queue_.after(offset, [=, this] { poll_list(index, incarnation); });
    queue_.after(offset, [=, this] { poll_backends(index, incarnation); });
}

void fleet::restart(std::size_t instance)
{
    if (!nodes_[instance]->alive)
        start_node(instance);
}

void fleet::kill(std::size_t instance)
{
    auto& entry = *nodes_[instance];
    if (!entry.alive)
        return;
    entry.alive = false;
    entry.ready = false;
    for (auto const& [request, attempt] : entry.attempts)
        for (auto const& engine : engines_)
            engine->cancel(request);
    for (auto const& request : std::set<request_id>(entry.open))
        answer(instance, request, answer_kind::connection_lost, std::nullopt);
    entry.attempts.clear();
    entry.open.clear();
    queue_.after(balancer_lag, [this] { record_listing(); });
}

void fleet::pause(std::size_t instance, duration time)
{
    nodes_[instance]->paused_until = queue_.now() + time;
}

void fleet::drain(std::size_t instance)
{
    feed(instance, nodes_[instance]->start.incarnation, drain_requested{});
}

void fleet::crash_engine(std::size_t engine, duration restart_time)
{
    engines_[engine]->crash(restart_time);
}

void fleet::leave_engine(std::size_t engine)
{
    engines_[engine]->leaving = true;
    record_listing();
}

void fleet::feed(std::size_t index, incarnation_number incarnation, event const& input)
{
    auto& entry = *nodes_[index];
    if (!entry.runs(incarnation))
        return;
    if (queue_.now() < entry.paused_until)
    {
        queue_.at(entry.paused_until, [=, this] { feed(index, incarnation, input); });
        return;
    }
    for (auto const& done : entry.driver->handle(queue_.now(), input))
    {
        take(index, done);
        // A fault injected at this step may have killed the instance between two actions.
        if (!entry.runs(incarnation))
            return;
    }
}

struct fleet::action_handler
{
    fleet& owner;
    std::size_t index;

    void operator()(send_peer const& done) const { owner.send_to_peer(index, done); }
    void operator()(store_commit const& done) const
    {
        owner.call_table(
            index, done.commit.operation,
            [commit = done.commit](fake_table& table) { return table.commit(commit); },
            true);
    }
    void operator()(store_read const& done) const
    {
        owner.call_table(
            index, done.read.operation,
            [read = done.read](fake_table& table) { return table.read(read); }, false);
    }
    void operator()(send_order const& done) const
    {
        owner.send_order_to(index, done.order);
    }
    void operator()(dispatch_request const& done) const { owner.dispatch(index, done); }
    void operator()(cancel_dispatch const& done) const { owner.cancel(index, done); }
    void operator()(refuse_request const& done) const
    {
        owner.answer(index, done.request, answer_kind::refused, done.reason);
    }
    void operator()(deliver_answer const& done) const
    {
        owner.answer(index, done.request, answer_kind::served, std::nullopt);
    }
    void operator()(answer_submission const& done) const
    {
        owner.submissions_[done.operation] = done;
    }
    void operator()(set_ready const& done) const
    {
        // The balancer notices after a while; a later change overtakes an earlier one.
        auto const change = ++owner.nodes_[index]->ready_changes;
        owner.queue_.after(done.ready ? duration{0} : balancer_lag,
                           [this_owner = &owner, at = index, change, ready = done.ready]
                           {
                               if (this_owner->nodes_[at]->ready_changes == change)
                                   this_owner->nodes_[at]->ready = ready;
                           });
    }
    void operator()(drain_finished const&) const
    {
        auto& entry = *owner.nodes_[index];
        entry.alive = false;
        entry.ready = false;
        for (auto const& request : std::set<request_id>(entry.open))
            owner.answer(index, request, answer_kind::connection_lost, std::nullopt);
        owner.record_listing();
    }
    void operator()(log_record const& done) const
    {
        if (owner.on_log)
            owner.on_log(owner.nodes_[index]->start.id, done);
    }
    void operator()(raise_event const&) const {}
};

void fleet::take(std::size_t index, action const& done)
{
    if (on_action)
        on_action(index, done);
    if (nodes_[index]->alive)
        std::visit(action_handler{*this, index}, done);
    if (after_action)
        after_action(index, done);
}

void fleet::tick_node(std::size_t index, incarnation_number incarnation)
{
    if (!nodes_[index]->runs(incarnation))
        return;
    auto const resume = std::max(queue_.now(), nodes_[index]->paused_until);
    if (resume == queue_.now())
        feed(index, incarnation, tick{});
    queue_.at(std::max(resume, queue_.now() + settings_.tick_every),
              [=, this] { tick_node(index, incarnation); });
}

bool fleet::isolated(std::size_t index) const
{
    return network_.isolated.contains(nodes_[index]->start.id);
}

void fleet::poll_backends(std::size_t index, incarnation_number incarnation)
{
    auto& entry = *nodes_[index];
    if (!entry.runs(incarnation))
        return;
    for (auto const& engine : engines_)
    {
        auto& failed = entry.failed_polls[engine->chosen().id];
        if (engine->up())
        {
            failed = 0;
            queue_.after(settings_.report_lag, [=, this, report = engine->report()]
                         { feed(index, incarnation, report_received{report}); });
        }
        else if (++failed == polls_until_unreachable)
        {
            feed(index, incarnation, backend_unreachable{engine->chosen().id});
        }
    }
    queue_.after(settings_.report_every,
                 [=, this] { poll_backends(index, incarnation); });
}

std::vector<listed_instance> fleet::listing() const
{
    std::vector<listed_instance> listed;
    for (auto const& entry : nodes_)
    {
        if (entry->alive)
            listed.push_back({entry->start.id.str(),
                              "entry",
                              "",
                              {},
                              7000,
                              entry->start.failure_domain,
                              false,
                              entry->start.incarnation});
        if (entry->alive)
            listed.back().address = entry->start.peer_address;
    }
    for (auto const& engine : engines_)
    {
        auto const& chosen = engine->chosen();
        listed.push_back({chosen.id.str(),
                          engine->is_plain() ? "plain" : "runner",
                          chosen.pool.str(),
                          {"10.0.1.1", 8000},
                          0,
                          failure_domain_id("fd-0"),
                          engine->leaving,
                          engine->incarnation()});
    }
    return listed;
}

void fleet::record_listing()
{
    listings_.emplace_back(queue_.now(), listing());
    constexpr std::size_t kept = 50;
    if (listings_.size() > kept)
        listings_.erase(listings_.begin());
}

void fleet::poll_list(std::size_t index, incarnation_number incarnation)
{
    if (!nodes_[index]->runs(incarnation))
        return;
    // The first listing is shown from the start, later ones with a lag.
    auto const* shown = &listings_.front().second;
    for (auto const& [at, entries] : listings_)
    {
        if (at + settings_.list_lag <= queue_.now() || at <= time_point(1h))
            shown = &entries;
    }
    feed(index, incarnation, instances_listed{*shown});
    queue_.after(1s, [=, this] { poll_list(index, incarnation); });
}

void fleet::send_to_peer(std::size_t from, send_peer const& message)
{
    ++peer_messages_;
    if (on_peer_message)
        on_peer_message(message.message);
    auto const chance = [this]
    { return std::uniform_real_distribution<>(0, 1)(random_); };
    if (isolated(from) || network_.isolated.contains(message.to))
        return;
    if (network_.loss > 0 && chance() < network_.loss)
        return;
    deliver_to_peer(from, message);
    if (network_.duplication > 0 && chance() < network_.duplication)
        deliver_to_peer(from, message);
}

void fleet::deliver_to_peer(std::size_t from, send_peer const& message)
{
    auto const found = std::find_if(
        nodes_.begin(), nodes_.end(),
        [&](auto const& entry)
        {
            return entry->start.id == message.to ||
                   (message.to.empty() && entry->start.peer_address == message.address);
        });
    if (found == nodes_.end())
        return;
    auto const index = static_cast<std::size_t>(found - nodes_.begin());
    auto const incarnation = (*found)->start.incarnation;
    duration delay = settings_.shape.one_way;
    if (network_.jitter > duration::zero())
        delay += duration(static_cast<duration::rep>(
            random_() % static_cast<std::uint64_t>(network_.jitter.count())));
    queue_.after(delay,
                 [=, this, id = nodes_[from]->start.id, body = message.message] {
                     feed(index, incarnation, peer_received{id, body});
                 });
}

template <class Operation>
void fleet::call_table(std::size_t index, operation_id const& operation, Operation run,
                       bool commit)
{
    auto const incarnation = nodes_[index]->start.incarnation;
    auto const reply = [=, this](duration delay, table_outcome const& outcome)
    {
        queue_.after(delay,
                     [=, this] {
                         feed(index, incarnation, table_answered{operation, outcome});
                     });
    };
    if (isolated(index))
    {
        reply(table_timeout, outcome_unknown{"isolated"});
        return;
    }
    queue_.after(table_.latency,
                 [=, this]
                 {
                     auto const outcome = run(table_);
                     if (commit && table_.lose_answers > 0)
                     {
                         --table_.lose_answers;
                         reply(table_timeout, outcome_unknown{"answer lost"});
                         return;
                     }
                     reply(table_.latency, outcome);
                 });
}

void fleet::answer(std::size_t index, request_id const& request, answer_kind kind,
                   std::optional<refusal> reason)
{
    nodes_[index]->open.erase(request);
    auto& record = callers_.at(request);
    ++record.answers;
    if (record.answer != answer_kind::none)
        return;
    record.answer = kind;
    record.answered = queue_.now();
    record.reason = std::move(reason);
}

std::optional<std::size_t> fleet::pick_instance()
{
    for (std::size_t tried = 0; tried < nodes_.size(); ++tried)
    {
        auto const index = next_instance_++ % nodes_.size();
        if (nodes_[index]->alive && nodes_[index]->ready)
            return index;
    }
    return std::nullopt;
}

bool fleet::any_ready_replica(trace_request const& request) const
{
    auto const adapter = config_.adapters.find(adapter_id(request.model));
    bool const is_adapter = adapter != config_.adapters.end();
    model_id const model = is_adapter ? adapter->second.model : model_id(request.model);
    adapter_id const wanted = is_adapter ? adapter->first : adapter_id();
    return std::any_of(engines_.begin(), engines_.end(),
                       [&](auto const& engine) { return engine->holds(model, wanted); });
}

caller_request fleet::to_caller_request(trace_request const& request) const
{
    caller_request made;
    made.id = request_id(request.id);
    made.method = "POST";
    made.path = request.path;
    made.key = sha256(key_of(request.organisation));
    made.body = sha256(request.once_key.empty() ? request.id : request.once_key);
    made.model = request.model;
    made.prompt_tokens = request.prompt_tokens;
    made.max_tokens = request.max_tokens;
    if (!request.once_key.empty())
        made.idempotency_key = request.once_key;
    made.time_limit = request.deadline;
    return made;
}

void fleet::send(trace_request const& request)
{
    auto& record = callers_[request_id(request.id)];
    record.request = request;
    record.arrived = queue_.now();
    record.cold = !request.model.empty() && !any_ready_replica(request);
    auto const index = pick_instance();
    if (!index)
    {
        record.answer = answer_kind::connection_lost;
        record.answered = queue_.now();
        return;
    }
    auto& entry = *nodes_[*index];
    entry.open.insert(request_id(request.id));
    feed(*index, entry.start.incarnation, request_arrived{to_caller_request(request)});
}

void fleet::replay(std::vector<trace_request> const& trace)
{
    for (auto const& request : trace)
        queue_.after(request.at, [this, request] { send(request); });
}

void fleet::submit(config_change const& change, std::string const& operation,
                   std::size_t through)
{
    change_submitted submitted;
    submitted.operation = operation_id(operation);
    submitted.change = change;
    feed(through, nodes_[through]->start.incarnation, submitted);
}

} // namespace carawayturn::bench
