#include "coordination/entry/sent_requests.hpp"

#include "state/stable_hash.hpp"

namespace carawayturn::entry
{

namespace
{

/// Returns the bit that the numbered hash function selects in a filter. The halves of one
/// hash are combined in place of independent functions.
std::size_t filter_bit(std::uint64_t hash, std::size_t number, std::size_t bits)
{
    std::uint64_t const step = (hash >> 32U) | 1U;
    return static_cast<std::size_t>((hash + number * step) % bits);
}

} // namespace

bool sent_requests::contains(generation const& requests, std::uint64_t hash)
{
    for (std::size_t number = 0; number < hash_count; ++number)
        if (!requests.filter.test(filter_bit(hash, number, filter_bits)))
            return false;
    return true;
}

void sent_requests::start_generation()
{
    older_ = newer_;
    newer_.filter.reset();
    newer_.first_position = next_position_;
}

sent_requests::entry sent_requests::record(std::string_view server,
                                           std::string_view request_id)
{
    auto const hash = stable_hash(request_id, stable_hash(server));
    bool const repeated = contains(newer_, hash) || contains(older_, hash);
    if (next_position_ - newer_.first_position >= generation_capacity)
        start_generation();
    for (std::size_t number = 0; number < hash_count; ++number)
        newer_.filter.set(filter_bit(hash, number, filter_bits));
    return {repeated, next_position_++};
}

} // namespace carawayturn::entry
