#include "transport/entry/entry_node.hpp"

#include "platform/order_codec.hpp"
#include "platform/server_codec.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/http_call.hpp"
#include "transport/entry/server_notice.hpp"

// The part of entry_node that acquires the hub role and acts in it: the lease, orders to
// runners, reports of runners and updates to other instances.
namespace carawayturn::entry
{

namespace
{

/// The hub plans on each change and at least every `plan_interval`. After each plan it
/// waits for `min_plan_pause` plus `plan_pause_per_instance` for each instance.
constexpr duration plan_interval = std::chrono::milliseconds(50);
constexpr duration idle_plan_interval = std::chrono::milliseconds(500);
constexpr duration min_plan_pause = std::chrono::milliseconds(5);
constexpr duration plan_pause_per_instance = std::chrono::microseconds(400);
constexpr duration order_timeout = std::chrono::milliseconds(1000);
constexpr duration report_timeout = std::chrono::milliseconds(500);
/// Interval at which the hub logs whose requests no longer wait for quota.
constexpr duration contention_check_interval = std::chrono::seconds(1);
/// Maximum length of a runner's answer to a call, in bytes, and the part of it for which
/// there is always memory, whatever other runners send. A report lists the models,
/// adapters and runs of one runner.
constexpr std::size_t max_runner_answer = std::size_t{256} * 1024;
constexpr std::size_t free_runner_answer = std::size_t{16} * 1024;

} // namespace

task<void> entry_node::keep_lease()
{
    for (;;)
    {
        bool const hub_holds =
            link_.connected() && lease_.remaining(boot_now()) > duration::zero();
        auto const pause = co_await keeper_.step(hub_holds);
        update_hub_role();
        steady_timer timer(io_);
        timer.expires_after(pause);
        co_await timer.async_wait(use_task);
    }
}

void entry_node::update_hub_role()
{
    // The role does not end when the lease expires: without the store no instance can
    // claim the lease, and the last holder continues to grant quotas and send updates. It
    // sends no orders after its lease has expired.
    bool const should_be_hub = lease_.own_row() && !shutdown_;
    if (should_be_hub == hub_active_)
        return;
    hub_active_ = should_be_hub;
    metrics_.set_gauge("hub", should_be_hub ? 1 : 0);
    if (!should_be_hub)
    {
        contended_.clear();
        metrics_.set_gauge("hub_quota_waiting", 0);
        log_.write(entry_event::lease_lost, {{"fence", lease_.fence()}});
        return;
    }
    auto const servers = hub_.servers();
    hub_.start(keeper_.first_holder());
    hub_.cold().start(keeper_.first_holder(), boot_now());
    for (auto const& [id, record] : backends_.all())
        if (backends_.cold().is_cold(record, boot_now()))
            hub_.cold().inherit(record, backends_.cold().cold_until(id));
    for (auto const& [id, record] : servers)
        hub_.put_server(record, boot_now());
    hub_since_ = boot_now();
    pushed_revision_ = 0;
    link_.send_status_soon();
}

bool entry_node::directory_is_current() const
{
    return reader_.servers_read_at() >= hub_since_;
}

bool entry_node::directory_is_pushed() const
{
    return hub_active_ && directory_is_current();
}

void entry_node::plan_orders()
{
    auto const now = boot_now();
    if (!hub_active_ || !order_authorization_.allows_orders(now) ||
        !reader_.servers_listed() || !directory_is_current())
        return;
    for (auto& order : hub_.plan(authority_, now))
    {
        auto const runner = order.runner;
        auto const* const known = backends_.find(runner);
        auto const born_ms = known != nullptr ? known->born_ms : 0;
        tasks_.run("send order", runner, send_order(std::move(order), born_ms));
    }
    for (auto const& id : hub_.planner().take_due_reports(now))
    {
        if (may_call(id))
            tasks_.run("ask report", id, request_report(id));
        else
            hub_.planner().record_report_failure(id, now);
    }
    hub_.publish();
}

bool entry_node::may_call(std::string const& server) const
{
    auto const now = boot_now();
    auto const* const known = backends_.find(server);
    // Unlike requests, orders and reports are never sent on an old reading.
    return backends_.evacuated().recent(now) &&
           (known == nullptr || backends_.may_send(*known, now));
}

call_answer_limits entry_node::runner_answer_limits()
{
    return {max_runner_answer, &runner_calls_, free_runner_answer};
}

task<void> entry_node::send_order(runner_order order, std::int64_t born_ms)
{
    call_request call;
    call.peer = order.runner;
    call.address = order.address;
    call.method = boost::beast::http::verb::post;
    call.target = platform::order_target;
    call.body = platform::encode_order(order, settings_.name, lease_.fence());
    call.server_id = order.runner;
    call.dedicated_connection = true;
    call.answer_limits = runner_answer_limits();
    call.log = &log_;
    auto const target = order.target.str();
    bool const load = order.operation == runner_order::action::load;
    // An order that was not sent has changed nothing at the runner.
    auto outcome = order_outcome::conflict;
    unsigned status = 0;
    if (auto permit = order_authorization_.issue_permit(boot_now()))
    {
        call.timeout = std::min(order_timeout, permit->send_deadline() - boot_now());
        call.may_send = [this, &order, &permit, &outcome]
        {
            bool const leaves =
                may_call(order.runner) && permit->try_mark_sent(boot_now());
            outcome = leaves ? order_outcome::unknown : order_outcome::conflict;
            return leaves;
        };
        auto const answer = co_await http_call(connections_, std::move(call));
        if (answer)
        {
            permit->mark_answered();
            apply_server_notice(services_, order.runner, born_ms, answer->notice);
            status = answer->status;
            outcome = platform::decode_order_status(status);
        }
    }
    metrics_.count("orders_total");
    log_.write(entry_event::order_ended, {{"server", order.runner},
                                          {"model", target},
                                          {"load", std::int64_t{load}},
                                          {"reason", name_of(order.reason)},
                                          {"from_store", std::int64_t{order.from_store}},
                                          {"expected_count", order.expected_count},
                                          {"fence", lease_.fence()},
                                          {"status", std::uint64_t{status}}});
    hub_.planner().record_order_outcome(order, outcome, boot_now());
    plan_due_.notify();
}

task<void> entry_node::request_report(std::string id)
{
    auto const* const record = hub_.planner().find_record(id);
    if (record == nullptr)
        co_return;
    auto const born_ms = record->born_ms;
    call_request call;
    call.peer = id;
    call.address = record->address;
    call.target = platform::report_target;
    call.server_id = id;
    call.timeout = report_timeout;
    call.answer_limits = runner_answer_limits();
    call.log = &log_;
    call.may_send = [this, id] { return may_call(id); };
    metrics_.count("reports_total");
    auto const answer = co_await http_call(connections_, std::move(call));
    if (answer)
        apply_server_notice(services_, id, born_ms, answer->notice);
    handle_report(id, answer);
}

void entry_node::handle_report(std::string const& id,
                               std::optional<call_answer> const& answer)
{
    auto const now = boot_now();
    if (!answer || answer->status != 200)
    {
        hub_.planner().record_report_failure(id, now);
        return;
    }
    auto const report = platform::decode_report(id, answer->body);
    if (!succeeded(report))
    {
        log_.write(entry_event::report_unreadable,
                   {{"server", id}, {"detail", std::get<error>(report).detail}});
        hub_.planner().record_report_failure(id, now);
        return;
    }
    hub_.planner().apply_report(id, std::get<runner_report>(report), now);
}

void entry_node::settle_quota()
{
    auto const now = boot_now();
    log_contended_quotas(now);
    auto const settled = hub_.settle_quota(authority_, now);
    if (!settled.empty())
        link_.send_quota_outcomes(settled);
}

void entry_node::log_contended_quotas(time_point now)
{
    auto const waiting = hub_.quota_waiters().waiting_by_organisation();
    metrics_.set_gauge("hub_quota_waiting",
                       static_cast<double>(hub_.quota_waiters().waiting()));
    auto const log = [this](std::string const& name, std::size_t count)
    {
        log_.write(entry_event::quota_contended,
                   {{"organisation", name}, {"waiting", std::uint64_t{count}}});
    };
    for (auto const& [name, count] : waiting)
        if (contended_.insert(name).second)
            log(name, count);
    // The end is looked for once in a while, which bounds the lines for an organisation
    // whose requests wait again and again.
    if (now < next_contention_check_)
        return;
    next_contention_check_ = now + contention_check_interval;
    std::erase_if(contended_,
                  [&](std::string const& name)
                  {
                      bool const ended = !waiting.contains(name);
                      if (ended)
                          log(name, 0);
                      return ended;
                  });
}

void entry_node::push_changes()
{
    if (!hub_active_)
        return;
    auto const revision = directory_is_current() ? hub_.revision() : 0;
    bool const crash_alert = hub_.take_crash_alert();
    auto const evacuations = backends_.evacuated().changes();
    auto const store_era = store_.eras().newest_known();
    if (revision == pushed_revision_ && authority_.version() == pushed_config_ &&
        evacuations == pushed_evacuations_ && store_era == pushed_store_era_ &&
        !crash_alert)
        return;
    pushed_evacuations_ = evacuations;
    pushed_store_era_ = store_era;
    pushed_revision_ = revision;
    pushed_config_ = authority_.version();
    link_.push_updates();
    apply_update(make_reply(status(false)));
    // A status of its own brings this instance the crash counts too.
    if (crash_alert)
        link_.send_status_soon();
}

task<void> entry_node::plan_as_hub()
{
    steady_timer timer(io_);
    for (;;)
    {
        co_await plan_due_.wait(hub_active_ ? plan_interval : idle_plan_interval);
        if (!hub_active_)
            continue;
        plan_orders();
        push_changes();
        // Bounds the CPU time for planning at a hub with many instances.
        timer.expires_after(min_plan_pause +
                            plan_pause_per_instance * static_cast<int>(hub_.instances()));
        co_await timer.async_wait(use_task);
    }
}

} // namespace carawayturn::entry
