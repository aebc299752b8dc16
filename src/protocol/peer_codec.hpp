#pragma once

#include "state/identifiers.hpp"
#include "state/peer_message.hpp"
#include "state/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace carawayturn
{

/// Largest peer message accepted; whole copies of large configurations set the size.
inline constexpr std::size_t max_peer_message_bytes = std::size_t{64} << 20U;

struct peer_envelope
{
    instance_id from;
    peer_message message;
};

/// Encodes a message and appends its HMAC-SHA-256 under the cluster secret.
[[nodiscard]] std::string encode_peer(std::string_view cluster_secret,
                                      instance_id const& from,
                                      peer_message const& message);

/// Checks the authentication code first, then decodes. Truncated, forged, oversized or
/// malformed input gives an error; it never throws.
[[nodiscard]] result<peer_envelope> decode_peer(std::string_view cluster_secret,
                                                std::string_view bytes);

} // namespace carawayturn
