#pragma once

#include "state/identifiers.hpp"
#include "state/request.hpp"
#include "state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace carawayturn
{

/// Counters and histograms of one instance, in the Prometheus text format. Safe on any
/// thread.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// A request got its final answer this long after it had been read.
    void request_finished(unsigned status, duration latency);

    /// A model request waited this long until it was sent to a runner.
    void cold_start_waited(duration wait);

    void refused(refusal_code code);

    /// Tokens that engines counted.
    void tokens_used(token_count tokens);

    /// Adds a value that is read when the metrics are printed. The function must be safe
    /// on any thread.
    void add_gauge(std::string name, std::string help,
                   std::function<std::size_t()> value);

    [[nodiscard]] std::string print() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn
