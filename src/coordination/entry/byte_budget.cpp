#include "coordination/entry/byte_budget.hpp"

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
    if (bytes <= held_)
        return true;
    if (!budget_.take(bytes - held_))
        return false;
    held_ = bytes;
    return true;
}

} // namespace carawayturn::entry
