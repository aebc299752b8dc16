#pragma once

#include "state/fleet.hpp"
#include "state/table.hpp"
#include "state/time.hpp"
#include "transport/address_book.hpp"
#include "transport/core_loop.hpp"
#include "transport/event_log.hpp"

#include <memory>
#include <string>

namespace carawayturn
{

class duty_thread;
class connection_pool;

/// What the platform adapters share: their thread, its connections, and the way to the
/// core. The thread is stopped before an adapter is destroyed.
struct platform_parts
{
    duty_thread& thread;
    connection_pool& connections;
    event_sink& events;
    event_log& log;
    address_book& addresses;
};

/// The platform's transactional table. Each operation raises one table_answered. An
/// operation that surely was not sent ends as table_unavailable, one whose answer is lost
/// or late as outcome_unknown; a late answer is dropped. Safe on any thread.
class table_service
{
public:
    table_service() = default;
    table_service(table_service const&) = delete;
    table_service& operator=(table_service const&) = delete;
    virtual ~table_service() = default;

    virtual void commit(table_commit commit) = 0;
    virtual void read(table_read read) = 0;
};

/// Reads the platform's list of instances periodically, fills the address book and raises
/// instances_listed.
class instance_list
{
public:
    instance_list() = default;
    instance_list(instance_list const&) = delete;
    instance_list& operator=(instance_list const&) = delete;
    virtual ~instance_list() = default;

    virtual void start() = 0;
};

/// Reads the reports of all listed backend servers periodically and raises
/// report_received, or backend_unreachable after each third failure in a row.
class report_poller
{
public:
    report_poller() = default;
    report_poller(report_poller const&) = delete;
    report_poller& operator=(report_poller const&) = delete;
    virtual ~report_poller() = default;

    virtual void start() = 0;
};

/// Sends orders to model engines; each raises one order_answered. Right before the first
/// byte leaves the core is asked again. not_delivered means that no byte left, unknown
/// that the answer was lost. Safe on any thread.
class engine_orders
{
public:
    engine_orders() = default;
    engine_orders(engine_orders const&) = delete;
    engine_orders& operator=(engine_orders const&) = delete;
    virtual ~engine_orders() = default;

    virtual void send(engine_order order) = 0;
};

struct table_settings
{
    endpoint address;
    /// Below the lease's renewal period, so that a renewal can be tried again.
    duration timeout = std::chrono::seconds(1);
};

struct list_settings
{
    endpoint address;
    duration interval = std::chrono::seconds(1);
    duration timeout = std::chrono::seconds(1);
    /// Registered with the list until the list shows it; empty id for none.
    listed_instance self;
};

struct report_settings
{
    duration interval = std::chrono::milliseconds(250);
    duration timeout = std::chrono::seconds(1);
};

struct order_settings
{
    duration connect_timeout = std::chrono::seconds(1);
    /// Covers the load of the largest model from a slow weight store.
    duration timeout = std::chrono::seconds(120);
};

[[nodiscard]] std::unique_ptr<table_service> make_http_table(table_settings settings,
                                                             platform_parts parts);
[[nodiscard]] std::unique_ptr<instance_list>
make_http_instance_list(list_settings settings, platform_parts parts);
[[nodiscard]] std::unique_ptr<report_poller>
make_http_report_poller(report_settings settings, platform_parts parts);
[[nodiscard]] std::unique_ptr<engine_orders>
make_http_engine_orders(order_settings settings, platform_parts parts);

} // namespace carawayturn
