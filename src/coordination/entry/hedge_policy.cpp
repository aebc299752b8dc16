#include "coordination/entry/hedge_policy.hpp"

#include <algorithm>
#include <array>

namespace carawayturn::entry
{

namespace
{

/// Number of recent answer times that are kept for each route, and how many are needed
/// for a percentile.
constexpr std::size_t kept_latencies = 64;
constexpr std::size_t min_latencies = 20;
constexpr double delay_percentile = 0.95;
/// A request is not hedged earlier than after this part of the latency objective, because
/// an answer within the objective needs no help.
constexpr int min_delay_divisor = 10;
/// Largest delay, and the delay without enough answer times: the second server then has
/// as long as the first one had to answer within the objective. Without this limit a
/// server that answers a third of the requests slowly would raise the percentile to its
/// own time.
constexpr int max_delay_divisor = 2;
/// Largest number of hedged requests that a route can save up.
constexpr double max_allowance = 2;
/// Weight of a new answer time in the mean of a server.
constexpr int mean_weight_divisor = 4;
/// A server's mean answer time says nothing about its present speed after this time.
constexpr duration mean_validity = std::chrono::seconds(5);

} // namespace

std::string_view name_of(hedge_denial denial)
{
    static constexpr std::array<std::string_view, 4> names{"", "share_used", "slots_used",
                                                           "candidate_slow"};
    return names.at(static_cast<std::size_t>(denial));
}

hedge_policy::hedge_policy(hedge_limits limits, std::uint64_t seed)
    : limits_(limits), random_state_(seed | 1U)
{
}

double hedge_policy::next_fraction()
{
    constexpr std::uint64_t steps = 1000;
    random_state_ ^= random_state_ << 13U;
    random_state_ ^= random_state_ >> 7U;
    random_state_ ^= random_state_ << 17U;
    return static_cast<double>(random_state_ % steps) / static_cast<double>(steps);
}

hedge_policy::route_state& hedge_policy::state_of(std::string_view route)
{
    auto const found = routes_.find(route);
    if (found != routes_.end())
        return found->second;
    auto& state = routes_[std::string(route)];
    state.allowance = next_fraction();
    return state;
}

void hedge_policy::count_request(std::string_view route)
{
    auto& allowance = state_of(route).allowance;
    allowance = std::min(allowance + limits_.request_share, max_allowance);
}

void hedge_policy::note_sent(std::string const& server, time_point sent_at)
{
    servers_[server].sent.insert(sent_at);
}

void hedge_policy::note_finished(std::string const& server, time_point sent_at)
{
    auto const found = servers_.find(server);
    if (found == servers_.end())
        return;
    auto& state = found->second;
    if (auto const sent = state.sent.find(sent_at); sent != state.sent.end())
        state.sent.erase(sent);
    if (state.sent.empty() && sent_at - state.observed_at > mean_validity)
        servers_.erase(found);
}

void hedge_policy::note_answered(std::string_view route, std::string const& server,
                                 duration latency, time_point now)
{
    auto& recent = state_of(route);
    if (recent.latencies.size() < kept_latencies)
        recent.latencies.push_back(latency);
    else
        recent.latencies[recent.next] = latency;
    recent.next = (recent.next + 1) % kept_latencies;
    auto& state = servers_[server];
    bool const known = state.mean_latency && now - state.observed_at <= mean_validity;
    auto const mean = known ? *state.mean_latency : latency;
    state.mean_latency = mean + (latency - mean) / mean_weight_divisor;
    state.observed_at = now;
}

duration hedge_policy::delay(std::string_view route, duration latency_objective) const
{
    auto const found = routes_.find(route);
    if (found == routes_.end() || found->second.latencies.size() < min_latencies)
        return latency_objective / max_delay_divisor;
    auto sorted = found->second.latencies;
    auto const rank =
        static_cast<std::size_t>(delay_percentile * static_cast<double>(sorted.size()));
    auto const place = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sorted.begin(), place, sorted.end());
    return std::clamp(*place, latency_objective / min_delay_divisor,
                      latency_objective / max_delay_divisor);
}

bool hedge_policy::is_slow(hedge_situation const& situation, time_point now) const
{
    auto const found = servers_.find(situation.candidate);
    if (found == servers_.end())
        return false;
    auto const& state = found->second;
    // A request that waits there for as long shows that the candidate is slow too.
    if (!state.sent.empty() && now - *state.sent.begin() >= situation.elapsed)
        return true;
    return state.mean_latency && now - state.observed_at <= mean_validity &&
           *state.mean_latency >= situation.elapsed;
}

hedge_denial hedge_policy::take(hedge_situation const& situation, time_point now)
{
    if (situation.used_slots > limits_.max_used_slots)
        return hedge_denial::slots_used;
    if (is_slow(situation, now))
        return hedge_denial::candidate_slow;
    auto& allowance = state_of(situation.route).allowance;
    if (allowance < 1)
        return hedge_denial::share_used;
    allowance -= 1;
    return hedge_denial::none;
}

void hedge_policy::give_back(std::string_view route)
{
    state_of(route).allowance += 1;
}

} // namespace carawayturn::entry
