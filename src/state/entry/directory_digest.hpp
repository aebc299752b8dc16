#pragma once

#include "state/entry/backend_record.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// The directory of backend servers is compared in this many parts, by the servers' ids,
/// so that an instance whose hub has changed is sent only the parts that differ.
inline constexpr unsigned directory_buckets = 64;

/// Stands for a server's id in frequent messages. Two servers that share it are left out
/// of these.
[[nodiscard]] std::uint32_t short_id(std::string_view id);

/// The part of the directory that a server belongs to.
[[nodiscard]] unsigned bucket_of(std::string_view id);

/// Directories with the same sum of these have servers with the same ids.
[[nodiscard]] std::uint64_t id_hash(std::string_view id);

/// Hash of what instances are told of a server.
[[nodiscard]] std::uint64_t hash_of(backend_record const& record);

/// A sum of hash_of() for each part of the directory over what instances are told of its
/// servers; equal for equal parts.
[[nodiscard]] std::vector<std::uint64_t>
digest_of(std::map<std::string, backend_record> const& records);

/// Bits of the parts that differ; all of them if one digest is missing.
[[nodiscard]] std::uint64_t differing_buckets(std::vector<std::uint64_t> const& one,
                                              std::vector<std::uint64_t> const& other);

} // namespace carawayturn::entry
