#pragma once

#include "state/identifiers.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn
{

/// IP address and port of a process.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;
    friend auto operator<=>(endpoint const&, endpoint const&) = default;
};

enum class instance_state
{
    joining,
    ready,
    draining,
    left
};

enum class backend_kind
{
    runner,
    plain
};

/// One line of the platform's lagging instance list.
struct listed_instance
{
    std::string id;
    /// "entry", "runner" or "plain".
    std::string kind;
    /// The pool for backend servers; empty for entry instances.
    std::string service;
    endpoint address;
    std::uint16_t peer_port = 0;
    failure_domain_id failure_domain;
    bool leaving = false;
    incarnation_number incarnation = 0;
};

/// A loaded model or adapter. An empty adapter is the base model.
struct loaded_item
{
    model_id model;
    adapter_id adapter;
    std::string version;
    byte_count bytes = 0;
    friend auto operator<=>(loaded_item const&, loaded_item const&) = default;
};

/// A backend server's own, lagging report of what it holds and how busy it is.
struct backend_report
{
    backend_id backend;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;
    byte_count capacity_bytes = 0;
    byte_count used_bytes = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::string role;
    /// Whether it refuses orders with an old fencing number.
    bool checks_fence = false;
    std::vector<loaded_item> loaded;
    /// Models whose checkpoints are cached, by tier.
    std::vector<model_id> cached_in_memory;
    std::vector<model_id> cached_on_disk;
};

enum class order_action
{
    load,
    unload,
    load_adapter,
    unload_adapter,
    set_role
};

/// Returns the action's name in the engine protocol, for example "load_adapter".
[[nodiscard]] std::string_view name_of(order_action action);

/// An order to a runner. Repeating an order uses the same decision.
struct engine_order
{
    decision_id decision;
    backend_id backend;
    fencing_number fence = 0;
    order_action action = order_action::load;
    loaded_item item;
    std::string role;
};

enum class order_result
{
    done,
    already,
    stale_fence,
    no_memory,
    not_loaded,
    /// The engine could not be reached: the order was not received.
    not_delivered,
    /// The answer was lost: the order may take effect, now or later.
    unknown
};

/// Returns the result's name in the engine protocol.
[[nodiscard]] std::string_view name_of(order_result value);

/// A replica as the owner of its pool publishes it.
struct replica
{
    backend_id backend;
    loaded_item item;
    friend auto operator<=>(replica const&, replica const&) = default;
};

} // namespace carawayturn
