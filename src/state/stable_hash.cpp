#include "state/stable_hash.hpp"

namespace carawayturn
{

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t offset_basis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t value = offset_basis ^ (seed * 0x9e3779b97f4a7c15ULL);
    for (char const byte : text)
    {
        value ^= static_cast<unsigned char>(byte);
        value *= prime;
    }
    // Murmur3's finalizer; FNV-1a alone leaves the high bits of short texts badly mixed.
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

} // namespace carawayturn
