#include "transport/instance_server.hpp"

#include "transport/caller_gateway.hpp"
#include "transport/core_loop.hpp"
#include "transport/metrics.hpp"

#include <utility>

namespace carawayturn
{

struct instance_server::state : action_sink
{
    state(server_settings set, std::unique_ptr<core_driver> core)
        : settings(std::move(set)), loop(std::move(core), settings.ring_capacity),
          callers(settings.caller_limits,
                  settings.instance + "-" + std::to_string(settings.incarnation), loop,
                  registry, counters),
          backends(settings.backends, loop, callers, addresses,
                   [this](token_count tokens) { counters.tokens_used(tokens); })
    {
    }

    ~state() override { stop(); }

    void stop()
    {
        loop.stop();
        backends.stop();
        callers.stop();
    }

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
    void perform(send_peer&) {}
    void perform(store_commit&) {}
    void perform(store_read&) {}
    void perform(send_order&) {}
    void perform(answer_submission&) {}
    void perform(drain_finished&) {}
    void perform(log_record&) {}
    void perform(raise_event&) {}

    server_settings settings;
    metrics counters;
    request_registry registry;
    address_book addresses;
    std::uint16_t caller_port = 0;
    core_loop loop;
    caller_gateway callers;
    backend_client backends;
};

instance_server::instance_server(server_settings settings,
                                 std::unique_ptr<core_driver> core)
    : state_(std::make_unique<state>(std::move(settings), std::move(core)))
{
}

instance_server::~instance_server() = default;

result<std::monostate> instance_server::start()
{
    auto const bound = state_->callers.listen(state_->settings.caller_listen);
    if (!succeeded(bound))
        return std::get<error>(bound);
    state_->caller_port = std::get<std::uint16_t>(bound);
    state_->callers.start();
    state_->backends.start();
    state_->loop.start(*state_);
    return std::monostate{};
}

std::uint16_t instance_server::caller_port() const
{
    return state_->caller_port;
}

address_book& instance_server::addresses()
{
    return state_->addresses;
}

} // namespace carawayturn
