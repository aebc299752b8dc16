#include "transport/entry/peer_link.hpp"

#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"

namespace carawayturn::entry
{

namespace
{

/// Interval of the statuses, and the amount that each instance adds to it so that the
/// rate of statuses at the hub stays bounded as the number of instances grows.
constexpr duration base_period = std::chrono::milliseconds(250);
constexpr duration period_per_instance = std::chrono::milliseconds(3);
/// A hub that has not answered for this many periods is treated as unreachable.
constexpr int max_silent_periods = 3;
constexpr duration connect_timeout = std::chrono::milliseconds(300);
constexpr duration reconnect_interval = std::chrono::milliseconds(100);
constexpr duration max_reconnect_interval = std::chrono::milliseconds(400);
/// How often an instance whose configuration was not confirmed recently asks another
/// instance, and how long it waits for the answer.
constexpr duration peer_ask_interval = std::chrono::milliseconds(300);
constexpr duration peer_ask_timeout = std::chrono::milliseconds(500);
/// How long a request waits for the hub's reply to its quota request.
constexpr duration quota_timeout = std::chrono::milliseconds(250);
/// How often a request that waits in the hub's queue checks whether the hub is lost and
/// whether the request has given up.
constexpr duration queued_check_interval = std::chrono::milliseconds(200);

} // namespace

peer_link::peer_link(entry_services& services, hub_lease& lease, hub_service& hub,
                     update_sink& sink)
    : services_(services), lease_(lease), hub_(hub), sink_(sink), wake_(services.io)
{
}

template <class Message>
std::optional<Message> peer_link::value_or_log_error(result<Message> decoded)
{
    if (succeeded(decoded))
        return std::get<Message>(std::move(decoded));
    services_.log.write(entry_event::peer_message_unreadable,
                        {{"detail", std::get<error>(decoded).detail}});
    return std::nullopt;
}

void peer_link::start(tcp_acceptor& acceptor)
{
    services_.tasks.run_with_restart("accept instances",
                                     [this, &acceptor] { return accept(acceptor); });
    services_.tasks.run_with_restart("follow hub", [this] { return follow_hub(); });
    services_.tasks.run_with_restart("ask instances", [this] { return ask_peers(); });
}

duration peer_link::period() const
{
    return base_period + period_per_instance * static_cast<int>(instances_);
}

bool peer_link::connected() const
{
    return hub_.is_hub() || (hub_connection_ && hub_answered_ &&
                             boot_now() - last_update_ < max_silent_periods * period());
}

void peer_link::update_hub_availability(time_point now)
{
    if (!connected() || lease_.remaining(now) == duration::zero())
        last_without_valid_hub_ = now;
}

void peer_link::send_status_soon()
{
    wake_.notify();
}

task<void> peer_link::accept(tcp_acceptor& acceptor)
{
    for (;;)
    {
        auto [failure, socket] = co_await acceptor.async_accept(use_task);
        if (!acceptor.is_open())
            co_return;
        if (failure)
        {
            co_await wake_.wait(reconnect_interval);
            continue;
        }
        set_connection_options(socket);
        auto const peer = remote_address(socket);
        auto connection = std::make_shared<peer_connection>(
            std::make_shared<deadline_socket>(services_.deadlines, std::move(socket)));
        services_.tasks.run("serve instance", peer, serve_member(std::move(connection)));
    }
}

task<void> peer_link::serve_member(std::shared_ptr<peer_connection> connection)
{
    auto* const key = connection.get();
    for (;;)
    {
        connection->set_deadline(boot_now() + 2 * max_silent_periods * period());
        auto const bytes = co_await peer_connection::read(connection);
        if (!bytes)
            break;
        auto const read = value_or_log_error(decode_status(*bytes));
        if (!read)
            break;
        auto const& status = *read;
        if (!hub_.is_hub())
        {
            members_.erase(key);
            peer_connection::send(connection, encode(hub_.make_referral(status)));
            continue;
        }
        auto& peer = members_[key];
        peer.connection = connection;
        peer.last_status.node = status.node;
        peer.last_status.incarnation = status.incarnation;
        peer.last_status.config_version = status.config_version;
        if (reads_state_of_store(status))
            peer.last_status.cancelled_quota_requests = {reads_store_state};
        send_update(peer, hub_.make_reply(status));
    }
    members_.erase(key);
    connection->close();
}

void peer_link::send_update(member& peer, node_update const& update)
{
    if (update.directory_hub != 0)
    {
        peer.last_status.directory_hub = update.directory_hub;
        peer.last_status.directory_revision = update.directory_revision;
    }
    if (!update.packed_config.empty())
        peer.last_status.config_version = update.config_version;
    peer_connection::send(peer.connection, encoder_.encode(update));
}

void peer_link::push_updates()
{
    // An instance that has not received the directory yet gets it with the reply to its
    // next status.
    for (auto& [key, peer] : members_)
        if (peer.last_status.directory_hub != 0)
            send_update(peer, hub_.unsolicited_update(peer.last_status));
}

void peer_link::send_referrals()
{
    for (auto& [key, peer] : members_)
        peer_connection::send(peer.connection,
                              encode(hub_.make_referral(peer.last_status)));
    members_.clear();
}

task<std::shared_ptr<peer_connection>> peer_link::connect(std::string address)
{
    auto socket = co_await connect_to(services_.io, services_.deadlines,
                                      std::move(address), boot_now() + connect_timeout);
    if (!socket)
        co_return nullptr;
    socket->set_deadline(time_point::max());
    co_return std::make_shared<peer_connection>(std::move(socket));
}

task<void> peer_link::follow_hub()
{
    duration pause = reconnect_interval;
    for (;;)
    {
        if (hub_.is_hub())
        {
            exchange_with_self(next_status(true));
            co_await wake_.wait(period());
            continue;
        }
        auto const address = lease_.row().holder_address;
        if (address.empty() || lease_.own_row())
        {
            co_await wake_.wait(reconnect_interval);
            continue;
        }
        auto const connection = co_await connect(address);
        if (!connection)
        {
            co_await wake_.wait(pause);
            pause = std::min(2 * pause, max_reconnect_interval);
            continue;
        }
        hub_answered_ = false;
        hub_connection_ = connection;
        update_age_.reset();
        last_update_ = boot_now();
        services_.tasks.run("read updates", address, read_updates(connection));
        co_await send_statuses(connection, address);
        connection->close();
        hub_connection_.reset();
        // The address of a former hub may accept connections without answering.
        pause = hub_answered_ ? reconnect_interval
                              : std::min(2 * pause, max_reconnect_interval);
        if (hub_answered_)
            services_.log.write(
                entry_event::hub_lost,
                {{"peer", address}, {"silent_ms", to_ms(boot_now() - last_update_)}});
        co_await wake_.wait(pause);
    }
}

task<void> peer_link::send_statuses(std::shared_ptr<peer_connection> connection,
                                    std::string address)
{
    // Ends when the connection closes, another instance becomes the hub or the hub stays
    // silent.
    while (connection->open() && lease_.row().holder_address == address)
    {
        if (boot_now() - last_update_ > max_silent_periods * period())
            co_return;
        peer_connection::send(connection, encode(next_status(true)));
        co_await wake_.wait(period());
    }
}

task<void> peer_link::read_updates(std::shared_ptr<peer_connection> connection)
{
    for (;;)
    {
        auto const bytes = co_await peer_connection::read(connection);
        if (!bytes)
            break;
        auto const update = value_or_log_error(decode_update(*bytes));
        if (!update)
            break;
        if (!update->from_hub)
        {
            // The sender is a former hub. Its answer names the new hub if it knows it.
            sink_.apply_referral(*update);
            break;
        }
        if (!hub_answered_)
            services_.log.write(
                entry_event::hub_found,
                {{"peer", lease_.row().holder_address}, {"fence", lease_.row().fence}});
        hub_answered_ = true;
        last_update_ = boot_now();
        process_update(*update);
    }
    connection->close();
    wake_.notify();
}

task<void> peer_link::ask_peers()
{
    steady_timer timer(services_.io);
    for (;;)
    {
        timer.expires_after(peer_ask_interval);
        co_await timer.async_wait(use_task);
        if (auto const address = sink_.peer_to_ask())
            co_await ask_peer(*address);
    }
}

task<void> peer_link::ask_peer(std::string address)
{
    auto const connection = co_await connect(std::move(address));
    if (!connection)
        co_return;
    connection->set_deadline(boot_now() + peer_ask_timeout);
    peer_connection::send(connection, encode(sink_.status(false)));
    auto const bytes = co_await peer_connection::read(connection);
    connection->close();
    if (!bytes)
        co_return;
    if (auto const update = value_or_log_error(decode_update(*bytes)))
        sink_.apply_referral(*update);
}

void peer_link::exchange_with_self(node_status const& status)
{
    last_update_ = boot_now();
    process_update(hub_.make_reply(status));
}

void peer_link::process_update(node_update const& update)
{
    instances_ = std::max<std::size_t>(update.instances, 1);
    if (!update.quota.empty())
        process_quota_replies(
            update.quota,
            hub_.is_hub()
                ? duration::zero()
                : update_age_.of(time_point{duration(update.sent_at_us)}, boot_now()));
    sink_.apply_update(update);
}

void peer_link::process_quota_replies(std::vector<quota_reply> const& replies,
                                      duration age)
{
    auto const now = boot_now();
    auto const window = services_.settings.bounds.quota_window;
    for (auto const& reply : replies)
    {
        auto const found = pending_quota_requests_.find(reply.quota_request_id);
        // The request has stopped waiting. The granted units stay unused.
        if (found == pending_quota_requests_.end())
            continue;
        auto& pending = *found->second;
        // Units of an old grant would add to those that the hub has granted since.
        bool const too_old = age > window && now - pending.asked_at > window;
        pending.queued = reply.queued;
        pending.answered = !reply.queued;
        if (pending.answered && !too_old)
            pending.reply = reply;
        pending.timer.cancel();
    }
}

node_status peer_link::next_status(bool complete)
{
    auto status = sink_.status(complete);
    auto const cancelled = std::exchange(cancelled_quota_requests_, {});
    status.cancelled_quota_requests.insert(status.cancelled_quota_requests.end(),
                                           cancelled.begin(), cancelled.end());
    return status;
}

task<std::optional<quota_reply>> peer_link::ask_quota(hub_quota_question question)
{
    auto status = next_status(false);
    auto const id = next_quota_request_id_++;
    auto const max_wait = question.rank.max_wait;
    status.quota_requests.push_back({id, std::move(question.organisation), question.units,
                                     question.reserve, question.rank.priority,
                                     max_wait.count()});
    if (question.rank.resumes_stream)
        status.cancelled_quota_requests.push_back(id);
    auto const now = boot_now();
    auto const pending = std::make_shared<pending_quota_request>(pending_quota_request{
        std::nullopt, false, false, now, steady_timer(services_.io)});
    pending_quota_requests_[id] = pending;
    if (hub_.is_hub())
        exchange_with_self(status);
    else if (hub_connection_)
        peer_connection::send(hub_connection_, encode(status));
    if (!pending->answered && !pending->queued)
    {
        pending->timer.expires_after(quota_timeout);
        co_await pending->timer.async_wait(use_task);
    }
    if (pending->queued)
        co_await wait_in_queue(pending, std::move(question.given_up), now + max_wait);
    pending_quota_requests_.erase(id);
    if (!pending->answered && max_wait > duration::zero())
        cancelled_quota_requests_.push_back(id);
    co_return pending->reply;
}

task<void> peer_link::wait_in_queue(std::shared_ptr<pending_quota_request> pending,
                                    std::function<bool()> given_up, time_point limit)
{
    auto const connection = hub_connection_;
    bool const own = hub_.is_hub();
    for (;;)
    {
        auto const now = boot_now();
        bool const same_hub = hub_.is_hub() == own && hub_connection_ == connection;
        if (pending->answered || now >= limit || !same_hub || !connected() || given_up())
            co_return;
        pending->timer.expires_after(std::min(limit - now, queued_check_interval));
        co_await pending->timer.async_wait(use_task);
    }
}

void peer_link::send_quota_outcomes(std::vector<settled_quota> const& settled)
{
    using process = std::pair<std::string, std::uint64_t>;
    std::map<process, std::vector<quota_reply>> replies;
    for (auto const& item : settled)
        replies[{item.instance, item.incarnation}].push_back(
            {item.id, item.units, item.retry_after.count(), false});
    auto const own =
        replies.find({services_.settings.name, lease_.row().holder_incarnation});
    if (own != replies.end())
        process_quota_replies(own->second, duration::zero());
    for (auto& [key, peer] : members_)
    {
        auto const found =
            replies.find({peer.last_status.node, peer.last_status.incarnation});
        if (found == replies.end())
            continue;
        auto update = hub_.make_reply(peer.last_status);
        update.quota = found->second;
        update.sent_at_us = boot_now().time_since_epoch().count();
        send_update(peer, update);
    }
}

} // namespace carawayturn::entry
