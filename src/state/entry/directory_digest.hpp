#pragma once

#include "state/entry/backend_record.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// Number of buckets into which the directory of backend servers is divided by server id.
/// After a change of hub, an instance is sent only the buckets that differ.
inline constexpr unsigned directory_buckets = 64;

/// Returns a hash that replaces the server id in frequent messages. Servers whose short
/// ids collide are left out of these messages.
[[nodiscard]] std::uint32_t short_id(std::string_view id);

/// Returns the directory bucket that a server belongs to.
[[nodiscard]] unsigned bucket_of(std::string_view id);

/// Returns a hash of the id. Directories with equal sums of these hashes contain servers
/// with the same ids.
[[nodiscard]] std::uint64_t id_hash(std::string_view id);

/// Returns a hash of the fields of a record that the hub sends to instances.
[[nodiscard]] std::uint64_t hash_of(backend_record const& record);

/// Returns, for each directory bucket, the sum of hash_of() over its records. Equal
/// buckets have equal sums.
[[nodiscard]] std::vector<std::uint64_t>
digest_of(std::map<std::string, backend_record> const& records);

/// Returns a bit mask of the buckets whose digests differ, or of all buckets if either
/// digest does not have exactly one entry per bucket.
[[nodiscard]] std::uint64_t differing_buckets(std::vector<std::uint64_t> const& one,
                                              std::vector<std::uint64_t> const& other);

} // namespace carawayturn::entry
