#pragma once

#include "state/fleet.hpp"
#include "state/result.hpp"
#include "transport/address_book.hpp"
#include "transport/admin_server.hpp"
#include "transport/backend_client.hpp"
#include "transport/core_driver.hpp"
#include "transport/event_log.hpp"
#include "transport/http_server.hpp"
#include "transport/peer_link.hpp"
#include "transport/platform.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace carawayturn
{

struct server_settings
{
    std::string instance = "entry";
    /// Distinguishes this process from earlier ones of the same instance.
    incarnation_number incarnation = 0;
    failure_domain_id failure_domain;
    endpoint caller_listen{"127.0.0.1", 0};
    http_limits caller_limits;
    backend_limits backends;
    peer_settings peers;
    admin_settings admin;
    /// Without an address there is no table, or no list.
    table_settings table;
    list_settings list;
    report_settings reports;
    order_settings orders;
    std::size_t ring_capacity = 8192;
};

/// One instance: the core thread and the threads of all other duties, joined.
class instance_server
{
public:
    /// Binds all ports, so that they are known before the core is made. The error names
    /// the first address that cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<instance_server>>
    create(server_settings settings, event_log& log);

    ~instance_server();
    instance_server(instance_server const&) = delete;
    instance_server& operator=(instance_server const&) = delete;

    /// Starts all threads.
    void start(std::unique_ptr<core_driver> core);

    /// Asks the core to drain. Safe on any thread.
    void drain();

    /// Waits until the core has finished draining.
    void wait_until_drained();

    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] std::uint16_t admin_port() const;
    [[nodiscard]] std::uint16_t peer_port() const;
    [[nodiscard]] address_book& addresses();

private:
    struct state;
    explicit instance_server(std::unique_ptr<state> made);
    std::unique_ptr<state> state_;
};

} // namespace carawayturn
