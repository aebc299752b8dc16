#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace carawayturn::entry
{

/// Bounded record of the requests that an instance sent to backend servers, by server and
/// request id. A server may repeat its answer to an earlier request with the same id, so
/// a request that the record contains needs a connection that has carried no other one.
/// Answers the load pattern "a server refuses a request, runs it when it comes again, and
/// repeats the refusal".
///
/// Two Bloom filters hold the record. When the newer one is full, it replaces the older
/// one, so at least the last `generation_capacity` requests are known.
class sent_requests
{
public:
    /// Number of requests that one filter holds. With 16 bits for each of them and eight
    /// hashes, a full record takes at most two in a thousand new requests for known ones.
    static constexpr std::size_t generation_capacity = 4096;

    struct entry
    {
        /// The server may have been sent a request with this id before.
        bool repeated = false;
        /// Place of the request in the order of all requests that were recorded.
        std::uint64_t position = 0;
    };

    /// Records a request that is about to be sent.
    [[nodiscard]] entry record(std::string_view server, std::string_view request_id);

    /// Place that the next request will have.
    [[nodiscard]] std::uint64_t next_position() const { return next_position_; }

    /// Whether the record contains all requests from this place on. The requests of a
    /// connection whose first one is older are not all known.
    [[nodiscard]] bool covers(std::uint64_t position) const
    {
        return position >= older_.first_position;
    }

private:
    static constexpr std::size_t filter_bits = generation_capacity * 16;
    static constexpr std::size_t hash_count = 8;

    struct generation
    {
        std::bitset<filter_bits> filter;
        std::uint64_t first_position = 0;
    };

    [[nodiscard]] static bool contains(generation const& requests, std::uint64_t hash);
    void start_generation();

    generation newer_;
    generation older_;
    std::uint64_t next_position_ = 0;
};

} // namespace carawayturn::entry
