#pragma once

#include "state/entry/node_settings.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// Why a request is not hedged although its delay has passed.
enum class hedge_denial
{
    none,
    /// The route's share of hedged requests is used up.
    share_used,
    /// Too many slots of the service are in use.
    slots_used,
    /// The other server is not expected to answer sooner.
    candidate_slow
};

[[nodiscard]] std::string_view name_of(hedge_denial denial);

/// What the decision on one hedged request depends on, besides what the policy observed.
struct hedge_situation
{
    std::string_view route;
    /// The server that would get the request too.
    std::string_view candidate;
    /// Time since the request was sent to its first server.
    duration elapsed{};
    /// Requests at the servers of the service, as a share of their slots.
    double used_slots = 0;
};

/// Decides when a request that may be repeated is sent to a second server too, because
/// its first server has not answered within the usual time. Handles the load pattern "one
/// of several servers answers slowly for a while", within limits that the operators set.
///
/// Each instance may hedge the set share of its own requests. The share of the whole
/// fleet is then the same, without messages between instances. The fractions start at
/// random, so that many instances with few requests each use the share as well.
class hedge_policy
{
public:
    /// @param seed differs between instances.
    hedge_policy(hedge_limits limits, std::uint64_t seed);

    [[nodiscard]] bool enabled() const { return limits_.request_share > 0; }

    /// Counts a request of the route, which adds to the route's share.
    void count_request(std::string_view route);
    /// Records that a request was sent to a server.
    void note_sent(std::string const& server, time_point sent_at);
    /// Records that the exchange with a server which was sent a request at `sent_at` has
    /// ended.
    void note_finished(std::string const& server, time_point sent_at);
    /// Records the time until the head of a server's answer.
    void note_answered(std::string_view route, std::string const& server,
                       duration latency, time_point now);

    /// Returns how long a request waits for its first server before it is hedged: the
    /// 95th percentile of the route's recent answer times, between a tenth and half of
    /// the latency objective; half of it while too few are known.
    [[nodiscard]] duration delay(std::string_view route,
                                 duration latency_objective) const;
    /// Returns what forbids the hedged request, and takes it from the route's share if
    /// nothing does.
    [[nodiscard]] hedge_denial take(hedge_situation const& situation, time_point now);
    /// Returns a hedged request to the share, because nothing was sent for it.
    void give_back(std::string_view route);

private:
    struct route_state
    {
        /// Hedged requests that the route may send now.
        double allowance = 0;
        /// The most recent answer times; `next` is the one to be replaced.
        std::vector<duration> latencies;
        std::size_t next = 0;
    };
    struct server_state
    {
        /// When the requests that are in flight were sent.
        std::multiset<time_point> sent;
        std::optional<duration> mean_latency;
        time_point observed_at{};
    };
    [[nodiscard]] route_state& state_of(std::string_view route);
    /// Returns whether the candidate is not expected to answer within `elapsed`.
    [[nodiscard]] bool is_slow(hedge_situation const& situation, time_point now) const;
    [[nodiscard]] double next_fraction();

    hedge_limits limits_;
    std::uint64_t random_state_;
    std::map<std::string, route_state, std::less<>> routes_;
    std::map<std::string, server_state, std::less<>> servers_;
};

} // namespace carawayturn::entry
