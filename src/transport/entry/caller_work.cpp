#include "transport/entry/caller_work.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

bool idle_and_silent(caller_connection& connection, time_point idle_before)
{
    return connection.stage() == caller_stage::idle &&
           connection.idle_since() < idle_before && connection.silent();
}

} // namespace

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

std::size_t caller_work::unfinished(time_point idle_before) const
{
    auto const finished =
        std::count_if(connections_.begin(), connections_.end(),
                      [idle_before](auto* connection)
                      { return idle_and_silent(*connection, idle_before); });
    return connections_.size() - static_cast<std::size_t>(finished);
}

void caller_work::close_silent(time_point idle_before)
{
    for (auto* const connection : connections_)
        if (idle_and_silent(*connection, idle_before))
            connection->close();
}

void caller_work::stop()
{
    for (auto* const connection : connections_)
        connection->stop();
}

} // namespace carawayturn::entry
