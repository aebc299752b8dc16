#include "transport/entry/caller_connections.hpp"

#include "transport/entry/boot_clock.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <vector>

namespace carawayturn::entry
{

namespace
{

struct replacement_step
{
    caller_stage stage;
    limit_action action;
};

/// The stages in which a connection is looked for that gives way to a new one. A
/// connection in the stage `serving` only does so while its caller leaves a complete
/// answer unread.
constexpr std::array<replacement_step, caller_stage_count> replacement_order{
    {{caller_stage::idle, limit_action::closed_idle},
     {caller_stage::closing, limit_action::closed_answered},
     {caller_stage::reading, limit_action::closed_unfinished},
     {caller_stage::serving, limit_action::closed_answered}}};

/// Maximum number of connections that are looked at in one stage. Those at the front of
/// the list may have input or be at a server, so that they stay.
constexpr std::size_t max_visited = 256;

bool idle_without_input(caller_connection& connection, time_point idle_before)
{
    return connection.idle_since() < idle_before && connection.no_pending_input();
}

} // namespace

caller_connection::caller_connection(caller_connections& registry)
    : registry_(registry), entered_(boot_now())
{
    auto& list = registry_.in_stage(stage_);
    place_ = list.insert(list.end(), this);
}

caller_connection::~caller_connection()
{
    registry_.in_stage(stage_).erase(place_);
    registry_.replaced_ -= replaced_ ? 1 : 0;
}

void caller_connection::enter(caller_stage stage)
{
    auto& next = registry_.in_stage(stage);
    next.splice(next.end(), registry_.in_stage(stage_), place_);
    stage_ = stage;
    entered_ = boot_now();
}

std::size_t caller_connections::count(caller_stage stage) const
{
    return stages_.at(static_cast<std::size_t>(stage)).size();
}

caller_connections::connection_list& caller_connections::in_stage(caller_stage stage)
{
    return stages_.at(static_cast<std::size_t>(stage));
}

std::size_t caller_connections::open() const
{
    auto const add_size = [](std::size_t sum, auto const& list)
    { return sum + list.size(); };
    return std::accumulate(stages_.begin(), stages_.end(), std::size_t{0}, add_size) -
           replaced_;
}

std::size_t caller_connections::unfinished(time_point idle_before) const
{
    auto const& idle = stages_.at(static_cast<std::size_t>(caller_stage::idle));
    auto const finished =
        std::count_if(idle.begin(), idle.end(),
                      [idle_before](auto* connection)
                      { return idle_without_input(*connection, idle_before); });
    return open() + replaced_ - static_cast<std::size_t>(finished);
}

std::optional<limit_action> caller_connections::replace_one(time_point now)
{
    for (auto const& step : replacement_order)
        if (replace_slowest(step.stage, now))
            return step.action;
    return std::nullopt;
}

bool caller_connections::replace_slowest(caller_stage stage, time_point now)
{
    std::vector<request_progress> candidates;
    std::vector<caller_connection*> connections;
    std::size_t visited = 0;
    for (auto* const connection : in_stage(stage))
    {
        // The rest of the list has entered the stage later.
        if (++visited > max_visited ||
            candidates.size() >= slow_request_policy::max_candidates ||
            !slow_request_policy::replaceable({connection->entered_, {}, 0, false}, now))
            break;
        auto const progress =
            connection->replaced_ ? std::nullopt : connection->progress();
        if (!progress)
            continue;
        candidates.push_back(*progress);
        connections.push_back(connection);
    }
    auto const found = slow_request_policy::slowest(candidates, now);
    if (found)
        replace(*connections[*found]);
    return found.has_value();
}

bool caller_connections::close_stalled(duration limit, time_point now)
{
    auto const may_close = [limit, now](caller_connection* connection)
    {
        if (connection->replaced_ || !connection->holds_memory())
            return false;
        auto const progress = connection->progress();
        return progress && slow_request_policy::stalled(*progress, limit, now);
    };
    auto& reading = in_stage(caller_stage::reading);
    auto const found = std::find_if(reading.begin(), reading.end(), may_close);
    if (found == reading.end())
        return false;
    replace(**found);
    return true;
}

void caller_connections::replace(caller_connection& connection)
{
    connection.replaced_ = true;
    ++replaced_;
    connection.close();
}

void caller_connections::close_idle(time_point idle_before)
{
    for (auto* const connection : in_stage(caller_stage::idle))
        if (idle_without_input(*connection, idle_before))
            connection->close();
}

void caller_connections::stop(stop_scope scope)
{
    for (auto& list : stages_)
        for (auto* const connection : list)
            connection->stop(scope);
}

} // namespace carawayturn::entry
