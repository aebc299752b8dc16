#pragma once

#include "state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace carawayturn::entry
{

/// The share of requests of each priority that got a server of late. Answers the load
/// pattern "a burst of urgent requests misses its objective, and less urgent requests
/// that can still meet theirs would go first until the urgent ones have missed their
/// deadline".
class served_shares
{
public:
    void note(std::uint32_t priority, bool served, time_point now);
    /// Whether requests of the first priority were served less often than those of the
    /// second.
    /// @param late requests of the first priority that wait and have missed their
    /// objective. They count as not served, or the loss would show only when it is final.
    [[nodiscard]] bool is_below(std::uint32_t first, std::size_t late,
                                std::uint32_t second) const;

private:
    struct counts
    {
        double served = 0;
        double all = 0;
        time_point at{};
    };
    std::map<std::uint32_t, counts> counts_;
};

} // namespace carawayturn::entry
