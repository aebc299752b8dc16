#pragma once

#include <cstdint>
#include <string_view>

namespace carawayturn
{

/// A fast, stable 64-bit hash (FNV-1a with a final mix), equal on all machines. For
/// rendezvous hashing, affinity and signatures, not for security. The hash of one part
/// as the seed of the next keeps the parts apart.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace carawayturn
