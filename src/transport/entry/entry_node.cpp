#include "transport/entry/entry_node.hpp"

#include "state/entry/directory_digest.hpp"
#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/caller_session.hpp"
#include "transport/entry/server_crash.hpp"

#include <csignal>
#include <set>
#include <utility>

namespace carawayturn::entry
{

namespace
{

/// Term of the hub's lease.
constexpr duration lease_term = std::chrono::milliseconds(2400);
/// The hub sends no order if less than this is left of its lease.
constexpr duration order_margin = std::chrono::milliseconds(200);
/// How often the settings file is checked for changes that no signal announces.
constexpr duration settings_check_interval = std::chrono::seconds(1);
constexpr duration tick_interval = std::chrono::milliseconds(50);
/// If the hub has not read the store for longer than this, each instance reads the store
/// itself. The hub reads the servers every 400 ms, and its long poll for the
/// configuration takes up to 800 ms.
constexpr duration trusted_directory_age = std::chrono::milliseconds(1000);
constexpr duration trusted_confirmation_age = std::chrono::milliseconds(2200);
/// A model that the hub is about to unload gets no requests for this long. Each update
/// repeats the model until it is unloaded.
constexpr duration retiring_pause = std::chrono::milliseconds(600);
constexpr int listen_backlog = 512;
/// Requests of this instance that may wait for quota at the same time. The bytes of their
/// bodies may be half of the memory for bodies.
constexpr std::size_t max_quota_waiters = 256;

} // namespace

entry_node::entry_node(node_settings settings, settings_reader read_settings,
                       std::uint64_t incarnation)
    : settings_(std::move(settings)), read_settings_(std::move(read_settings)),
      incarnation_(incarnation), shares_(divide_resources(settings_)),
      bodies_(shares_.body_bytes), answers_(shares_.answer_bytes),
      runner_calls_(shares_.runner_call_bytes), heads_(shares_.head_bytes),
      caller_connections_(shares_.caller_connections),
      io_(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE), log_(settings_.name),
      tasks_(io_, log_, metrics_),
      authority_(settings_.bounds.key_withdrawal - withdrawal_margin),
      backends_(settings_.failure_domain, incarnation), connections_(io_, deadlines_),
      quota_(incarnation), quota_waiters_(max_quota_waiters, bodies_.capacity() / 2),
      retries_(settings_.bounds), hedges_(settings_.hedging, incarnation), changes_(io_),
      plan_due_(io_), random_(static_cast<std::minstd_rand::result_type>(incarnation)),
      lease_(own_address(settings_.peer_port), settings_.name, incarnation, lease_term,
             settings_.bounds.order_lease),
      order_authorization_(lease_, order_margin, lease_term),
      hub_(incarnation), services_{io_,
                                   settings_,
                                   boot_now(),
                                   deadlines_,
                                   bodies_,
                                   answers_,
                                   authority_,
                                   backends_,
                                   connections_,
                                   quota_,
                                   quota_waiters_,
                                   retries_,
                                   hedges_,
                                   demand_,
                                   changes_,
                                   link_,
                                   log_,
                                   metrics_,
                                   random_,
                                   in_flight_,
                                   shutdown_,
                                   caller_connections_,
                                   waiting_,
                                   crashes_,
                                   tasks_,
                                   starts_,
                                   admission_,
                                   heads_,
                                   limits_,
                                   streams_},
      link_(services_, lease_, *this, *this), store_(services_),
      streams_(services_, store_), reader_(services_, store_, *this),
      keeper_(services_, store_, lease_), caller_acceptor_(io_), readiness_acceptor_(io_),
      peer_acceptor_(io_), metrics_acceptor_(io_), signals_(io_),
      peer_addresses_(trusted_confirmation_age), read_policy_(services_.started_at)
{
    backends_.evacuated().set_bound(settings_.bounds.evacuation);
}

entry_node::~entry_node() = default;

std::string entry_node::own_address(std::uint16_t port) const
{
    return settings_.ip + ":" + std::to_string(port);
}

result<std::monostate> entry_node::listen(tcp_acceptor& acceptor,
                                          std::string const& address)
{
    auto const endpoint = parse_endpoint(address);
    boost::system::error_code failure;
    if (!endpoint)
        return error{error_code::invalid_input, "listen", address,
                     "is not a valid address"};
    acceptor.open(endpoint->protocol(), failure);
    if (!failure)
        acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(*endpoint, failure);
    if (!failure)
        acceptor.listen(listen_backlog, failure);
    if (failure)
        return error{error_code::unavailable, "listen", address, failure.message()};
    return std::monostate{};
}

result<std::monostate> entry_node::run()
{
    // Installed before the ports open, because a signal without a handler would end the
    // process.
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.add(SIGHUP);
    for (auto const& opened :
         {listen(caller_acceptor_, settings_.caller_address),
          listen(readiness_acceptor_, settings_.ready_address),
          listen(peer_acceptor_, own_address(settings_.peer_port)),
          listen(metrics_acceptor_, own_address(settings_.metrics_port))})
        if (!succeeded(opened))
            return opened;
    log_.write(entry_event::instance_started,
               {{"version", std::string_view(CARAWAYTURN_VERSION)},
                {"incarnation", incarnation_},
                {"callers", settings_.caller_address}});
    link_.start(peer_acceptor_);
    reader_.start();
    streams_.start();
    tasks_.run_with_restart("accept callers", [this]
                            { return accept_callers(services_, caller_acceptor_); });
    tasks_.run_with_restart("answer readiness probes",
                            [this]
                            {
                                return serve_probes(readiness_acceptor_,
                                                    [this](std::string_view)
                                                    { return readiness_page(); });
                            });
    tasks_.run_with_restart("answer scrapes",
                            [this]
                            {
                                return serve_probes(metrics_acceptor_,
                                                    [this](std::string_view target) {
                                                        return metrics_port_page(target);
                                                    });
                            });
    tasks_.run_with_restart("handle signals", [this] { return handle_signals(); });
    tasks_.run_with_restart("keep lease", [this] { return keep_lease(); });
    tasks_.run_with_restart("plan as hub", [this] { return plan_as_hub(); });
    tasks_.run_with_restart("tick", [this] { return tick(); });
    tasks_.run_context();
    log_callers(entry_event::instance_stopped,
                shutdown_ ? shutdown_->end_reason(boot_now()) : std::string_view());
    log_.flush();
    return std::monostate{};
}

void entry_node::erase_server(std::string const& id)
{
    if (auto const* const known = backends_.find(id))
        removed_servers_.note_removed(*known, boot_now());
    backends_.remove(id);
    streams_.server_removed(id);
    backends_.cold().remove(id, boot_now());
    connections_.drop(id);
    ids_by_short_id_.erase(short_id(id));
}

void entry_node::upsert_server(backend_record const& record)
{
    auto const [entry, inserted] =
        ids_by_short_id_.try_emplace(short_id(record.id), record.id);
    if (!inserted && entry->second != record.id)
        entry->second.clear();
    auto const* const known = backends_.find(record.id);
    bool const restarted = known != nullptr && known->born_ms != record.born_ms;
    if (restarted)
    {
        connections_.drop(record.id);
        note_server_crash(services_, record.id);
    }
    // Changes of the models alone are not logged: there are many a second, and the hub
    // logs the orders that cause them.
    if (known == nullptr || restarted || known->draining != record.draining ||
        known->address != record.address)
        log_.write(entry_event::backend_changed,
                   {{"server", record.id},
                    {"service", record.service},
                    {"address", record.address},
                    {"version", record.software_version},
                    {"draining", std::int64_t{record.draining}},
                    {"models", std::uint64_t{record.models.size()}},
                    {"born_ms", record.born_ms}});
    streams_.server_put(record);
    backends_.put(record);
    backends_.cold().put(record, boot_now());
}

void entry_node::server_put(backend_record const& record)
{
    hub_.put_server(record, boot_now(), reader_.servers_listed());
    if (directory_is_pushed())
        return;
    directory_.mark_local_change(boot_now());
    auto marked = record;
    marked.cold_for_s = hub_.cold().cold_for_s(record.id);
    upsert_server(marked);
}

void entry_node::server_removed(std::string const& id)
{
    log_.write(entry_event::backend_gone,
               {{"server", id}, {"store_answering", std::int64_t{store_.answering()}}});
    hub_.remove_server(id);
    if (directory_is_pushed())
        return;
    directory_.mark_local_change(boot_now());
    erase_server(id);
}

std::set<std::string> entry_node::known_servers() const
{
    std::set<std::string> ids;
    for (auto const& [id, record] : backends_.all())
        ids.insert(id);
    return ids;
}

backend_record const* entry_node::known_server(std::string const& id) const
{
    return backends_.find(id);
}

bool entry_node::removed_lately(backend_record const& record) const
{
    return removed_servers_.contains(record, boot_now());
}

void entry_node::config_changed()
{
    update_cold_terms();
    if (auto const config = authority_.current())
        streams_.apply_config(*config);
    changes_.notify();
}

node_status entry_node::status(bool complete)
{
    node_status status;
    status.node = settings_.name;
    status.address = own_address(settings_.peer_port);
    status.wants_config = !authority_.current() || authority_.outdated();
    status.incarnation = incarnation_;
    status.sent_at_us = boot_now().time_since_epoch().count();
    status.config_version = authority_.version();
    status.directory_hub = directory_.hub();
    status.directory_revision = directory_.revision();
    status.complete = complete;
    status.cancelled_quota_requests.push_back(reads_store_state);
    if (!complete)
        return status;
    if (status.directory_hub != lease_.row().holder_incarnation)
        status.directory_digest = digest_of(backends_.all());
    for (auto const& [place, count] : in_flight_)
        status.in_flight.push_back({place.first, place.second, count});
    status.demand = demand_.take_counts();
    status.crashes = crashes_.take_new_reports();
    status.cleared_signatures = crashes_.take_cleared();
    status.leaving = backends_.unreported_leaving();
    status.cold_requests = backends_.cold().take_requests(boot_now());
    return status;
}

node_update entry_node::make_reply(node_status const& status)
{
    auto const now = boot_now();
    bool const waiting =
        std::any_of(status.demand.begin(), status.demand.end(),
                    [](demand_count const& demand) { return demand.waiting > 0; });
    auto update = hub_.answer(status, authority_, now);
    // Another instance may be the hub as soon as the lease has ended.
    if (order_authorization_.allows_orders(now))
        update.cold_grants = hub_.cold().answer(status, hub_.instances(), now);
    if (waiting || hub_.crash_alert())
        plan_due_.notify();
    add_hub_fields(status, update);
    return update;
}

node_update entry_node::unsolicited_update(node_status const& last_status)
{
    auto update = hub_.unsolicited_update(last_status, authority_, boot_now());
    add_hub_fields(last_status, update);
    return update;
}

void entry_node::add_hub_fields(node_status const& status, node_update& update) const
{
    update.directory_age_us = (boot_now() - reader_.servers_read_at()).count();
    // Without a directory, receivers keep the one of the former hub.
    if (!directory_is_current())
    {
        update.directory_hub = 0;
        update.is_resync = false;
        update.replaced_buckets = 0;
        update.directory.clear();
    }
    add_config_and_lease(status, update);
}

node_update entry_node::make_referral(node_status const& status)
{
    node_update update;
    update.from_hub = false;
    update.complete = false;
    update.echo_us = status.sent_at_us;
    update.confirmation_age_us = authority_.confirmation_age(boot_now()).count();
    update.config_version = authority_.version();
    update.instances = static_cast<std::uint32_t>(link_.instances());
    add_config_and_lease(status, update);
    return update;
}

void entry_node::add_config_and_lease(node_status const& status,
                                      node_update& update) const
{
    update.lease = lease_.row();
    // A row that has come back from a copy tells other instances nothing.
    update.lease_version = lease_.row_proven() ? lease_.version().number : 0;
    if (reads_state_of_store(status))
        update.store = store_state{store_.eras().newest_known(), lease_.row().era};
    update.lease_remaining_us = lease_.remaining(boot_now()).count();
    update.evacuated = backends_.evacuated().message(boot_now());
    if (!status.wants_config || status.config_version >= authority_.version())
        return;
    update.packed_config = reader_.packed_config();
    update.config_row = reader_.config_row().number;
}

void entry_node::observe_told_lease(node_update const& update)
{
    if (update.lease_version == 0)
        return;
    auto row = update.lease;
    row.era = update.store ? update.store->lease_era : 0;
    // A sender that does not tell the era is assumed to know the same one.
    store_version const version{update.store ? row.era : lease_.version().era,
                                update.lease_version};
    if (lease_.observe(row, version, boot_now(), duration(update.lease_remaining_us)))
        link_.send_status_soon();
}

void entry_node::apply_config_and_lease(node_update const& update)
{
    if (update.store)
        store_.note_told_era(update.store->era);
    observe_told_lease(update);
    authority_.note_version(update.config_version);
    if (!update.packed_config.empty())
        reader_.apply_packed_config(
            update.packed_config,
            {update.store ? update.store->era : store_.era(), update.config_row});
    time_point const asked_at{duration(update.echo_us)};
    learn_evacuations(
        evacuation_reading::received(update.evacuated, asked_at, boot_now(),
                                     update.store ? update.store->era : store_.era()));
    if (update.echo_us == 0)
        return;
    authority_.confirm(update.config_version,
                       asked_at - duration(update.confirmation_age_us));
}

bool entry_node::config_unreachable() const
{
    return !store_.answering() && (!authority_.current() || authority_.outdated());
}

std::optional<std::string> entry_node::peer_to_ask()
{
    return peer_addresses_.next_to_ask(store_.answering(),
                                       authority_.confirmation_age(boot_now()),
                                       config_unreachable());
}

void entry_node::apply_referral(node_update const& update)
{
    auto const before = lease_.version();
    apply_config_and_lease(update);
    log_.write(entry_event::peer_asked,
               {{"hub", update.lease.holder_name},
                {"fence", update.lease.fence},
                {"hub_changed", std::int64_t{lease_.version() != before}},
                {"config_version", authority_.version()},
                {"config_age_ms", to_ms(authority_.confirmation_age(boot_now()))}});
    update_hub_role();
}

void entry_node::apply_directory(node_update const& update)
{
    if (!directory_.accept(update))
        return;
    std::vector<std::string> removed_ids;
    for (auto const& part : update.directory)
        removed_ids.insert(removed_ids.end(), part->removed.begin(), part->removed.end());
    if (update.replaced_buckets != 0)
    {
        std::set<std::string> kept;
        for (auto const& part : update.directory)
            for (auto const& record : part->records)
                kept.insert(record.id);
        for (auto const& [id, record] : backends_.all())
            if (((update.replaced_buckets >> bucket_of(id)) & 1U) != 0 &&
                kept.count(id) == 0)
                removed_ids.push_back(id);
    }
    for (auto const& id : removed_ids)
    {
        log_.write(entry_event::backend_gone,
                   {{"server", id}, {"directory_revision", update.directory_revision}});
        erase_server(id);
    }
    for (auto const& part : update.directory)
        for (auto const& record : part->records)
            upsert_server(record);
}

void entry_node::apply_update(node_update const& update)
{
    auto const now = boot_now();
    if (!hub_active_)
        apply_config_and_lease(update);
    peer_addresses_.add(update.peers);
    retries_.set_instances(update.instances);
    bool const hub_reads = update.directory_age_us <= trusted_directory_age.count() &&
                           update.confirmation_age_us <= trusted_confirmation_age.count();
    // If the hub cannot read the store, this instance reads it itself.
    if (hub_reads)
    {
        read_policy_.hub_report_received(now);
        // The hub knows from its own calls whether the store answers.
        if (!hub_active_)
            store_.hub_reported_answering();
    }
    else
        read_policy_.hub_read_failure_received();
    if (update.directory_hub != 0 && (hub_active_ || hub_reads))
        apply_directory(update);
    // The update may have waited to be read, but was sent after the status it answers.
    if (hub_reads && update.echo_us != 0 && update.directory_hub == directory_.hub() &&
        update.directory_revision == directory_.revision())
        streams_.confirm_directory(
            time_point{duration(update.echo_us - update.directory_age_us)});
    if (update.complete || !update.crashes.empty())
        crashes_.merge_fleet_counts(update.crashes, update.cleared_signatures, now);
    if (update.complete)
    {
        backends_.set_other_requests(update.loads.get());
        for (auto const& total : update.other_instances_loads)
            if (auto const found = ids_by_short_id_.find(total.short_server_id);
                found != ids_by_short_id_.end() && !found->second.empty())
                backends_.set_other_requests(found->second, total.requests);
        if (update.echo_us != 0)
            backends_.cold().apply(update.cold_grants,
                                   time_point{duration(update.echo_us)}, now);
        quota_.set_exhausted(update.exhausted_organisations, now);
        demand_.set_estimates(update.estimates, now);
        for (auto const& retiring : update.unloading_models)
            backends_.avoid_model(retiring.backend, retiring.model, now + retiring_pause);
    }
    changes_.notify();
    waiting_.wake(now);
}

task<void> entry_node::tick()
{
    steady_timer timer(io_);
    for (;;)
    {
        timer.expires_after(tick_interval);
        co_await timer.async_wait(use_task);
        auto const now = boot_now();
        pauses_.note_check(now);
        backends_.evacuated().note_check(now);
        // What arrived during a pause is read before its deadline is enforced.
        if (!pauses_.just_resumed())
            deadlines_.close_expired(now);
        connections_.close_expired(now);
        crashes_.expire(now);
        log_blocked_signatures();
        report_cold_servers(now);
        link_.update_hub_availability(now);
        if (hub_active_)
        {
            hub_.refresh_fleet(now);
            settle_quota();
        }
        update_hub_role();
        // What is pushed has not been applied yet.
        if (reader_.active() && !directory_is_pushed())
            streams_.confirm_directory(reader_.servers_read_at());
        reader_.set_mode(hub_active_ || streams_.directory_behind() ||
                             read_policy_.should_read(now, link_.period()),
                         read_policy_.should_read_config(now, authority_.outdated()));
        streams_.note_restorations(store_.eras().restorations());
        reader_.set_hub_retries(!hub_active_ && link_.connected() &&
                                read_policy_.hub_cannot_read());
        update_readiness();
        if (now >= next_settings_check_)
        {
            next_settings_check_ = now + settings_check_interval;
            reload(false);
        }
        log_.flush();
    }
}

} // namespace carawayturn::entry
