#include "load_summary.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace carawayturn::load
{

namespace
{

struct percentile
{
    char const* name;
    double share;
};
constexpr std::array<percentile, 5> percentiles{
    {{"p50", 0.5}, {"p90", 0.9}, {"p95", 0.95}, {"p99", 0.99}, {"max", 1.0}}};

double milliseconds_of(std::chrono::microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void print_percentiles(std::string const& name, std::vector<double> values,
                       std::ostream& to)
{
    if (values.empty())
        return;
    std::ranges::sort(values);
    for (auto const& [label, share] : percentiles)
    {
        auto const rank = static_cast<std::size_t>(
            std::lround(share * static_cast<double>(values.size() - 1)));
        to << name << '_' << label << ' ' << values.at(rank) << " ms\n";
    }
}

void print_counts(std::string const& prefix,
                  std::map<std::string, std::size_t> const& counts, std::ostream& to)
{
    for (auto const& [name, count] : counts)
        to << prefix << name << ' ' << count << " count\n";
}

boost::json::object print_answer(load_result const& result)
{
    auto const& [request, instance, started, late, answer] = result;
    return {{"id", request->id},
            {"instance", instance},
            {"started_ms", started.count()},
            {"status", answer.status},
            {"code", answer.code},
            {"ran", answer.ran},
            {"retry_after", answer.retry_after},
            {"latency_ms", milliseconds_of(answer.latency)},
            {"first_byte_ms", milliseconds_of(answer.first_byte)},
            {"bytes", answer.bytes},
            {"stream", answer.stream},
            {"whole", answer.whole},
            {"tokens", answer.tokens},
            {"reference", request->reference}};
}

} // namespace

void print_summary(std::vector<load_result> const& results, std::ostream& to)
{
    std::map<std::string, std::size_t> statuses;
    std::map<std::string, std::size_t> codes;
    std::vector<double> latency;
    std::vector<double> first_byte;
    std::vector<double> late;
    std::size_t broken = 0;
    std::int64_t tokens = 0;
    for (auto const& result : results)
    {
        auto const& answer = result.answer;
        ++statuses[std::to_string(answer.status)];
        if (!answer.code.empty())
            ++codes[answer.code];
        if (!answer.whole)
            ++broken;
        tokens += answer.tokens;
        late.push_back(static_cast<double>(result.late.count()));
        if (answer.status != 200 || !answer.whole)
            continue;
        latency.push_back(milliseconds_of(answer.latency));
        first_byte.push_back(milliseconds_of(answer.first_byte));
    }
    to << "requests " << results.size() << " count\n";
    print_counts("status_", statuses, to);
    print_counts("refusal_", codes, to);
    to << "broken " << broken << " count\n"
       << "tokens " << tokens << " count\n";
    print_percentiles("latency", std::move(latency), to);
    print_percentiles("first_byte", std::move(first_byte), to);
    print_percentiles("late_start", std::move(late), to);
}

void print_answers(std::vector<load_result> const& results, bool with_bodies,
                   std::ostream& to)
{
    for (auto const& result : results)
    {
        boost::json::object printed = print_answer(result);
        if (with_bodies)
            printed["body"] = result.answer.body;
        to << boost::json::serialize(printed) << '\n';
    }
}

} // namespace carawayturn::load
