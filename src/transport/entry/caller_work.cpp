#include "transport/entry/caller_work.hpp"

namespace carawayturn::entry
{

caller_connection::caller_connection(caller_work& work) : work_(work)
{
    work_.connections_.insert(this);
    ++work_.counter(stage_);
}

caller_connection::~caller_connection()
{
    --work_.counter(stage_);
    work_.connections_.erase(this);
}

void caller_connection::enter(caller_stage stage)
{
    --work_.counter(stage_);
    stage_ = stage;
    ++work_.counter(stage_);
}

std::size_t caller_work::count(caller_stage stage) const
{
    return counts_.at(static_cast<std::size_t>(stage));
}

std::size_t& caller_work::counter(caller_stage stage)
{
    return counts_.at(static_cast<std::size_t>(stage));
}

} // namespace carawayturn::entry
