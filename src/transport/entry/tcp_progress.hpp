#pragma once

#include <cstdint>

namespace carawayturn::entry
{

/// Returns how many bytes the peer of a TCP connection has acknowledged since it was
/// opened. Returns 0 if the kernel has no such counter (Linux before 4.1); a slow peer
/// then seems to make no progress.
[[nodiscard]] std::uint64_t acknowledged_bytes(int socket);

} // namespace carawayturn::entry
