#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Bounds that the operators promise to callers; the instance stays inside them.
struct service_bounds
{
    /// A withdrawn key stops working within this time.
    duration key_withdrawal = std::chrono::seconds(5);
    /// Time between SIGTERM and SIGKILL.
    duration shutdown_grace = std::chrono::seconds(8);
    /// Two holders may not take turns in ordering within this time.
    duration order_lease = std::chrono::seconds(3);
    /// Share of requests that may be sent again over all instances, and the fixed
    /// number beside it in each window.
    double retry_ratio = 0.2;
    double retry_slack = 100;
    duration retry_window = std::chrono::seconds(10);
};

/// Settings of one instance, checked at start.
struct node_settings
{
    std::string name;
    std::string ip;
    std::string failure_domain;
    std::string caller_address;
    std::string ready_address;
    /// Ports for the protocol between instances and for metrics.
    std::uint16_t peer_port = 0;
    std::uint16_t metrics_port = 0;
    std::string store_address;
    /// Part of a core that the process may use.
    double processor_share = 1;
    /// Memory that the process may use.
    double memory_mb = 256;
    /// Bandwidth of the machine's link.
    double link_mbps = 1000;
    service_bounds bounds;
};

} // namespace carawayturn::entry
