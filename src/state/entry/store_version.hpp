#pragma once

#include <compare>
#include <cstdint>

namespace carawayturn::entry
{

/// Version of a row or a table of the store, within an era of the store. The store gives
/// versions out again after it has come back from a copy, and begins a new era then, so a
/// version alone does not tell which row it belongs to. Versions of different eras are
/// ordered by their eras.
struct store_version
{
    /// Number of the era; 0 if the store names none.
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(store_version const&, store_version const&) = default;
};

} // namespace carawayturn::entry
