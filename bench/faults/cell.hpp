#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace carawayturn::bench
{

/// One run of the small workload with one or two faults, each at a step.
struct cell
{
    /// Indices into protocol_steps() and fault_kinds().
    std::vector<std::pair<std::size_t, std::size_t>> strikes;
    bool engines_check_fence = true;
    std::uint64_t seed = 1;
};

struct cell_result
{
    /// How many of the strikes found their step.
    std::size_t struck = 0;
    /// One line per broken promise.
    std::vector<std::string> violations;
};

/// Runs the cell on an injected clock; the same cell gives the same result every time.
/// With `verbose`, events are printed to standard error.
[[nodiscard]] cell_result run_cell(cell const& chosen, bool verbose);

/// The text that names a cell on the command line: "STEP:FAULT[+STEP:FAULT]/fence/SEED".
[[nodiscard]] std::string name_of(cell const& chosen);

/// Reads a cell's name; false if it names no cell.
[[nodiscard]] bool parse_cell(std::string const& text, cell& chosen);

} // namespace carawayturn::bench
