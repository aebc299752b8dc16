#include "coordination/entry/quota_wait.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Requests of routes with a shorter latency objective do not wait: the answer from the
/// hub's queue alone may take a third of a second in a large fleet.
constexpr duration min_objective = std::chrono::seconds(1);
/// Time that is left for the service, in latency objectives: the service itself, and one
/// further try. It takes at most half of the time to the start deadline.
constexpr int margin_objectives = 2;
/// Longest part of the latency objective that a request waits. While quota is short,
/// units for a request that is late by then would be missing for one that can still be in
/// time.
constexpr int max_objective_divisor = 2;

} // namespace

duration longest_quota_wait(serving_route const& route, time_point start_deadline,
                            time_point now, bool resumes_stream)
{
    if (start_deadline <= now)
        return duration::zero();
    auto const left = start_deadline - now;
    auto const longest =
        left - std::min(margin_objectives * route.latency_objective, left / 2);
    // The caller has part of the stream, and loses it if the rest does not come.
    if (resumes_stream)
        return longest;
    if (route.latency_objective < min_objective)
        return duration::zero();
    return std::min(longest, route.latency_objective / max_objective_divisor);
}

quota_waiting_place::~quota_waiting_place()
{
    if (!taken_)
        return;
    --waiters_.count_;
    waiters_.bytes_ -= *taken_;
}

bool quota_waiting_place::take(std::uint64_t bytes)
{
    if (taken_ || waiters_.count_ >= waiters_.max_requests_ ||
        bytes > waiters_.max_bytes_ - waiters_.bytes_)
        return false;
    taken_ = bytes;
    ++waiters_.count_;
    waiters_.bytes_ += bytes;
    return true;
}

duration message_age::of(time_point sent_at, time_point now)
{
    auto const offset = now - sent_at;
    fastest_ = std::min(fastest_.value_or(offset), offset);
    return offset - *fastest_;
}

} // namespace carawayturn::entry
