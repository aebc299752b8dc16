#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Limits that the operators guarantee to callers and that the instance must keep.
struct service_bounds
{
    /// Time within which a withdrawn key must stop working.
    duration key_withdrawal = std::chrono::seconds(5);
    /// Time between SIGTERM and SIGKILL.
    duration shutdown_grace = std::chrono::seconds(8);
    /// Term of the lease: two holders must not both send orders within this time.
    duration order_lease = std::chrono::seconds(3);
    /// Retry budget over all instances: in each window, retries may amount to this share
    /// of the requests plus a fixed number.
    double retry_ratio = 0.2;
    double retry_slack = 100;
    duration retry_window = std::chrono::seconds(10);
};

/// Settings of one instance, validated at startup.
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
    /// CPU limit of the process, in cores.
    double processor_share = 1;
    /// Memory limit of the process.
    double memory_mb = 256;
    /// Limit for open descriptors of the process; 0 if the settings name none.
    double max_descriptors = 0;
    /// Bandwidth of the machine's network link.
    double link_mbps = 1000;
    service_bounds bounds;
};

} // namespace carawayturn::entry
