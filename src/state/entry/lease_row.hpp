#pragma once

#include <cstdint>
#include <string>

namespace carawayturn::entry
{

/// Contents of the lease row: who gives orders to runners and serves as hub.
struct lease_row
{
    /// IP address and port for other instances; empty after a release.
    std::string holder_address;
    std::string holder_name;
    /// Distinguishes processes of one name.
    std::uint64_t holder_incarnation = 0;
    /// Grows with each change of the holder.
    std::uint64_t fence = 0;
};

} // namespace carawayturn::entry
