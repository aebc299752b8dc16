#pragma once

#include <cstdint>
#include <vector>

namespace carawayturn::bench
{

/// Feeds one core, the only instance of its fleet, with configurations of the given
/// numbers of adapters; prints its memory, the size of a whole copy, and the time and
/// bytes of one put_adapter change.
void measure_configuration(std::vector<std::uint32_t> const& adapters);

} // namespace carawayturn::bench
