#pragma once

#include "coordination/entry/backend_selector.hpp"
#include "coordination/entry/start_estimator.hpp"
#include "coordination/entry/wait_queue.hpp"

#include <optional>
#include <string>

namespace carawayturn::entry
{

/// A request that looks for a server.
struct admission_request
{
    wait_terms terms;
    /// Name under which times of service are kept for requests like this one.
    std::string kind;
    /// All work on the request ends then.
    time_point deadline{};
    /// Place of a request that waits already; null for a new one.
    wait_queue_entry const* place = nullptr;
};

/// Decides whether a request goes to the chosen server, waits for room, or is refused,
/// and when the caller of a refused one should return. Answers the load patterns "more
/// requests arrive for some seconds than the servers can begin", for which it lets those
/// wait that can start in time, and "callers that were refused come back at once".
class admission_control
{
public:
    /// The objects must outlive this one.
    /// @param queue_rule order of the requests that wait for room.
    admission_control(wait_queue& waiting, start_estimator& starts,
                      wait_rule queue_rule = wait_rule::timely)
        : waiting_(waiting), starts_(starts), queue_rule_(queue_rule)
    {
    }

    [[nodiscard]] wait_rule rule_for(backend_choice const& choice) const;

    /// Changes the outcome of a choice of server to `paused` for a request that has to
    /// wait, and to `full` for one that is refused.
    /// @param instances number of instances that share the servers.
    void apply(backend_choice& choice, admission_request const& request,
               std::size_t instances, time_point now);

    /// Returns in which time the request would begin at a server; nothing if too little
    /// is known.
    [[nodiscard]] std::optional<duration> expected_start(backend_choice const& choice,
                                                         admission_request const& request,
                                                         std::size_t instances,
                                                         time_point now) const;
    /// Returns in which time the caller of a refused request should return, and reserves
    /// that time; nothing if too little is known.
    [[nodiscard]] std::optional<duration> return_time(backend_choice const& choice,
                                                      admission_request const& request,
                                                      std::size_t instances,
                                                      time_point now);

private:
    /// Returns how many requests of this instance a second get a server.
    [[nodiscard]] double room_per_second(backend_choice const& choice,
                                         admission_request const& request,
                                         std::size_t instances, time_point now) const;
    [[nodiscard]] bool may_wait(backend_choice const& choice,
                                admission_request const& request, std::size_t instances,
                                time_point now);

    wait_queue& waiting_;
    start_estimator& starts_;
    wait_rule queue_rule_;
};

} // namespace carawayturn::entry
