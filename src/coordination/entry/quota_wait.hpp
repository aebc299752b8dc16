#pragma once

#include "state/entry/serving_config.hpp"
#include "state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace carawayturn::entry
{

/// Returns how long a request of this route may wait for units of its quota, so that the
/// service can still begin before `start_deadline`. Zero if requests of the route do not
/// wait, because their latency objective leaves no time. A request that takes a stream up
/// again waits on any route, and is not bound by the latency objective: its first event
/// came before the stream broke off.
[[nodiscard]] duration longest_quota_wait(serving_route const& route,
                                          time_point start_deadline, time_point now,
                                          bool resumes_stream = false);

/// Limits the requests of an instance that wait for quota, and the bytes of their bodies.
/// Handles the load pattern "an organisation over its rate sends long bodies", in which
/// waiting requests would take the memory for the bodies of all others.
class quota_waiters
{
public:
    quota_waiters(std::size_t max_requests, std::uint64_t max_bytes)
        : max_requests_(max_requests), max_bytes_(max_bytes)
    {
    }

    [[nodiscard]] std::size_t count() const { return count_; }
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    friend class quota_waiting_place;
    std::size_t max_requests_;
    std::uint64_t max_bytes_;
    std::size_t count_ = 0;
    std::uint64_t bytes_ = 0;
};

/// The place of one request among those that may wait for quota; its destructor frees it.
class quota_waiting_place
{
public:
    explicit quota_waiting_place(quota_waiters& waiters) : waiters_(waiters) {}
    quota_waiting_place(quota_waiting_place const&) = delete;
    quota_waiting_place& operator=(quota_waiting_place const&) = delete;
    ~quota_waiting_place();

    /// Takes a place for a request with a body of this length. Returns false if the
    /// limits do not allow it.
    [[nodiscard]] bool take(std::uint64_t bytes);

private:
    quota_waiters& waiters_;
    std::optional<std::uint64_t> taken_;
};

/// Estimates the age of a message of the hub from the hub's clock, whose offset is
/// unknown: the fastest message so far counts as new. Handles the case "an instance is
/// frozen, and grants from before wait in its connection".
class message_age
{
public:
    /// Forgets what is known, because the connection is a new one.
    void reset() { fastest_.reset(); }
    /// Returns how much longer the message took than the fastest one.
    /// @param sent_at time of sending by the hub's clock.
    [[nodiscard]] duration of(time_point sent_at, time_point now);

private:
    std::optional<duration> fastest_;
};

} // namespace carawayturn::entry
