#include "coordination/entry/byte_budget.hpp"

#include <algorithm>

namespace carawayturn::entry
{

bool byte_budget::take(std::uint64_t bytes)
{
    if (bytes > capacity_ - taken_)
        return false;
    taken_ += bytes;
    return true;
}

std::uint64_t byte_reservation::charge_for(std::uint64_t bytes) const
{
    return bytes - std::min(bytes, free_bytes_);
}

bool byte_reservation::grow_to(std::uint64_t bytes)
{
    return charge_for(bytes) <= taken_ || resize(bytes);
}

bool byte_reservation::resize(std::uint64_t bytes)
{
    auto const charge = charge_for(bytes);
    if (charge > taken_ && !budget_.take(charge - taken_))
        return false;
    if (charge < taken_)
        budget_.release(taken_ - charge);
    taken_ = charge;
    return true;
}

} // namespace carawayturn::entry
