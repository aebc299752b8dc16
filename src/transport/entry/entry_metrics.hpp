#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace carawayturn::entry
{

/// Counters and latency histograms of one instance in the Prometheus text format. Used by
/// one thread.
class entry_metrics
{
public:
    entry_metrics();
    ~entry_metrics();
    entry_metrics(entry_metrics const&) = delete;
    entry_metrics& operator=(entry_metrics const&) = delete;

    /// Adds to a counter; the name may carry labels.
    void count(std::string const& name, std::uint64_t amount = 1);
    void set_gauge(std::string const& name, double value);
    /// A request got the last byte of its answer this long after it was read.
    void observe_answer_latency(duration latency);
    /// A stream's first event left this long after its request was read.
    void observe_first_event_latency(duration latency);
    /// A request waited this long for its model.
    void observe_model_wait(duration wait);

    [[nodiscard]] std::string print() const;

private:
    struct histograms;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::unique_ptr<histograms> histograms_;
};

} // namespace carawayturn::entry
