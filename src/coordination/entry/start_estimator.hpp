#pragma once

#include "state/time.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace carawayturn::entry
{

/// The latest times of one kind of work, in seconds.
class recent_times
{
public:
    void add(double seconds);
    /// Returns the mean without the shortest and longest eighth, mixed with the prior
    /// while there are few samples.
    [[nodiscard]] double mean(double prior) const;
    [[nodiscard]] bool known() const;

private:
    static constexpr std::size_t capacity = 32;
    std::array<float, capacity> samples_{};
    std::size_t count_ = 0;
};

/// Requests at a server and how fast it works.
struct server_occupancy
{
    double slots = 1;
    double requests = 0;
    double pace = 1;
};

/// Times of one request at a server.
struct run_times
{
    /// From sending it to the head of the answer or, for streams, to the first event.
    duration begun{};
    duration whole{};
};

/// Estimates when a server would begin one more request, from the times of service that
/// this instance has seen. Answers the load pattern "all slots are in use, and some
/// requests have seconds left while others have none". Kinds of work are services or, for
/// model services, a service and the size of the model.
class start_estimator
{
public:
    /// Records an answered request.
    /// @param at_sending the server as the request was sent, the request included.
    void note_run(std::string const& kind, run_times times,
                  server_occupancy const& at_sending);

    /// Whether enough requests of the kind were answered for an estimate.
    [[nodiscard]] bool known(std::string const& kind) const;
    /// How long a request occupies a slot at the usual pace.
    [[nodiscard]] duration service_time(std::string const& kind) const;
    /// How long after a request left the queue its answer begins: the wait at a server
    /// that is at its limit, and the time until the answer begins.
    [[nodiscard]] duration lead_time(std::string const& kind) const;
    /// When the server would begin one more request.
    [[nodiscard]] duration start_in(std::string const& kind,
                                    server_occupancy const& server) const;
    /// Requests in multiples of the slots from which on a server gets no more while
    /// others wait at the instance.
    [[nodiscard]] double queue_limit(std::string const& kind) const;

private:
    struct kind_times
    {
        recent_times begun;
        recent_times whole;
    };
    [[nodiscard]] kind_times const* find(std::string const& kind) const;

    std::map<std::string, kind_times> kinds_;
};

} // namespace carawayturn::entry
