#pragma once

#include "coordination/entry/wait_queue.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace carawayturn::entry
{

/// Counters, gauges and latency histograms of one instance, printed in the Prometheus
/// text format. Not thread-safe.
class entry_metrics
{
public:
    entry_metrics();
    ~entry_metrics();
    entry_metrics(entry_metrics const&) = delete;
    entry_metrics& operator=(entry_metrics const&) = delete;

    /// Adds to a counter. The name may include labels.
    void count(std::string const& name, std::uint64_t amount = 1);
    void set_gauge(std::string const& name, double value);
    /// Records the time from reading a request to sending the last byte of its answer.
    void observe_answer_latency(duration latency);
    /// Records the time from reading a request to sending the first event of its stream.
    void observe_first_event_latency(duration latency);
    /// Records how long a request waited for its model.
    void observe_model_wait(duration wait);
    void observe_queue_wait(duration wait);
    /// Records the time of return that a refused caller was told.
    void observe_promised_return(duration time);
    void
    set_waiting(std::map<std::uint32_t, wait_queue::priority_summary> const& summary);

    /// Records how long a request waited for its organisation's quota.
    void observe_quota_wait(duration wait);

    [[nodiscard]] std::string print() const;

private:
    struct histograms;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::unique_ptr<histograms> histograms_;
};

} // namespace carawayturn::entry
