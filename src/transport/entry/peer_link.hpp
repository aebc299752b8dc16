#pragma once

#include "coordination/entry/hub_lease.hpp"
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

/// Makes the replies of the hub.
class hub_service
{
public:
    hub_service() = default;
    hub_service(hub_service const&) = delete;
    hub_service& operator=(hub_service const&) = delete;
    virtual ~hub_service() = default;

    /// Whether this instance is the hub.
    [[nodiscard]] virtual bool serving() const = 0;
    [[nodiscard]] virtual node_update make_reply(node_status const& status) = 0;
    /// What an instance should know that sent this status, or one like it, before.
    [[nodiscard]] virtual node_update
    unsolicited_update(node_status const& last_status) = 0;
    /// What an instance that is not the hub answers in its place.
    [[nodiscard]] virtual node_update make_referral(node_status const& status) = 0;
};

/// Takes what the hub tells.
class update_sink
{
public:
    update_sink() = default;
    update_sink(update_sink const&) = delete;
    update_sink& operator=(update_sink const&) = delete;
    virtual ~update_sink() = default;

    [[nodiscard]] virtual node_status status(bool complete) = 0;
    virtual void apply_update(node_update const& update) = 0;
    /// Takes the word of an instance that is not the hub.
    virtual void apply_referral(node_update const& update) = 0;
    /// The instance to ask in the hub's place, if that is needed.
    [[nodiscard]] virtual std::optional<std::string> peer_to_ask() = 0;
};

/// The connections to other instances: every instance keeps one to the hub, tells it its
/// status and takes its updates. The hub's own status goes the same way without one.
class peer_link final : public hub_link
{
public:
    peer_link(entry_services& services, hub_lease& lease, hub_service& hub,
              update_sink& sink);

    void start(tcp_acceptor& acceptor);
    /// Sends an update to all instances, after a change that they should know at once.
    void push_updates();
    /// Tells all instances that this one is no longer the hub.
    void send_referrals();
    /// Interval of the hub's updates.
    [[nodiscard]] duration period() const;

    [[nodiscard]] task<std::optional<quota_reply>>
    ask_quota(std::string organisation, double units, double reserve) override;
    void send_status_soon() override;
    [[nodiscard]] bool connected() const override;
    [[nodiscard]] bool is_hub() const override { return hub_.serving(); }
    [[nodiscard]] std::size_t instances() const override { return instances_; }
    [[nodiscard]] time_point last_without_ordering_hub() const override
    {
        return last_without_orders_;
    }
    /// Follows whether a hub answers that holds its lease; call often.
    void update_order_availability(time_point now);

private:
    struct pending_quota_request
    {
        std::optional<quota_reply> reply;
        bool answered = false;
        steady_timer timer;
    };
    /// A status that tells nothing but who sends it and what it lacks.
    [[nodiscard]] static node_status incomplete_status()
    {
        node_status status;
        status.complete = false;
        status.wants_config = true;
        return status;
    }
    struct member
    {
        std::shared_ptr<peer_connection> connection;
        /// Names the instance and the directory state that it was sent; stands for its
        /// status in updates that it did not ask for.
        node_status last_status = incomplete_status();
    };

    [[nodiscard]] task<void> accept(tcp_acceptor& acceptor);
    [[nodiscard]] task<void> serve_member(std::shared_ptr<peer_connection> connection);
    [[nodiscard]] task<void> follow_hub();
    [[nodiscard]] task<void> read_updates(std::shared_ptr<peer_connection> connection);
    [[nodiscard]] task<void> ask_peers();
    [[nodiscard]] task<void> ask_peer(std::string address);
    /// The message; an error is logged.
    template <class Message>
    [[nodiscard]] std::optional<Message> value_or_log_error(result<Message> decoded);
    void send_update(member& peer, node_update const& update);
    [[nodiscard]] task<std::shared_ptr<peer_connection>> connect(std::string address);
    [[nodiscard]] task<void> send_statuses(std::shared_ptr<peer_connection> connection,
                                           std::string address);
    void exchange_with_self(node_status const& status);
    void process_update(node_update const& update);

    entry_services& services_;
    hub_lease& lease_;
    hub_service& hub_;
    update_sink& sink_;
    change_signal wake_;
    std::shared_ptr<peer_connection> hub_connection_;
    time_point last_update_{};
    std::size_t instances_ = 16;
    std::uint64_t next_quota_request_id_ = 1;
    std::map<std::uint64_t, std::shared_ptr<pending_quota_request>>
        pending_quota_requests_;
    std::map<peer_connection*, member> members_;
    update_encoder encoder_;
    /// The present connection to the hub has delivered an update.
    bool hub_answered_ = false;
    time_point last_without_orders_{};
};

} // namespace carawayturn::entry
