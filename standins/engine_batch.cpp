#include "engine_batch.hpp"

#include <algorithm>
#include <chrono>

namespace carawayturn::standins
{

namespace
{

// How often a waiting request looks whether its caller has gone.
constexpr std::chrono::milliseconds abandon_check{20};

} // namespace

engine_batch::ending engine_batch::state_of(batch_place const& place)
{
    if (place.crashed)
        return ending::crashed;
    return place.cancelled ? ending::cancelled : ending::running;
}

engine_batch::ending engine_batch::enter(batch_place& place,
                                         std::function<bool()> const& abandoned)
{
    std::unique_lock lock(mutex_);
    place.arrival = ++arrivals_;
    waiting_.insert(&place);
    auto const may_run = [&]
    { return running_.size() < size_ && *waiting_.begin() == &place; };
    ending state = ending::running;
    while (state == ending::running && !may_run())
    {
        changed_.wait_for(lock, abandon_check);
        state = abandoned() ? ending::abandoned : state_of(place);
    }
    waiting_.erase(&place);
    if (state == ending::running)
    {
        place.running = true;
        running_.insert(&place);
    }
    changed_.notify_all();
    return state;
}

void engine_batch::leave(batch_place& place)
{
    std::lock_guard const lock(mutex_);
    running_.erase(&place);
    changed_.notify_all();
}

engine_batch::ending engine_batch::pause(batch_place const& place,
                                         std::chrono::microseconds time)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, time, [&] { return state_of(place) != ending::running; });
    return state_of(place);
}

bool engine_batch::cancel(std::string const& request_id)
{
    std::lock_guard const lock(mutex_);
    bool found = false;
    auto const mark = [&](batch_place* place)
    {
        if (place->request_id != request_id)
            return;
        place->cancelled = true;
        found = true;
    };
    std::ranges::for_each(waiting_, mark);
    std::ranges::for_each(running_, mark);
    if (found)
        ++cancels_;
    changed_.notify_all();
    return found;
}

void engine_batch::crash()
{
    std::lock_guard const lock(mutex_);
    for (auto* place : waiting_)
        place->crashed = true;
    for (auto* place : running_)
        place->crashed = true;
    changed_.notify_all();
}

engine_batch::load engine_batch::current_load() const
{
    std::lock_guard const lock(mutex_);
    return {running_.size(), waiting_.size()};
}

std::uint64_t engine_batch::cancels() const
{
    std::lock_guard const lock(mutex_);
    return cancels_;
}

} // namespace carawayturn::standins
