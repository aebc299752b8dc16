#pragma once

#include "coordination/entry/organisation_queue.hpp"
#include "coordination/entry/quota.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::entry
{

enum class quota_verdict : std::uint8_t
{
    granted,
    queued,
    refused
};

/// The hub's decision on a request for units at the time at which it arrives.
struct quota_decision
{
    quota_verdict verdict = quota_verdict::refused;
    /// Granted units, including a reserve.
    double units = 0;
    /// If refused: the time until units are expected for a request of this size and rank.
    duration retry_after{};
};

/// The outcome of a request that has waited. No units means that it is refused.
struct settled_quota
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t id = 0;
    double units = 0;
    duration retry_after{};
};

/// A request for units as the hub receives it. `claim.latest` is set by the queue.
struct quota_ask
{
    std::string organisation;
    quota_claim claim;
    double reserve = 0;
    duration max_wait{};
};

/// The requests of all organisations that wait at the hub for units. Every grant is taken
/// from the bucket in hub_quota when it is decided and never returned, so that requests
/// that wait get no more than those that do not. Handles the load pattern "an
/// organisation sends several times its rate for seconds and little afterwards, through
/// all instances, while callers give up and instances come and go".
class quota_queue
{
public:
    using find_terms = std::function<std::optional<quota_terms>(std::string const&)>;

    explicit quota_queue(hub_quota& bank) : bank_(bank) {}

    /// Forgets all waiting requests, when an instance becomes the hub.
    void clear();
    /// Records a message of an instance. Requests of its former process are dropped.
    void heard(std::string const& instance, std::uint64_t incarnation, time_point now);
    /// Removes requests of an instance that no longer wait.
    void cancel(std::string const& instance, std::vector<std::uint64_t> const& ids);

    /// Decides on a new request. Waiting requests of the organisation may be granted too.
    [[nodiscard]] quota_decision request(quota_ask ask, quota_terms const& terms,
                                         time_point now);
    /// Grants and refuses waiting requests, and returns what was decided since the last
    /// call. Returns nothing before the interval since the last call has passed, which
    /// grows with the number of instances so that the updates stay few.
    [[nodiscard]] std::vector<settled_quota>
    settle(std::size_t instances, find_terms const& terms_of, time_point now);

    [[nodiscard]] std::size_t waiting() const;
    /// Number of waiting requests of each organisation that has some.
    [[nodiscard]] std::map<std::string, std::size_t> waiting_by_organisation() const;

private:
    struct instance_state
    {
        std::uint64_t incarnation = 0;
        time_point heard_at{};
    };
    void pay(std::string const& organisation, organisation_queue& line,
             quota_terms const& terms, time_point now);
    void refuse(quota_claim const& claim, duration retry_after);
    [[nodiscard]] quota_decision pay_without_wait(quota_ask const& ask,
                                                  organisation_queue& line,
                                                  quota_terms const& terms,
                                                  time_point now);
    /// Makes room for one more request, at the expense of a lower priority.
    [[nodiscard]] bool make_room(organisation_queue& line, quota_claim const& claim,
                                 bucket_state const& bucket, time_point now);
    /// Returns whether the request is among those settled since the last settle(), and
    /// removes it from them.
    [[nodiscard]] bool take_settled(quota_claim const& claim);
    void drop_silent_instances(time_point now);
    void drop(organisation_queue::drop_rule const& rule);

    hub_quota& bank_;
    std::map<std::string, organisation_queue> lines_;
    std::map<std::string, instance_state> instances_;
    std::vector<settled_quota> settled_;
    duration interval_{};
    time_point settled_at_{};
};

} // namespace carawayturn::entry
