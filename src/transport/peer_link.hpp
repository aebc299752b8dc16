#pragma once

#include "coordination/action.hpp"
#include "state/result.hpp"
#include "transport/core_loop.hpp"
#include "transport/event_log.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace carawayturn
{

struct peer_settings
{
    endpoint listen{"127.0.0.1", 0};
    instance_id self;
    std::string cluster_secret;
    /// Larger messages go over TCP. It fits an Ethernet frame through usual tunnels.
    std::size_t max_datagram_bytes = 1200;
    duration tcp_timeout = std::chrono::seconds(2);
    /// Messages waiting to be sent; more are dropped, as UDP may do.
    std::size_t max_waiting = 4096;
    /// Incoming TCP connections; each may hold one message of the largest size.
    std::size_t max_connections = 8;
};

/// Messages between instances, over UDP and, when large, TCP on the same port. Messages
/// with a wrong authentication code are dropped.
class peer_link
{
public:
    peer_link(peer_settings settings, event_sink& events, event_log& log);
    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Binds UDP and TCP; returns the port, which is chosen when it was 0.
    [[nodiscard]] result<std::uint16_t> listen();
    void start();
    void stop();

    /// Sends a message; it may be lost. Safe on any thread.
    void send(send_peer message);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn
