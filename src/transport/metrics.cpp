#include "transport/metrics.hpp"

#include <boost/histogram.hpp>

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace carawayturn
{

namespace bh = boost::histogram;

namespace
{

/// Upper bounds in seconds: from a warm first token to the longest cold start.
std::vector<double> const latency_bounds{0.0, 0.005, 0.01, 0.025, 0.05, 0.1,  0.25, 0.36,
                                         0.5, 1.0,   2.5,  5.0,   10.0, 30.0, 60.0};

auto make_latency_histogram()
{
    return bh::make_histogram(bh::axis::variable<>(latency_bounds));
}

using latency_histogram = decltype(make_latency_histogram());

struct timed
{
    latency_histogram buckets = make_latency_histogram();
    double sum = 0;
    std::uint64_t count = 0;

    void add(duration value)
    {
        double const seconds = std::chrono::duration<double>(value).count();
        buckets(seconds);
        sum += seconds;
        ++count;
    }
};

struct gauge
{
    std::string name;
    std::string help;
    std::function<std::size_t()> value;
};

void print_head(std::string& out, std::string_view name, std::string_view help,
                std::string_view type)
{
    out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void print_histogram(std::string& out, std::string_view name, std::string_view help,
                     timed const& values)
{
    print_head(out, name, help, "histogram");
    auto const& axis = values.buckets.axis();
    double cumulative = values.buckets.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin)
    {
        cumulative += values.buckets.at(bin);
        out += fmt::format("{}_bucket{{le=\"{}\"}} {:.0f}\n", name, axis.bin(bin).upper(),
                           cumulative);
    }
    out += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", name, values.count);
    out += fmt::format("{}_sum {}\n{}_count {}\n", name, values.sum, name, values.count);
}

} // namespace

struct metrics::state
{
    mutable std::mutex mutex;
    timed latency;
    timed cold_start;
    std::map<unsigned, std::uint64_t> answers;
    std::map<refusal_code, std::uint64_t> refusals;
    token_count tokens = 0;
    std::vector<gauge> gauges;
};

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::request_finished(unsigned status, duration latency)
{
    std::lock_guard const lock(state_->mutex);
    ++state_->answers[status];
    state_->latency.add(latency);
}

void metrics::cold_start_waited(duration wait)
{
    std::lock_guard const lock(state_->mutex);
    state_->cold_start.add(wait);
}

void metrics::refused(refusal_code code)
{
    std::lock_guard const lock(state_->mutex);
    ++state_->refusals[code];
}

void metrics::tokens_used(token_count tokens)
{
    std::lock_guard const lock(state_->mutex);
    state_->tokens += tokens;
}

void metrics::add_gauge(std::string name, std::string help,
                        std::function<std::size_t()> value)
{
    std::lock_guard const lock(state_->mutex);
    state_->gauges.push_back({std::move(name), std::move(help), std::move(value)});
}

std::string metrics::print() const
{
    std::lock_guard const lock(state_->mutex);
    std::string out;
    print_histogram(out, "carawayturn_request_seconds",
                    "Time from a request's arrival to its final answer.",
                    state_->latency);
    print_histogram(out, "carawayturn_cold_start_wait_seconds",
                    "Time that model requests waited for a replica.", state_->cold_start);
    print_head(out, "carawayturn_answers_total", "Final answers by status.", "counter");
    for (auto const& [status, count] : state_->answers)
        out +=
            fmt::format("carawayturn_answers_total{{status=\"{}\"}} {}\n", status, count);
    print_head(out, "carawayturn_refusals_total", "Refusals by code.", "counter");
    for (auto const& [code, count] : state_->refusals)
        out += fmt::format("carawayturn_refusals_total{{code=\"{}\"}} {}\n",
                           name_of(code), count);
    print_head(out, "carawayturn_tokens_total", "Tokens that engines counted.",
               "counter");
    out += fmt::format("carawayturn_tokens_total {}\n", state_->tokens);
    for (auto const& each : state_->gauges)
    {
        print_head(out, each.name, each.help, "gauge");
        out += fmt::format("{} {}\n", each.name, each.value());
    }
    return out;
}

} // namespace carawayturn
