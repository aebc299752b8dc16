#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// Maximum number of failure domains that are evacuated at the same time. Further rows
/// are ignored.
inline constexpr std::size_t max_evacuated_domains = 64;

/// A failure domain whose servers the operators have asked to be left alone.
struct evacuated_domain
{
    std::string name;
    /// Version of the row that asks for it.
    std::uint64_t row_version = 0;
    friend auto operator<=>(evacuated_domain const&, evacuated_domain const&) = default;
};

/// The set of evacuated failure domains, as one reading of the store's table shows it.
struct evacuated_domains
{
    /// False if no reading is known; the other fields are unused then.
    bool known = false;
    /// Version of the table as of which the set was read.
    std::uint64_t version = 0;
    /// Sorted by name.
    std::vector<evacuated_domain> domains;
    /// In messages: the time since the reading's call was sent to the store, and since
    /// its answer arrived.
    std::int64_t since_call_us = 0;
    std::int64_t since_answer_us = 0;
};

} // namespace carawayturn::entry
