#include "transport/entry/caller_work.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

bool idle_and_silent(caller_connection& connection)
{
    return connection.stage() == caller_stage::idle && connection.silent();
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

std::size_t caller_work::unfinished() const
{
    auto const finished =
        std::count_if(connections_.begin(), connections_.end(),
                      [](auto* connection) { return idle_and_silent(*connection); });
    return connections_.size() - static_cast<std::size_t>(finished);
}

void caller_work::close_silent(bool unused_too)
{
    for (auto* const connection : connections_)
        if ((unused_too || connection->used()) && idle_and_silent(*connection))
            connection->close();
}

void caller_work::stop()
{
    for (auto* const connection : connections_)
        connection->stop();
}

} // namespace carawayturn::entry
