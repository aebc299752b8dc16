#include "state/entry/directory_digest.hpp"

#include "state/stable_hash.hpp"

namespace carawayturn::entry
{

namespace
{

constexpr unsigned short_id_bits = 32;

} // namespace

std::uint64_t hash_of(backend_record const& record)
{
    auto hash = stable_hash(record.id);
    for (std::string_view const text :
         {std::string_view(record.service), std::string_view(record.address),
          std::string_view(record.failure_domain),
          std::string_view(record.software_version)})
        hash = stable_hash(text, hash);
    auto const numbers = std::to_string(record.slots) + (record.draining ? " d " : " ") +
                         std::to_string(record.born_ms) + " " +
                         std::to_string(record.cold_for_s);
    hash = stable_hash(numbers, hash);
    for (auto const& model : record.models)
    {
        hash = stable_hash(model.name, hash);
        hash = stable_hash(std::to_string(model.version), hash);
        for (auto const& adapter : model.adapters)
            hash = stable_hash(adapter, hash);
    }
    return hash;
}

std::uint64_t id_hash(std::string_view id)
{
    return stable_hash(id);
}

std::uint32_t short_id(std::string_view id)
{
    return static_cast<std::uint32_t>(stable_hash(id) >> short_id_bits);
}

unsigned bucket_of(std::string_view id)
{
    return static_cast<unsigned>(stable_hash(id) % directory_buckets);
}

std::vector<std::uint64_t> digest_of(std::map<std::string, backend_record> const& records)
{
    std::vector<std::uint64_t> digest(directory_buckets);
    for (auto const& [id, record] : records)
        digest[bucket_of(id)] += hash_of(record);
    return digest;
}

std::uint64_t differing_buckets(std::vector<std::uint64_t> const& one,
                                std::vector<std::uint64_t> const& other)
{
    if (one.size() != directory_buckets || other.size() != directory_buckets)
        return ~std::uint64_t{0};
    std::uint64_t bits = 0;
    for (unsigned i = 0; i < directory_buckets; ++i)
        if (one[i] != other[i])
            bits |= std::uint64_t{1} << i;
    return bits;
}

} // namespace carawayturn::entry
