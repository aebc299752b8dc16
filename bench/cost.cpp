// Measures what one instance of the deterministic core costs, per role, as slopes against
// the sizes of the fleet and its configuration. Prints one `name value unit` a line.

#include "cost/configuration.hpp"
#include "cost/fleet_costs.hpp"
#include "cost/slope.hpp"

#include <cstdio>
#include <string>
#include <vector>

namespace carawayturn::bench
{
namespace
{

void print_peer_costs(std::string const& at, fleet_cost const& cost)
{
    print(at + ".cpu_mean", cost.mean_cpu_us, "us/s");
    print(at + ".cpu_max", cost.max_cpu_us, "us/s");
    print(at + ".peer_out_mean", cost.mean_messages, "messages/s");
    print(at + ".peer_out_max", cost.max_messages, "messages/s");
    print(at + ".peer_bytes_mean", cost.mean_bytes, "B/s");
    print(at + ".peer_bytes_max", cost.max_bytes, "B/s");
    for (auto const& [kind, flow] : cost.kinds)
    {
        print(at + "." + kind, flow.messages, "messages/s/fleet");
        print(at + "." + kind + ".size", flow.bytes / flow.messages, "B");
    }
    print(at + ".commits", cost.commits, "commits/s/fleet");
    print(at + ".reads", cost.reads, "reads/s/fleet");
}

/// Runs one shape per size and prints the slopes of the main costs against that size.
void sweep(std::string const& name, std::vector<double> const& sizes,
           fleet_load (*shape)(double))
{
    std::vector<double> mean_cpu;
    std::vector<double> max_cpu;
    std::vector<double> mean_bytes;
    std::vector<double> max_bytes;
    std::vector<double> commits;
    std::vector<double> reads;
    for (double const size : sizes)
    {
        auto const cost = measure_fleet(shape(size));
        print_peer_costs(name + "." + std::to_string(static_cast<int>(size)), cost);
        mean_cpu.push_back(cost.mean_cpu_us);
        max_cpu.push_back(cost.max_cpu_us);
        mean_bytes.push_back(cost.mean_bytes);
        max_bytes.push_back(cost.max_bytes);
        commits.push_back(cost.commits);
        reads.push_back(cost.reads);
    }
    print_slope(name + ".cpu_mean", sizes, mean_cpu, "us/s");
    print_slope(name + ".cpu_max", sizes, max_cpu, "us/s");
    print_slope(name + ".peer_bytes_mean", sizes, mean_bytes, "B/s");
    print_slope(name + ".peer_bytes_max", sizes, max_bytes, "B/s");
    print_slope(name + ".commits", sizes, commits, "commits/s");
    print_slope(name + ".reads", sizes, reads, "reads/s");
}

fleet_load by_instances(double size)
{
    fleet_load load;
    load.instances = static_cast<std::uint32_t>(size);
    return load;
}
fleet_load by_loaded_instances(double size)
{
    auto load = by_instances(size);
    load.requests_per_second = 50;
    return load;
}
fleet_load by_runners(double size)
{
    fleet_load load;
    load.runners = static_cast<std::uint32_t>(size);
    return load;
}
fleet_load by_models(double size)
{
    fleet_load load;
    load.models = static_cast<std::uint32_t>(size);
    load.requests_per_second = 50;
    return load;
}
fleet_load by_organisations(double size)
{
    fleet_load load;
    load.organisations = static_cast<std::uint32_t>(size);
    load.requests_per_second = 50;
    load.scarce_budgets = true;
    return load;
}
/// One organisation that every instance needs grants for.
fleet_load by_borrowing_instances(double size)
{
    auto load = by_instances(size);
    load.organisations = 1;
    load.requests_per_second = 50;
    load.scarce_budgets = true;
    return load;
}
fleet_load by_requests(double size)
{
    fleet_load load;
    load.requests_per_second = size;
    return load;
}
fleet_load by_wakings(double size)
{
    fleet_load load;
    load.adapters = 1000;
    load.wakings_per_second = size;
    return load;
}

void run_all()
{
    sweep("instances", {8, 16, 32, 64}, by_instances);
    sweep("loaded_instances", {8, 16, 32}, by_loaded_instances);
    sweep("runners", {18, 72, 288}, by_runners);
    sweep("models", {10, 50, 100}, by_models);
    sweep("borrowing", {16, 24, 32}, by_borrowing_instances);
    sweep("organisations", {5, 25, 50}, by_organisations);
    sweep("requests", {0, 100, 300}, by_requests);
    sweep("wakings", {0, 2, 5}, by_wakings);
    for (std::uint32_t const size : {15U, 32U, 64U})
    {
        auto const outage = measure_outage(size);
        auto const at = "outage." + std::to_string(size);
        print(at + ".lowest_share", outage.lowest_share, "of_instances");
        print(at + ".served_after", outage.served_after_seconds, "s");
        print(at + ".gap", outage.gap_seconds, "s/instance");
    }
    measure_configuration({100, 1000, 10000, 53000});
    measure_spread({100, 1000});
}

} // namespace
} // namespace carawayturn::bench

int main()
{
    carawayturn::bench::run_all();
    return 0;
}
