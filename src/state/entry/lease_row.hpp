#pragma once

#include <cstdint>
#include <string>

namespace carawayturn::entry
{

/// Upper bound of the fencing numbers, which are below it. Readers of JSON take integers
/// up to 2^63 - 1, and the rest leaves room for claims.
inline constexpr std::uint64_t fence_limit = std::uint64_t{1} << 62U;

/// Contents of the lease row in the store. The holder of the lease sends orders to
/// runners and acts as hub.
struct lease_row
{
    /// IP address and port at which other instances reach the holder; empty after a
    /// release.
    std::string holder_address;
    std::string holder_name;
    /// Distinguishes successive processes with the same name.
    std::uint64_t holder_incarnation = 0;
    /// Fencing number; increases each time the holder changes.
    std::uint64_t fence = 0;
    /// Era of the store in which the row was written; 0 if the store names none. A row of
    /// a former era has come back from a copy, and later rows may be lost.
    std::uint64_t era = 0;
};

} // namespace carawayturn::entry
