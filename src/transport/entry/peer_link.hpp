#pragma once

#include "coordination/entry/hub_lease.hpp"
#include "coordination/entry/quota_queue.hpp"
#include "protocol/entry/node_codec.hpp"
#include "state/result.hpp"
#include "transport/entry/entry_services.hpp"
#include "transport/entry/peer_connection.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace carawayturn::entry
{

/// Makes the messages that this instance sends to other instances: updates while it is
/// the hub, and referrals while it is not.
class hub_service
{
public:
    hub_service() = default;
    hub_service(hub_service const&) = delete;
    hub_service& operator=(hub_service const&) = delete;
    virtual ~hub_service() = default;

    /// Whether this instance is the hub.
    [[nodiscard]] virtual bool is_hub() const = 0;
    /// Makes the reply of the hub to a status.
    [[nodiscard]] virtual node_update make_reply(node_status const& status) = 0;
    /// Makes an update that the hub sends without having received a status.
    /// @param last_status last known state of the receiving instance.
    [[nodiscard]] virtual node_update
    unsolicited_update(node_status const& last_status) = 0;
    /// Makes the answer of an instance that is not the hub: its copy of the lease row,
    /// the version and age of its configuration, and the configuration itself if the
    /// status asks for it and has an older version.
    [[nodiscard]] virtual node_update make_referral(node_status const& status) = 0;
};

/// Supplies this instance's status and receives the updates of the hub and other
/// instances.
class update_sink
{
public:
    update_sink() = default;
    update_sink(update_sink const&) = delete;
    update_sink& operator=(update_sink const&) = delete;
    virtual ~update_sink() = default;

    /// Makes the status of this instance.
    /// @param complete false to leave out the lists (requests in flight, demand, crashes,
    ///     cleared signatures, leaving servers), for a quota request or a question to an
    ///     instance that is not the hub.
    [[nodiscard]] virtual node_status status(bool complete) = 0;
    /// Applies an update of the hub.
    virtual void apply_update(node_update const& update) = 0;
    /// Applies the answer of an instance that is not the hub.
    virtual void apply_referral(node_update const& update) = 0;
    /// Returns the address of the instance to ask now for the lease row and the
    /// configuration, or nullopt if none needs to be asked or none is known.
    [[nodiscard]] virtual std::optional<std::string> peer_to_ask() = 0;
};

/// The connections to other instances. Every instance keeps one connection to the hub,
/// over which it sends statuses and receives updates. The hub handles its own status in
/// the same way, without a connection.
class peer_link final : public hub_link
{
public:
    peer_link(entry_services& services, hub_lease& lease, hub_service& hub,
              update_sink& sink);

    /// Starts accepting connections, following the hub and asking other instances.
    void start(tcp_acceptor& acceptor);
    /// Sends an update to all connected instances at once, after a change that should not
    /// wait for their next status.
    void push_updates();
    /// Tells all connected instances that this one is no longer the hub.
    void send_referrals();
    /// Interval at which statuses are sent. The hub replies to each with an update.
    [[nodiscard]] duration period() const;

    /// Sends the outcomes of requests that waited for quota, in one update for each
    /// instance.
    void send_quota_outcomes(std::vector<settled_quota> const& settled);

    [[nodiscard]] task<std::optional<quota_reply>>
    ask_quota(hub_quota_question question) override;
    void send_status_soon() override;
    [[nodiscard]] bool connected() const override;
    [[nodiscard]] bool is_hub() const override { return hub_.is_hub(); }
    [[nodiscard]] std::size_t instances() const override { return instances_; }
    [[nodiscard]] time_point last_without_valid_hub() const override
    {
        return last_without_valid_hub_;
    }
    /// Sets last_without_valid_hub() to `now`, unless a hub answers and its lease is
    /// valid. To be called periodically.
    void update_hub_availability(time_point now);

private:
    /// A quota request of this instance that waits for the reply of the hub.
    struct pending_quota_request
    {
        std::optional<quota_reply> reply;
        bool answered = false;
        /// The hub has put the request in its queue.
        bool queued = false;
        time_point asked_at;
        steady_timer timer;
    };
    /// Returns a status without lists that asks for the configuration.
    [[nodiscard]] static node_status incomplete_status()
    {
        node_status status;
        status.complete = false;
        status.wants_config = true;
        return status;
    }
    /// An instance that is connected to this one as the hub.
    struct member
    {
        std::shared_ptr<peer_connection> connection;
        /// Name, incarnation and configuration version from the instance's last status,
        /// and the directory state and configuration version last sent to it. Used in
        /// place of a status for updates that the instance did not ask for.
        node_status last_status = incomplete_status();
    };

    [[nodiscard]] task<void> accept(tcp_acceptor& acceptor);
    [[nodiscard]] task<void> serve_member(std::shared_ptr<peer_connection> connection);
    [[nodiscard]] task<void> follow_hub();
    [[nodiscard]] task<void> read_updates(std::shared_ptr<peer_connection> connection);
    [[nodiscard]] task<void> ask_peers();
    [[nodiscard]] task<void> ask_peer(std::string address);
    /// Returns the decoded message, or logs the decoding error and returns nullopt.
    template <class Message>
    [[nodiscard]] std::optional<Message> value_or_log_error(result<Message> decoded);
    void send_update(member& peer, node_update const& update);
    [[nodiscard]] task<std::shared_ptr<peer_connection>> connect(std::string address);
    [[nodiscard]] task<void> send_statuses(std::shared_ptr<peer_connection> connection,
                                           std::string address);
    /// Applies the reply to this instance's own status while it is the hub.
    void exchange_with_self(node_status const& status);
    void process_update(node_update const& update);
    /// Passes quota replies on to the requests that wait for them.
    /// @param age how long the replies took to arrive.
    void process_quota_replies(std::vector<quota_reply> const& replies, duration age);
    /// Waits for the outcome of a queued request: until `limit`, or until the hub is lost
    /// or the request has given up.
    [[nodiscard]] task<void> wait_in_queue(std::shared_ptr<pending_quota_request> pending,
                                           std::function<bool()> given_up,
                                           time_point limit);
    /// Returns the instance's status, with the quota requests that no longer wait.
    [[nodiscard]] node_status next_status(bool complete);

    entry_services& services_;
    hub_lease& lease_;
    hub_service& hub_;
    update_sink& sink_;
    change_signal wake_;
    std::shared_ptr<peer_connection> hub_connection_;
    time_point last_update_{};
    /// Number of instances that the hub reported last; 16 is assumed until its first
    /// update.
    std::size_t instances_ = 16;
    std::uint64_t next_quota_request_id_ = 1;
    std::map<std::uint64_t, std::shared_ptr<pending_quota_request>>
        pending_quota_requests_;
    /// Queued quota requests that no longer wait, to be told to the hub with the next
    /// status.
    std::vector<std::uint64_t> cancelled_quota_requests_;
    message_age update_age_;
    std::map<peer_connection*, member> members_;
    update_encoder encoder_;
    /// Whether the current connection to the hub has delivered an update.
    bool hub_answered_ = false;
    time_point last_without_valid_hub_{};
};

} // namespace carawayturn::entry
