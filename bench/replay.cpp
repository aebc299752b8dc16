// Replays a sample of each deployment's day under the product's policy and under the
// baselines, and prints the brief's measures.

#include "fleet/baseline_driver.hpp"
#include "fleet/core_driver.hpp"
#include "fleet/measures.hpp"

#include <cstdlib>
#include <cstring>
#include <iostream>

namespace carawayturn::bench
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t trace_seed = 20261204;
constexpr duration kill_every = 10min;

struct policy_run
{
    char const* name;
    bool product;
    bool shared_limits;
    bool kills;
};

constexpr policy_run runs[] = {
    {"product", true, false, false},
    {"product_with_kills", true, false, true},
    {"baseline_even_split", false, false, false},
    {"baseline_shared_limits", false, true, false},
};

void schedule_kills(fleet& running, duration length)
{
    std::size_t victim = 0;
    for (duration at = kill_every / 2; at < length; at += kill_every)
    {
        auto const index = victim++ % running.size();
        running.queue().after(at, [&running, index] { running.kill(index); });
        running.queue().after(at + 20s, [&running, index] { running.restart(index); });
    }
}

std::vector<measure> replay(deployment const& shape, fleet_config const& config,
                            std::vector<trace_request> const& trace,
                            policy_run const& run, duration length)
{
    fleet_settings settings;
    settings.shape = shape;
    settings.engines_refuse_over_capacity = !run.product;
    fleet running(settings, run.product
                                ? core_drivers()
                                : baseline_drivers(shape, config, run.shared_limits));
    if (!running.start(config))
    {
        std::cerr << "the fleet did not become ready\n";
        std::exit(1);
    }
    running.replay(trace);
    if (run.kills)
        schedule_kills(running, length);
    running.run_for(length + 2min);
    return measure_replay(running, config);
}

int main_with(duration length, std::string const& only, std::string const& json_path)
{
    std::vector<measure> all;
    for (auto const& shape : {nile_rest(), mthunzi()})
    {
        auto const config = make_config(shape);
        auto const trace = make_trace(shape, config, trace_seed, length);
        for (auto const& run : runs)
        {
            if (!only.empty() && only != run.name)
                continue;
            std::string const prefix = shape.name + "." + run.name + ".";
            auto const measures = replay(shape, config, trace, run, length);
            print(measures, prefix);
            for (auto const& entry : measures)
                all.push_back({prefix + entry.name, entry.value, entry.unit});
        }
    }
    if (!json_path.empty())
        write_json(all, json_path);
    return 0;
}

} // namespace
} // namespace carawayturn::bench

/// Usage: bench_replay [MINUTES [POLICY [JSON-FILE]]]
int main(int count, char** arguments)
{
    int const minutes = count > 1 ? std::atoi(arguments[1]) : 120;
    if (minutes <= 0)
    {
        std::cerr << "MINUTES must be a positive whole number\n";
        return 2;
    }
    return carawayturn::bench::main_with(
        std::chrono::minutes(minutes),
        count > 2 && std::strcmp(arguments[2], "all") != 0 ? arguments[2] : "",
        count > 3 ? arguments[3] : "");
}
