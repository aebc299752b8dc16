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

} // namespace carawayturn
