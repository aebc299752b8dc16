#include "state/hash.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>

namespace carawayturn
{

digest sha256(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(),
           bytes.data());
    std::string hex;
    hex.reserve(2 * bytes.size());
    for (unsigned char const byte : bytes)
    {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return digest(std::move(hex));
}

std::string hmac_sha256(std::string_view secret, std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<unsigned char const*>(text.data()), text.size(), bytes.data(),
         &size);
    return {reinterpret_cast<char const*>(bytes.data()), size};
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

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
