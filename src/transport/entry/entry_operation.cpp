#include "transport/entry/entry_node.hpp"

#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/caller_session.hpp"
#include "transport/entry/state_dump.hpp"

#include <boost/asio/write.hpp>

#include <array>
#include <csignal>
#include <list>
#include <utility>

// The part of entry_node that serves the platform and operators: readiness, metrics,
// state dump, reload and shutdown.
namespace carawayturn::entry
{

namespace
{

/// Time limit for a probe of readiness or metrics.
constexpr duration probe_timeout = std::chrono::seconds(2);
constexpr duration drain_poll = std::chrono::milliseconds(50);
/// Maximum size of the head of a probe, in bytes.
constexpr std::size_t max_probe_bytes = 8192;

/// Returns the target of a request line; empty if there is none.
std::string_view target_of(std::string_view request)
{
    auto const begin = request.find(' ');
    if (begin == std::string_view::npos)
        return {};
    auto const rest = request.substr(begin + 1);
    return rest.substr(0, rest.find(' '));
}

std::string probe_answer(std::string_view status, std::string const& body)
{
    std::string answer = "HTTP/1.1 ";
    answer += status;
    answer += "\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: ";
    answer += std::to_string(body.size()) + "\r\n\r\n" + body;
    return answer;
}

/// Accepting is tried again after this time if no file descriptor is free.
constexpr duration accept_retry = std::chrono::milliseconds(20);

/// The open probes of one port, oldest first.
using open_probes = std::list<std::weak_ptr<deadline_socket>>;

/// Closes the oldest probe if the port has as many as its share. Returns whether it did.
bool make_room(open_probes& probes, std::size_t limit)
{
    probes.remove_if(
        [](auto const& probe)
        {
            auto const socket = probe.lock();
            return !socket || !socket->socket().is_open();
        });
    if (probes.size() < limit)
        return false;
    if (auto const oldest = probes.front().lock())
        oldest->close();
    probes.pop_front();
    return true;
}

/// Answers one probe of readiness or metrics. `answer` returns the answer for its target.
task<void> answer_probe(std::shared_ptr<deadline_socket> socket, probe_handler answer)
{
    std::string request;
    std::array<char, 1024> chunk{};
    socket->set_deadline(boot_now() + probe_timeout);
    while (request.find("\r\n\r\n") == std::string::npos &&
           request.size() < max_probe_bytes)
    {
        auto const [failure, size] =
            co_await socket->socket().async_read_some(asio::buffer(chunk), use_task);
        if (failure)
            co_return;
        request.append(chunk.data(), size);
    }
    auto const bytes = answer(target_of(request));
    // A failed write is ignored: the prober has closed the connection.
    co_await asio::async_write(socket->socket(), asio::buffer(bytes), use_task);
    socket->close();
}

} // namespace

bool entry_node::ready() const
{
    return !shutdown_ && authority_.may_serve_keyed(boot_now()) &&
           !backends_.all().empty();
}

void entry_node::update_readiness()
{
    bool const now_ready = ready();
    if (now_ready == was_ready_)
        return;
    was_ready_ = now_ready;
    metrics_.set_gauge("ready", now_ready ? 1 : 0);
    log_.write(entry_event::readiness_changed,
               {{"ready", std::int64_t{now_ready}},
                {"config_version", authority_.version()},
                {"config_age_ms", to_ms(authority_.confirmation_age(boot_now()))},
                {"servers", std::uint64_t{backends_.all().size()}}});
}

std::string entry_node::readiness_page() const
{
    return ready() ? probe_answer("200 OK", "ready\n")
                   : probe_answer("503 Service Unavailable", "not ready\n");
}

std::string entry_node::metrics_port_page(std::string_view target)
{
    if (target == "/state")
    {
        node_summary summary;
        summary.ready = ready();
        summary.hub = hub_active_;
        summary.store_answering = store_.answering();
        summary.reading_store = reader_.active();
        summary.incarnation = incarnation_;
        summary.peers_known = peer_addresses_.size();
        return probe_answer("200 OK", dump_state(services_, lease_, summary));
    }
    if (target != "/metrics")
        return probe_answer("404 Not Found", "pages: /metrics /state\n");
    metrics_.set_gauge("hub_answers", link_.connected() ? 1 : 0);
    metrics_.set_gauge("open_requests", static_cast<double>(caller_connections_.count(
                                            caller_stage::serving)));
    metrics_.set_gauge("caller_connections",
                       static_cast<double>(caller_connections_.open()));
    metrics_.set_gauge("caller_connection_limit",
                       static_cast<double>(caller_connections_.limit()));
    metrics_.set_gauge("head_bytes", static_cast<double>(heads_.taken()));
    metrics_.set_gauge("body_bytes", static_cast<double>(bodies_.taken()));
    metrics_.set_gauge("log_lines_dropped", static_cast<double>(log_.dropped()));
    metrics_.set_gauge("connections_opened", static_cast<double>(connections_.opened()));
    metrics_.set_gauge("configuration_age_seconds",
                       to_seconds(authority_.confirmation_age(boot_now())));
    return probe_answer("200 OK", metrics_.print());
}

task<void> entry_node::serve_probes(tcp_acceptor& acceptor, probe_handler answer)
{
    open_probes probes;
    for (;;)
    {
        auto [failure, socket] = co_await acceptor.async_accept(use_task);
        if (!acceptor.is_open())
            co_return;
        if (failure)
        {
            co_await changes_.wait(accept_retry);
            continue;
        }
        if (make_room(probes, shares_.probe_connections))
            services_.note_limit(client_share::probes, limit_action::closed_unfinished);
        auto const peer = remote_address(socket);
        auto watched = std::make_shared<deadline_socket>(deadlines_, std::move(socket));
        probes.push_back(watched);
        tasks_.run("answer probe", peer, answer_probe(std::move(watched), answer));
    }
}

signal_time_range entry_node::signal_time() const
{
    auto const now = boot_now();
    return {std::max(pauses_.earliest_arrival(now),
                     now - settings_.bounds.shutdown_grace / 2),
            now};
}

task<void> entry_node::handle_signals()
{
    for (;;)
    {
        auto const [failure, signal] = co_await signals_.async_wait(use_task);
        if (failure)
            co_return;
        if (signal == SIGHUP)
        {
            reload(true);
            continue;
        }
        if (shutdown_)
            continue;
        reload(false);
        shutdown_.emplace(signal_time(), settings_.bounds.shutdown_grace);
        log_callers(entry_event::instance_draining, {});
        update_readiness();
        tasks_.run("give lease back", "", release_lease());
        tasks_.run_with_restart("drain", [this] { return drain(); });
    }
}

void entry_node::reload(bool forced)
{
    auto const read = read_settings_(forced);
    if (!read)
        return;
    if (!succeeded(*read))
    {
        auto const& failure = std::get<error>(*read);
        log_.write(entry_event::settings_rejected,
                   {{"step", failure.step}, {"detail", failure.detail}});
        return;
    }
    auto const& next = std::get<node_settings>(*read);
    bool const store_moved = next.store_address != settings_.store_address;
    settings_.store_address = next.store_address;
    settings_.bounds = next.bounds;
    authority_.set_max_confirmation_age(next.bounds.key_withdrawal - withdrawal_margin);
    log_.write(entry_event::settings_reloaded, {{"store", settings_.store_address},
                                                {"moved", std::int64_t{store_moved}}});
}

void entry_node::log_callers(entry_event event, std::string_view reason)
{
    log_.write(
        event,
        {{"reason", reason},
         {"idle", std::uint64_t{caller_connections_.count(caller_stage::idle)}},
         {"reading", std::uint64_t{caller_connections_.count(caller_stage::reading)}},
         {"serving", std::uint64_t{caller_connections_.count(caller_stage::serving)}},
         {"closing", std::uint64_t{caller_connections_.count(caller_stage::closing)}}});
}

void entry_node::log_blocked_signatures()
{
    for (auto const& blocked : crashes_.take_newly_blocked())
        log_.write(entry_event::crashes_blocked,
                   {{"signature", blocked.signature},
                    {"crashes", std::uint64_t{blocked.crashes}}});
}

void entry_node::stop_accepting()
{
    if (!caller_acceptor_.is_open())
        return;
    // Connections that cannot be accepted for lack of file descriptors are retried.
    if (!accept_pending_callers(services_, caller_acceptor_) && !unanswered_cut_)
        return;
    boost::system::error_code ignored;
    caller_acceptor_.close(ignored);
    log_callers(entry_event::intake_closed, {});
}

task<void> entry_node::release_lease()
{
    order_authorization_.revoke();
    steady_timer timer(io_);
    while (lease_.held(boot_now()) && !order_authorization_.all_settled(boot_now()))
    {
        timer.expires_after(drain_poll);
        co_await timer.async_wait(use_task);
    }
    co_await keeper_.release();
    update_hub_role();
    link_.send_referrals();
    lease_settled_ = true;
}

void entry_node::apply_shutdown_step(shutdown_step step)
{
    if (step == shutdown_step::serve)
        return;
    caller_connections_.close_idle(boot_now() - shutdown_->idle_close_delay());
    stop_accepting();
    if (step == shutdown_step::finish)
        return;
    bool const all = step == shutdown_step::cut;
    bool const logged = all ? requests_cut_ : unanswered_cut_;
    unanswered_cut_ = true;
    requests_cut_ = all;
    if (!logged)
        log_callers(entry_event::requests_cut, shutdown_->end_reason(boot_now()));
    // Repeated in each step: a request may have been between two reads before, or may
    // have started since.
    caller_connections_.stop(all ? stop_scope::all : stop_scope::unanswered);
}

task<void> entry_node::drain()
{
    steady_timer timer(io_);
    for (;;)
    {
        auto const now = boot_now();
        auto const idle_before = now - shutdown_->idle_close_delay();
        auto const step = shutdown_->step(
            now, {caller_connections_.unfinished(idle_before), lease_settled_,
                  !caller_acceptor_.is_open(), requests_cut_});
        if (step == shutdown_step::end)
            break;
        apply_shutdown_step(step);
        timer.expires_after(drain_poll);
        co_await timer.async_wait(use_task);
    }
    io_.stop();
}

} // namespace carawayturn::entry
