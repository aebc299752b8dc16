#include "coordination/entry/start_estimator.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace carawayturn::entry
{

namespace
{

/// Time of service that is assumed before any is known, and the number of samples that it
/// counts as. One odd sample then moves the estimate by a fifth of its difference.
constexpr double prior_s = 0.2;
constexpr double prior_samples = 4;
constexpr std::size_t min_samples = 3;
/// Bounds of a sample, in seconds.
constexpr double shortest_s = 0.001;
constexpr double longest_s = 60;
/// Largest estimate. Later starts are beyond every deadline.
constexpr double latest_start_s = 60;
/// Number of kinds of work for which times are kept. Bounds the memory.
constexpr std::size_t max_kinds = 256;
/// Time until an instance with waiting requests learns that a server has room: the mean
/// age of the counts of other instances' requests.
constexpr double notice_time_s = 0.25;
/// Bounds of a server's own queue, as a fraction of its slots.
constexpr double min_queue = 0.25;
constexpr double max_queue = 1.0;

} // namespace

void recent_times::add(double seconds)
{
    samples_[count_++ % capacity] =
        static_cast<float>(std::clamp(seconds, shortest_s, longest_s));
}

bool recent_times::known() const
{
    return count_ >= min_samples;
}

double recent_times::mean(double prior) const
{
    auto const kept = std::min(count_, capacity);
    std::vector<float> sorted(samples_.begin(),
                              samples_.begin() + static_cast<std::ptrdiff_t>(kept));
    std::sort(sorted.begin(), sorted.end());
    std::size_t const cut = kept / 8;
    auto const trimmed = static_cast<std::ptrdiff_t>(cut);
    double const sum =
        std::accumulate(sorted.begin() + trimmed, sorted.end() - trimmed, 0.0);
    auto const counted = static_cast<double>(kept - 2 * cut);
    if (kept == capacity)
        return sum / counted;
    return (sum + prior * prior_samples) / (counted + prior_samples);
}

void start_estimator::note_run(std::string const& kind, run_times times,
                               server_occupancy const& at_sending)
{
    if (kinds_.size() >= max_kinds && kinds_.count(kind) == 0)
        return;
    // The request waited at the server while more requests than slots were there.
    double const crowding = std::max(at_sending.requests / at_sending.slots, 1.0);
    double const slowdown = crowding * at_sending.pace;
    auto& known = kinds_[kind];
    known.begun.add(to_seconds(times.begun) / slowdown);
    known.whole.add(to_seconds(times.whole) / slowdown);
}

start_estimator::kind_times const* start_estimator::find(std::string const& kind) const
{
    auto const found = kinds_.find(kind);
    return found == kinds_.end() ? nullptr : &found->second;
}

bool start_estimator::known(std::string const& kind) const
{
    auto const* const times = find(kind);
    return times != nullptr && times->whole.known();
}

duration start_estimator::service_time(std::string const& kind) const
{
    auto const* const times = find(kind);
    return from_seconds(times == nullptr ? prior_s : times->whole.mean(prior_s));
}

duration start_estimator::lead_time(std::string const& kind) const
{
    if (!known(kind))
        return duration::zero();
    auto const& times = *find(kind);
    double const whole_s = times.whole.mean(prior_s);
    double const begun_s = std::min(times.begun.mean(prior_s), whole_s);
    return from_seconds(begun_s + (queue_limit(kind) - 1) * whole_s);
}

duration start_estimator::start_in(std::string const& kind,
                                   server_occupancy const& server) const
{
    double const ahead = std::max(server.requests + 1 - server.slots, 0.0);
    double const seconds =
        ahead / server.slots * to_seconds(service_time(kind)) * server.pace;
    return from_seconds(std::min(seconds, latest_start_s));
}

double start_estimator::queue_limit(std::string const& kind) const
{
    double const service_s = to_seconds(service_time(kind));
    return 1 + std::clamp(notice_time_s / service_s, min_queue, max_queue);
}

} // namespace carawayturn::entry
