#pragma once

#include "coordination/entry/crash_tracker.hpp"
#include "coordination/entry/directory_sync.hpp"
#include "coordination/entry/hub_state.hpp"
#include "coordination/entry/order_authorization.hpp"
#include "coordination/entry/pause_detector.hpp"
#include "coordination/entry/peer_addresses.hpp"
#include "coordination/entry/removed_servers.hpp"
#include "coordination/entry/store_read_policy.hpp"
#include "state/result.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/entry_services.hpp"
#include "transport/entry/http_call.hpp"
#include "transport/entry/lease_keeper.hpp"
#include "transport/entry/peer_link.hpp"
#include "transport/entry/store_reader.hpp"
#include "transport/entry/stream_registry.hpp"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

namespace carawayturn::entry
{

/// Reads the settings for a reload. Returns nothing if they have not changed and `force`
/// is false.
using settings_reader = std::function<std::optional<result<node_settings>>(bool force)>;

/// Returns the complete HTTP answer to a probe of the target.
using probe_handler = std::function<std::string(std::string_view target)>;

/// Requests with keys are refused this long before the time limit for honouring a
/// withdrawn key is reached.
inline constexpr duration withdrawal_margin = std::chrono::milliseconds(700);

/// One instance on the platform: it serves callers, keeps a view of the fleet and acts as
/// the hub while it holds the lease. Runs on one thread.
class entry_node final : public directory_sink, public hub_service, public update_sink
{
public:
    entry_node(node_settings settings, settings_reader read_settings,
               std::uint64_t incarnation);
    ~entry_node() override;

    /// Opens the ports and serves until a signal shuts the instance down.
    /// Errors: unavailable with the address that could not be opened.
    [[nodiscard]] result<std::monostate> run();

    // directory_sink
    void server_put(backend_record const& record) override;
    void server_removed(std::string const& id) override;
    [[nodiscard]] std::set<std::string> known_servers() const override;
    [[nodiscard]] backend_record const*
    known_server(std::string const& id) const override;
    [[nodiscard]] bool removed_lately(backend_record const& record) const override;
    void config_changed() override;
    void evacuations_read(evacuation_reading const& reading) override;

    // hub_service
    [[nodiscard]] bool is_hub() const override { return hub_active_; }
    [[nodiscard]] node_update make_reply(node_status const& status) override;
    [[nodiscard]] node_update unsolicited_update(node_status const& last_status) override;
    [[nodiscard]] node_update make_referral(node_status const& status) override;

    // update_sink
    [[nodiscard]] node_status status(bool complete) override;
    void apply_update(node_update const& update) override;
    void apply_referral(node_update const& update) override;
    [[nodiscard]] std::optional<std::string> peer_to_ask() override;

private:
    [[nodiscard]] std::string own_address(std::uint16_t port) const;
    [[nodiscard]] result<std::monostate> listen(tcp_acceptor& acceptor,
                                                std::string const& address);
    [[nodiscard]] task<void> tick();
    [[nodiscard]] task<void> plan_as_hub();
    /// Sends the other instances changes of the directory or the configuration at once.
    void push_changes();
    [[nodiscard]] task<void> keep_lease();
    [[nodiscard]] task<void> serve_probes(tcp_acceptor& acceptor, probe_handler answer);
    [[nodiscard]] std::string readiness_page() const;
    [[nodiscard]] task<void> handle_signals();
    [[nodiscard]] task<void> drain();
    /// Returns when the signal that is being handled may have arrived.
    [[nodiscard]] signal_time_range signal_time() const;
    /// Releases the lease once no order can leave this instance or arrive at a runner any
    /// more. If that takes longer than the lease lasts, lets the lease expire.
    [[nodiscard]] task<void> release_lease();
    /// Returns the answer to a request at the metrics port.
    [[nodiscard]] std::string metrics_port_page(std::string_view target);
    /// Carries out a step of the shutdown.
    void apply_shutdown_step(shutdown_step step);
    /// Accepts the connections that are waiting, then closes the port for callers.
    void stop_accepting();
    /// Logs an event with the number of callers' connections in each stage.
    void log_callers(entry_event event, std::string_view reason);
    void log_blocked_signatures();
    /// Reloads the settings if `forced` or if the file has changed.
    void reload(bool forced);
    [[nodiscard]] bool ready() const;
    void update_readiness();
    void update_hub_role();
    /// Whether the servers were read from the store since this instance last became the
    /// hub. Until then its directory may lack changes that the former hub had sent.
    /// Always true if it never was the hub.
    [[nodiscard]] bool directory_is_current() const;
    /// Whether a change that was read reaches this instance with the hub's next push to
    /// all. Otherwise it is applied at once.
    [[nodiscard]] bool directory_is_pushed() const;
    void plan_orders();
    /// Grants and refuses requests that wait for quota, and tells their instances.
    void settle_quota();
    /// Logs when requests of an organisation begin to wait for quota and when none does.
    void log_contended_quotas(time_point now);
    /// Whether an order or a report call may be sent to the server now: it is not
    /// leaving, paused or evacuated, and the reading of the evacuations is recent.
    [[nodiscard]] bool may_call(std::string const& server) const;
    [[nodiscard]] call_answer_limits runner_answer_limits();
    [[nodiscard]] task<void> send_order(runner_order order, std::int64_t born_ms);
    [[nodiscard]] task<void> request_report(std::string id);
    void handle_report(std::string const& id, std::optional<call_answer> const& answer);
    /// Applies the configuration and the settings to the limits for cold servers.
    void update_cold_terms();
    /// Logs the servers that became cold or warm, and sets the gauges.
    void report_cold_servers(time_point now);
    /// Treats the failure domain's servers as cold after its evacuation.
    void note_evacuation_ended(std::string const& domain, time_point now);
    void upsert_server(backend_record const& record);
    void erase_server(std::string const& id);
    /// Adds the fields that only the holder of the lease knows to its update.
    void add_hub_fields(node_status const& status, node_update& update) const;
    void apply_directory(node_update const& update);
    /// Adds what this instance knows of the configuration and the lease, hub or not.
    void add_config_and_lease(node_status const& status, node_update& update) const;
    /// Applies the configuration and the lease from another instance's update.
    void apply_config_and_lease(node_update const& update);
    /// Processes the lease row that another instance has told.
    void observe_told_lease(node_update const& update);
    [[nodiscard]] bool config_unreachable() const;
    /// Takes over a reading of the evacuated failure domains, from the store or another
    /// instance, if it is the newest one.
    void learn_evacuations(evacuation_reading reading);
    /// Returns this instance's requests in flight at servers of the failure domain, or of
    /// all evacuated ones if `domain` is empty.
    [[nodiscard]] std::uint64_t evacuated_in_flight(std::string const& domain) const;
    void set_evacuation_gauges();

    node_settings settings_;
    settings_reader read_settings_;
    std::uint64_t incarnation_;
    // Declared before the I/O context: requests that are open when the process ends refer
    // to these until the context is destroyed.
    // The memory budgets are for request bodies, for parts of answers that requests hold,
    // for runners' answers to calls, and for heads and unparsed bytes of requests.
    resource_shares shares_;
    byte_budget bodies_;
    byte_budget answers_;
    byte_budget runner_calls_;
    byte_budget heads_;
    limit_report limits_;
    caller_connections caller_connections_;
    wait_queue waiting_;
    start_estimator starts_;
    admission_control admission_{waiting_, starts_};
    asio::io_context io_;
    deadline_monitor deadlines_;
    decision_log log_;
    entry_metrics metrics_;
    task_runner tasks_;
    config_authority authority_;
    backend_selector backends_;
    backend_connections connections_;
    instance_quota quota_;
    quota_waiters quota_waiters_;
    retry_budget retries_;
    hedge_policy hedges_;
    demand_tracker demand_;
    change_signal changes_;
    change_signal plan_due_;
    std::minstd_rand random_;
    std::map<std::pair<std::string, std::string>, std::uint32_t> in_flight_;
    std::optional<shutdown_plan> shutdown_;
    /// Whether the lease has been released, or is left to expire.
    bool lease_settled_ = false;
    bool unanswered_cut_ = false;
    bool requests_cut_ = false;
    pause_detector pauses_{boot_now()};
    crash_tracker crashes_;
    hub_lease lease_;
    order_authorization order_authorization_;
    hub_state hub_;
    bool hub_active_ = false;
    entry_services services_;
    peer_link link_;
    store_client store_;
    stream_registry streams_;
    store_reader reader_;
    lease_keeper keeper_;
    tcp_acceptor caller_acceptor_;
    tcp_acceptor readiness_acceptor_;
    tcp_acceptor peer_acceptor_;
    tcp_acceptor metrics_acceptor_;
    asio::basic_signal_set<executor> signals_;
    directory_sync directory_;
    /// Ids of the known servers by short id; empty if two servers share a short id.
    std::unordered_map<std::uint32_t, std::string> ids_by_short_id_;
    peer_addresses peer_addresses_;
    store_read_policy read_policy_;
    /// When this instance last became the hub; zero if it never did.
    time_point hub_since_{};
    /// Revision of the directory that was last sent to all instances; zero if none was.
    std::uint64_t pushed_revision_ = 0;
    std::uint64_t pushed_config_ = 0;
    /// Number of changes of the evacuations at the last push.
    std::uint64_t pushed_evacuations_ = 0;
    std::uint64_t pushed_store_era_ = 0;
    removed_servers removed_servers_;
    time_point next_settings_check_{};
    bool was_ready_ = false;
    /// Organisations whose requests wait for quota at this hub, as last logged, and when
    /// to look next for those whose requests no longer wait.
    std::set<std::string> contended_;
    time_point next_contention_check_{};
};

} // namespace carawayturn::entry
