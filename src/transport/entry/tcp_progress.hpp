#pragma once

#include <cstdint>

namespace carawayturn::entry
{

/// Returns how many bytes the peer of a TCP connection has acknowledged since it was
/// opened; 0 if this is not known.
[[nodiscard]] std::uint64_t acknowledged_bytes(int socket);

} // namespace carawayturn::entry
