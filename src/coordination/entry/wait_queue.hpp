#pragma once

#include "coordination/entry/dispatch_rate.hpp"
#include "coordination/entry/fair_turns.hpp"
#include "coordination/entry/served_shares.hpp"
#include "state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace carawayturn::entry
{

class wait_queue_entry;

/// What determines the place of a waiting request.
struct wait_terms
{
    /// Service and model, as SERVICE/MODEL. Requests for the same target can go to the
    /// same servers.
    std::string target;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::string organisation;
    time_point arrival{};
    /// Latest starts at a server with which the latency objective and the deadline are
    /// met.
    time_point objective_start{};
    time_point deadline_start{};
};

/// How waiting requests are ordered. Only the first two are used; the others are there
/// for comparison in tests.
enum class wait_rule : std::uint8_t
{
    /// Priority, then arrival.
    priority,
    /// Whether objective and deadline can be met, priority, fairness over organisations,
    /// arrival.
    timely,
    first_come,
    deadline,
    fair
};

/// Whether and when a waiting request has to start.
enum class wait_urgency : std::uint8_t
{
    /// The objective is met only if the request starts soon.
    pressing,
    /// The request can wait longer, or only its deadline can still be met.
    deferred,
    /// The deadline cannot be met any more.
    lost
};

/// Place of a waiting request at some moment.
struct wait_rank
{
    wait_urgency urgency = wait_urgency::pressing;
    std::uint32_t priority = 0;
    /// Turn of the request's organisation.
    double turn = 0;
    time_point latest_start{};
    time_point arrival{};
    std::uint64_t sequence = 0;
};

/// Orders the requests that wait for a server, in one line for each target. Only the
/// first request of a line looks for a server, so that the work per dispatched request
/// does not grow with the number of servers. Answers the load patterns "a pause ends, and
/// more requests wait than the server can handle" and "more requests arrive for some
/// seconds than the servers can begin".
class wait_queue
{
public:
    struct priority_summary
    {
        std::size_t waiting = 0;
        duration oldest{};
    };

    /// Returns whether a new request has to wait behind another one for the same target.
    [[nodiscard]] bool must_wait(wait_terms const& terms, wait_rule rule, time_point now);
    /// Returns how many waiting requests for the same target go before a new one.
    [[nodiscard]] std::size_t count_ahead(wait_terms const& terms, wait_rule rule,
                                          time_point now) const;
    [[nodiscard]] std::size_t size() const { return size_; }
    /// Displaces a waiting request of a lower priority: the last one of the lowest.
    /// Returns false if there is none.
    bool displace_for(std::uint32_t priority);

    /// Records that a request was sent to a server, whether it waited or not.
    void note_dispatch(wait_terms const& terms, time_point now);
    /// Records that a request got no server before its time.
    void note_refusal(wait_terms const& terms, time_point now);
    /// Returns how many requests for a target were sent a second of late.
    [[nodiscard]] double sent_per_second(std::string const& target, time_point now) const;
    /// Returns the returns promised to callers whose requests for a target were refused.
    /// The target must be one that servers can serve, since it is kept for a while.
    [[nodiscard]] dispatch_rate& rate_of(std::string const& target, time_point now);

    /// Wakes the first request of each line, because a server may accept one more.
    /// Requests that are first in the order of their lines' first ones wake first.
    void wake(time_point now);
    /// Wakes all requests, because the instance stops.
    void wake_all();
    /// Returns the waiting requests of each priority that ever waited.
    [[nodiscard]] std::map<std::uint32_t, priority_summary>
    summarize(time_point now) const;

private:
    friend class wait_queue_entry;
    struct line
    {
        std::map<std::uint64_t, wait_queue_entry*> entries;
        wait_rule rule = wait_rule::priority;
        dispatch_rate rate;
        fair_turns turns;
        /// The first entry as of `picked_at`; null if it has to be determined anew.
        wait_queue_entry* first = nullptr;
        time_point picked_at{};
    };

    void insert(wait_queue_entry& entry, wait_rule rule);
    void erase(wait_queue_entry& entry);
    [[nodiscard]] static duration pressing_time(line const& waiting, time_point now);
    [[nodiscard]] static wait_rank rank_of(line const& waiting, wait_terms const& terms,
                                           std::uint64_t sequence, duration pressing,
                                           time_point now);
    /// Returns the entry that is served next; null for an empty line.
    [[nodiscard]] wait_queue_entry* pick(line& waiting, time_point now);
    [[nodiscard]] wait_queue_entry* pick_anew(line& waiting, time_point now);
    /// Returns a late request of a higher priority than `best` that goes before it, so
    /// that its kind is not served less often.
    [[nodiscard]] wait_queue_entry* find_underserved(line& waiting,
                                                     wait_queue_entry& best,
                                                     duration pressing, time_point now);
    [[nodiscard]] served_shares& shares_of(std::string const& target);
    void forget_unused_lines(time_point now);

    std::map<std::string, line> lines_;
    /// By service.
    std::map<std::string, served_shares> shares_;
    std::map<std::uint32_t, std::size_t> waiting_by_priority_;
    std::uint64_t next_sequence_ = 0;
    std::size_t size_ = 0;
    time_point next_cleanup_{};
};

/// The entry of one request in a wait_queue; its destructor removes it.
class wait_queue_entry
{
public:
    /// @param wake called when the request should look for a server again.
    wait_queue_entry(wait_queue& queue, wait_terms terms, wait_rule rule,
                     std::function<void()> wake);
    wait_queue_entry(wait_queue_entry const&) = delete;
    wait_queue_entry& operator=(wait_queue_entry const&) = delete;
    ~wait_queue_entry();

    /// Whether the request is the next of its line. If not, the one that is was woken.
    [[nodiscard]] bool is_first(time_point now) const;
    /// Whether the request has to leave the full queue for a more urgent one.
    [[nodiscard]] bool displaced() const { return displaced_; }

private:
    friend class wait_queue;
    wait_queue& queue_;
    wait_terms terms_;
    std::uint64_t sequence_;
    std::function<void()> wake_;
    bool displaced_ = false;
};

} // namespace carawayturn::entry
