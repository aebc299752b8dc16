#pragma once

#include "state/fleet.hpp"
#include "state/result.hpp"
#include "transport/address_book.hpp"
#include "transport/backend_client.hpp"
#include "transport/core_driver.hpp"
#include "transport/http_server.hpp"

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
    endpoint caller_listen{"127.0.0.1", 0};
    http_limits caller_limits;
    backend_limits backends;
    std::size_t ring_capacity = 8192;
};

/// One instance: the core thread and the threads of all other duties, joined.
class instance_server
{
public:
    instance_server(server_settings settings, std::unique_ptr<core_driver> core);
    ~instance_server();
    instance_server(instance_server const&) = delete;
    instance_server& operator=(instance_server const&) = delete;

    /// Binds all ports, then starts all threads. Returns the error of the first port that
    /// cannot be bound.
    [[nodiscard]] result<std::monostate> start();

    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] address_book& addresses();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn
