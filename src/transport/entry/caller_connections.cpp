#include "transport/entry/caller_connections.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

bool idle_without_input(caller_connection& connection, time_point idle_before)
{
    return connection.stage() == caller_stage::idle &&
           connection.idle_since() < idle_before && connection.no_pending_input();
}

} // namespace

caller_connection::caller_connection(caller_connections& registry) : registry_(registry)
{
    registry_.connections_.insert(this);
    ++registry_.counter(stage_);
}

caller_connection::~caller_connection()
{
    --registry_.counter(stage_);
    registry_.connections_.erase(this);
}

void caller_connection::enter(caller_stage stage)
{
    --registry_.counter(stage_);
    stage_ = stage;
    ++registry_.counter(stage_);
}

std::size_t caller_connections::count(caller_stage stage) const
{
    return counts_.at(static_cast<std::size_t>(stage));
}

std::size_t& caller_connections::counter(caller_stage stage)
{
    return counts_.at(static_cast<std::size_t>(stage));
}

std::size_t caller_connections::unfinished(time_point idle_before) const
{
    auto const finished =
        std::count_if(connections_.begin(), connections_.end(),
                      [idle_before](auto* connection)
                      { return idle_without_input(*connection, idle_before); });
    return connections_.size() - static_cast<std::size_t>(finished);
}

void caller_connections::close_idle(time_point idle_before)
{
    for (auto* const connection : connections_)
        if (idle_without_input(*connection, idle_before))
            connection->close();
}

void caller_connections::stop(stop_scope scope)
{
    for (auto* const connection : connections_)
        connection->stop(scope);
}

} // namespace carawayturn::entry
