// The fault matrix: every fault at every step, alone and in seeded pairs, against engines
// that honour fencing numbers and engines that ignore them.

#include "faults/cell.hpp"
#include "faults/fault.hpp"
#include "faults/step.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace carawayturn::bench
{
namespace
{

constexpr std::uint64_t pair_seed = 20261204;

std::vector<cell> single_cells()
{
    std::vector<cell> cells;
    for (std::size_t step = 0; step < protocol_steps().size(); ++step)
        for (std::size_t kind = 0; kind < fault_kinds().size(); ++kind)
            for (bool const fence : {true, false})
                cells.push_back({{{step, kind}}, fence, 1 + step});
    return cells;
}

std::vector<cell> pair_cells(std::size_t count)
{
    std::mt19937_64 random(pair_seed);
    std::vector<cell> cells;
    auto const strike = [&]
    {
        return std::pair<std::size_t, std::size_t>(random() % protocol_steps().size(),
                                                   1 + random() %
                                                           (fault_kinds().size() - 1));
    };
    for (std::size_t index = 0; index < count; ++index)
    {
        auto const first = strike();
        cells.push_back({{first, strike()}, random() % 2 == 0, 1000 + index});
    }
    return cells;
}

/// Runs the cells on all given threads and collects the results in their order.
std::vector<cell_result> run_all(std::vector<cell> const& cells, unsigned threads)
{
    std::vector<cell_result> results(cells.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> workers;
    for (unsigned index = 0; index < threads; ++index)
    {
        workers.emplace_back(
            [&]
            {
                for (auto at = next++; at < cells.size(); at = next++)
                    results[at] = run_cell(cells[at], false);
            });
    }
    workers.clear();
    return results;
}

void print_table(std::vector<cell> const& cells, std::vector<cell_result> const& results)
{
    std::map<std::pair<std::size_t, std::size_t>, std::string> marks;
    for (std::size_t index = 0; index < cells.size(); ++index)
    {
        auto& mark = marks[cells[index].strikes[0]];
        mark += results[index].struck == 0          ? '-'
                : results[index].violations.empty() ? '.'
                                                    : 'X';
    }
    std::printf("each cell: fencing engines, then engines that ignore fencing; . holds, "
                "X violated, - step not reached\n%-22s",
                "");
    for (std::size_t kind = 0; kind < fault_kinds().size(); ++kind)
        std::printf("%3zu", kind);
    std::printf("\n");
    for (std::size_t step = 0; step < protocol_steps().size(); ++step)
    {
        std::printf("%-22s", std::string(protocol_steps()[step].name).c_str());
        for (std::size_t kind = 0; kind < fault_kinds().size(); ++kind)
            std::printf(" %s", marks[{step, kind}].c_str());
        std::printf("\n");
    }
    for (std::size_t kind = 0; kind < fault_kinds().size(); ++kind)
        std::printf("%zu = %s\n", kind, std::string(fault_kinds()[kind].name).c_str());
}

std::size_t print_violations(std::vector<cell> const& cells,
                             std::vector<cell_result> const& results)
{
    std::size_t violated = 0;
    for (std::size_t index = 0; index < cells.size(); ++index)
    {
        if (results[index].violations.empty())
            continue;
        ++violated;
        std::printf("violated: bench_faults cell '%s'\n", name_of(cells[index]).c_str());
        for (auto const& line : results[index].violations)
            std::printf("    %s\n", line.c_str());
    }
    return violated;
}

std::size_t run_matrix(std::vector<cell> const& cells, unsigned threads,
                       std::string const& name, bool table)
{
    auto const results = run_all(cells, threads);
    std::size_t reached = 0;
    for (auto const& outcome : results)
        reached += outcome.struck > 0;
    if (table)
        print_table(cells, results);
    auto const violated = print_violations(cells, results);
    std::printf(
        "%s_cells %zu cells\n%s_cells_reached %zu cells\n%s_violations %zu cells\n",
        name.c_str(), cells.size(), name.c_str(), reached, name.c_str(), violated);
    std::fflush(stdout);
    return violated;
}

int run_one(std::string const& text)
{
    cell chosen;
    if (!parse_cell(text, chosen))
    {
        std::fprintf(stderr, "no such cell: %s\n", text.c_str());
        return 2;
    }
    auto const outcome = run_cell(chosen, true);
    std::printf("struck %zu times\n", outcome.struck);
    for (auto const& line : outcome.violations)
        std::printf("%s\n", line.c_str());
    return outcome.violations.empty() ? 0 : 1;
}

int usage()
{
    std::fprintf(stderr,
                 "usage: bench_faults all [PAIRS [THREADS]] | reduced | cell NAME\n");
    return 2;
}

int run(int count, char** arguments)
{
    std::string const mode = count > 1 ? arguments[1] : "";
    if (mode == "cell" && count == 3)
        return run_one(arguments[2]);
    unsigned const threads =
        count > 3 ? static_cast<unsigned>(std::atoi(arguments[3])) : 4;
    if (mode == "all")
    {
        std::size_t const pairs =
            count > 2 ? std::strtoull(arguments[2], nullptr, 10) : 2000;
        auto violated = run_matrix(single_cells(), threads, "fault", true);
        violated += run_matrix(pair_cells(pairs), threads, "fault_pair", false);
        return violated == 0 ? 0 : 1;
    }
    if (mode == "reduced")
    {
        // 23 is prime to the numbers of steps and faults, so the choice runs over all of
        // both.
        std::vector<cell> chosen;
        auto const cells = single_cells();
        for (std::size_t index = 0; index < cells.size(); index += 23)
            chosen.push_back(cells[index]);
        return run_matrix(chosen, threads, "fault", false) == 0 ? 0 : 1;
    }
    return usage();
}

} // namespace
} // namespace carawayturn::bench

int main(int count, char** arguments)
{
    return carawayturn::bench::run(count, arguments);
}
