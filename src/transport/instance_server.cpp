#include "transport/instance_server.hpp"

#include "transport/caller_gateway.hpp"
#include "transport/core_loop.hpp"
#include "transport/duty_thread.hpp"
#include "transport/http_client.hpp"
#include "transport/metrics.hpp"

#include <atomic>
#include <future>
#include <utility>

namespace carawayturn
{

namespace
{

constexpr std::size_t idle_platform_connections = 8;

std::string make_id_prefix(server_settings const& settings)
{
    return settings.instance + "-" + std::to_string(settings.incarnation);
}

} // namespace

struct instance_server::state : action_sink
{
    state(server_settings set, event_log& events_log);
    ~state() override { stop(); }

    result<std::monostate> listen();
    void start(std::unique_ptr<core_driver> core);
    void stop();
    void add_gauges();
    [[nodiscard]] listed_instance describe_self() const;

    void take(action done) override
    {
        std::visit([this](auto& each) { perform(each); }, done);
    }

    void perform(dispatch_request& order)
    {
        callers.expect_attempt({order.request, order.attempt});
        auto content = registry.find(order.request);
        backends.dispatch(std::move(order), std::move(content));
    }
    void perform(cancel_dispatch& order) { backends.cancel(order); }
    void perform(refuse_request& order) { callers.refuse(std::move(order)); }
    void perform(deliver_answer& order) { callers.deliver(std::move(order)); }
    void perform(set_ready& order) { callers.set_ready(order.ready); }
    void perform(send_peer& order) { peers.send(std::move(order)); }
    void perform(store_commit& order) { table->commit(std::move(order.commit)); }
    void perform(store_read& order) { table->read(std::move(order.read)); }
    void perform(send_order& order) { orders->send(std::move(order.order)); }
    void perform(answer_submission& order) { admin.answer(std::move(order)); }
    void perform(drain_finished&)
    {
        if (!drained.exchange(true))
            drained_signal.set_value();
    }
    void perform(log_record& record)
    {
        log.write(record.number, record.subject, record.detail);
    }
    /// The core feeds raised events to itself before it returns.
    void perform(raise_event&) {}

    server_settings settings;
    event_log& log;
    metrics counters;
    request_registry registry;
    address_book addresses;
    std::atomic<bool> drained = false;
    std::promise<void> drained_signal;
    std::uint16_t caller_port = 0;
    std::uint16_t admin_port = 0;
    std::uint16_t peer_port = 0;
    core_loop loop;
    // Output that waits at the callers refers to attempts, so the callers end first.
    backend_client backends;
    caller_gateway callers;
    peer_link peers;
    admin_server admin;
    duty_thread platform_thread;
    connection_pool platform_connections;
    platform_parts platform;
    std::unique_ptr<table_service> table;
    std::unique_ptr<engine_orders> orders;
    std::unique_ptr<report_poller> reports;
    std::unique_ptr<instance_list> list;
};

instance_server::state::state(server_settings set, event_log& events_log)
    : settings(std::move(set)), log(events_log), loop(settings.ring_capacity),
      backends(settings.backends, loop, callers, addresses, log,
               [this](token_count tokens) { counters.tokens_used(tokens); }),
      callers(settings.caller_limits, make_id_prefix(settings), loop, registry, counters),
      peers(settings.peers, loop, log),
      admin(settings.admin, loop, log, [this] { callers.begin_drain(); }),
      platform_connections(platform_thread.executor(), idle_platform_connections, log),
      platform{platform_thread, platform_connections, loop, log, addresses},
      table(make_http_table(settings.table, platform)),
      orders(make_http_engine_orders(settings.orders, platform)),
      reports(make_http_report_poller(settings.reports, platform))
{
    add_gauges();
}

void instance_server::state::add_gauges()
{
    counters.add_gauge("carawayturn_core_ring_events", "Events waiting for the core.",
                       [this] { return loop.waiting(); });
    counters.add_gauge("carawayturn_core_ring_capacity", "Capacity of the core's ring.",
                       [this] { return loop.capacity(); });
    counters.add_gauge("carawayturn_open_requests", "Requests without a final answer.",
                       [this] { return registry.size(); });
    counters.add_gauge("carawayturn_caller_connections", "Callers' open connections.",
                       [this] { return callers.connections(); });
}

result<std::monostate> instance_server::state::listen()
{
    auto const caller = callers.listen(settings.caller_listen);
    if (!succeeded(caller))
        return std::get<error>(caller);
    auto const operators = admin.listen();
    if (!succeeded(operators))
        return std::get<error>(operators);
    auto const peer = peers.listen();
    if (!succeeded(peer))
        return std::get<error>(peer);
    caller_port = std::get<std::uint16_t>(caller);
    admin_port = std::get<std::uint16_t>(operators);
    peer_port = std::get<std::uint16_t>(peer);
    log.write(log_number::listening, settings.instance,
              "caller port " + std::to_string(caller_port) + ", admin port " +
                  std::to_string(admin_port) + ", peer port " +
                  std::to_string(peer_port));
    return std::monostate{};
}

listed_instance instance_server::state::describe_self() const
{
    listed_instance self;
    self.id = settings.instance;
    self.kind = "entry";
    self.address = {settings.caller_listen.address, caller_port};
    self.peer_port = peer_port;
    self.failure_domain = settings.failure_domain;
    self.incarnation = settings.incarnation;
    return self;
}

void instance_server::state::start(std::unique_ptr<core_driver> core)
{
    if (!settings.list.address.address.empty())
    {
        settings.list.self = describe_self();
        list = make_http_instance_list(settings.list, platform);
        list->start();
        reports->start();
    }
    callers.start();
    backends.start();
    peers.start();
    admin.start();
    platform_thread.start();
    loop.start(std::move(core), *this);
}

void instance_server::state::stop()
{
    loop.stop();
    platform_thread.stop();
    peers.stop();
    admin.stop();
    backends.stop();
    callers.stop();
}

instance_server::instance_server(std::unique_ptr<state> made) : state_(std::move(made)) {}

instance_server::~instance_server() = default;

result<std::unique_ptr<instance_server>> instance_server::create(server_settings settings,
                                                                 event_log& log)
{
    auto made = std::make_unique<state>(std::move(settings), log);
    auto const bound = made->listen();
    if (!succeeded(bound))
        return std::get<error>(bound);
    return std::unique_ptr<instance_server>(new instance_server(std::move(made)));
}

void instance_server::start(std::unique_ptr<core_driver> core)
{
    state_->start(std::move(core));
}

void instance_server::drain()
{
    state_->callers.begin_drain();
}

void instance_server::wait_until_drained()
{
    state_->drained_signal.get_future().wait();
}

std::uint16_t instance_server::caller_port() const
{
    return state_->caller_port;
}

std::uint16_t instance_server::admin_port() const
{
    return state_->admin_port;
}

std::uint16_t instance_server::peer_port() const
{
    return state_->peer_port;
}

address_book& instance_server::addresses()
{
    return state_->addresses;
}

} // namespace carawayturn
