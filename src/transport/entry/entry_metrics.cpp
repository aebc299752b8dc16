#include "transport/entry/entry_metrics.hpp"

#include "state/entry/time_units.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <sstream>

namespace carawayturn::entry
{

namespace
{

namespace histogram = boost::histogram;
using axis = histogram::axis::variable<double>;
using seconds_histogram =
    histogram::histogram<std::tuple<axis>, histogram::dense_storage<std::uint32_t>>;

seconds_histogram make_histogram()
{
    return histogram::make_histogram_with(
        histogram::dense_storage<std::uint32_t>{},
        axis{0.0, 0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0, 8.0, 16.0});
}

void print_histogram(std::ostream& out, std::string_view name,
                     seconds_histogram const& values)
{
    std::uint64_t total = 0;
    auto const& edges = values.axis();
    for (int bin = 0; bin < edges.size(); ++bin)
    {
        total += values.at(bin);
        out << name << "_bucket{le=\"" << edges.bin(bin).upper() << "\"} " << total
            << '\n';
    }
    total += values.at(edges.size());
    out << name << "_bucket{le=\"+Inf\"} " << total << '\n';
    out << name << "_count " << total << '\n';
}

} // namespace

struct entry_metrics::histograms
{
    seconds_histogram answer = make_histogram();
    seconds_histogram first_event = make_histogram();
    seconds_histogram model_wait = make_histogram();
    seconds_histogram quota_wait = make_histogram();
    seconds_histogram queue_wait = make_histogram();
    seconds_histogram promised_return = make_histogram();
};

entry_metrics::entry_metrics() : histograms_(std::make_unique<histograms>()) {}
entry_metrics::~entry_metrics() = default;

void entry_metrics::count(std::string const& name, std::uint64_t amount)
{
    counters_[name] += amount;
}

void entry_metrics::set_gauge(std::string const& name, double value)
{
    gauges_[name] = value;
}

void entry_metrics::observe_answer_latency(duration latency)
{
    histograms_->answer(to_seconds(latency));
}

void entry_metrics::observe_first_event_latency(duration latency)
{
    histograms_->first_event(to_seconds(latency));
}

void entry_metrics::observe_model_wait(duration wait)
{
    histograms_->model_wait(to_seconds(wait));
}

void entry_metrics::observe_quota_wait(duration wait)
{
    histograms_->quota_wait(to_seconds(wait));
}

void entry_metrics::observe_queue_wait(duration wait)
{
    histograms_->queue_wait(to_seconds(wait));
}

void entry_metrics::observe_promised_return(duration time)
{
    histograms_->promised_return(to_seconds(time));
}

void entry_metrics::set_waiting(
    std::map<std::uint32_t, wait_queue::priority_summary> const& summary)
{
    for (auto const& [priority, requests] : summary)
    {
        auto const label = "{priority=\"" + std::to_string(priority) + "\"}";
        set_gauge("waiting_requests" + label, static_cast<double>(requests.waiting));
        set_gauge("oldest_waiting_seconds" + label, to_seconds(requests.oldest));
    }
}

std::string entry_metrics::print() const
{
    std::ostringstream out;
    for (auto const& [name, value] : counters_)
        out << "carawayturn_" << name << ' ' << value << '\n';
    for (auto const& [name, value] : gauges_)
        out << "carawayturn_" << name << ' ' << value << '\n';
    print_histogram(out, "carawayturn_answer_seconds", histograms_->answer);
    print_histogram(out, "carawayturn_first_event_seconds", histograms_->first_event);
    print_histogram(out, "carawayturn_model_wait_seconds", histograms_->model_wait);
    print_histogram(out, "carawayturn_quota_wait_seconds", histograms_->quota_wait);
    print_histogram(out, "carawayturn_queue_wait_seconds", histograms_->queue_wait);
    print_histogram(out, "carawayturn_promised_return_seconds",
                    histograms_->promised_return);
    return std::move(out).str();
}

} // namespace carawayturn::entry
