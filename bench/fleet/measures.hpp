#pragma once

#include "fleet/fleet.hpp"

#include <string>
#include <vector>

namespace carawayturn::bench
{

struct measure
{
    std::string name;
    double value = 0;
    std::string unit;
};

/// The brief's measures over one replay.
[[nodiscard]] std::vector<measure> measure_replay(fleet& replayed,
                                                  fleet_config const& config);

/// Prints one "name value unit" a line.
void print(std::vector<measure> const& measures, std::string const& prefix);

/// Writes all measures as one JSON object of name to value.
void write_json(std::vector<measure> const& measures, std::string const& path);

} // namespace carawayturn::bench
