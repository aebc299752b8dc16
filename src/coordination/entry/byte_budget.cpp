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

bool byte_reservation::grow_to(std::uint64_t bytes)
{
    auto const charged = bytes - std::min(bytes, free_bytes_);
    return charged <= taken_ || resize(bytes);
}

bool byte_reservation::resize(std::uint64_t bytes)
{
    auto const charged = bytes - std::min(bytes, free_bytes_);
    if (charged > taken_ && !budget_.take(charged - taken_))
        return false;
    if (charged < taken_)
        budget_.release(taken_ - charged);
    taken_ = charged;
    return true;
}

} // namespace carawayturn::entry
