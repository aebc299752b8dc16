#include "transport/core_loop.hpp"

#include <chrono>
#include <utility>

namespace carawayturn
{

namespace
{

/// Time between two attempts to hand an event to a full ring.
constexpr auto full_ring_pause = std::chrono::milliseconds(1);

} // namespace

time_point monotonic_now()
{
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

core_loop::core_loop(std::size_t ring_capacity)
    : capacity_(ring_capacity), ring_(ring_capacity)
{
}

core_loop::~core_loop()
{
    stop();
}

void core_loop::start(std::unique_ptr<core_driver> core, action_sink& sink)
{
    core_ = std::move(core);
    thread_ = std::thread([this, &sink] { run(sink); });
}

void core_loop::stop()
{
    stopping_ = true;
    ring_.close();
    if (thread_.joinable())
        thread_.join();
    // Questions hold parts of other duties, which may end before this object.
    while (ring_.pop_until(std::chrono::steady_clock::now()))
    {
    }
}

bool core_loop::offer(event raised)
{
    auto const limit =
        static_cast<std::size_t>(static_cast<double>(capacity_) * offer_share);
    return ring_.size() < limit && ring_.try_push(std::move(raised));
}

void core_loop::deliver(event raised)
{
    push_waiting(std::move(raised));
}

bool core_loop::ask(core_question question)
{
    return push_waiting(std::move(question));
}

bool core_loop::push_waiting(entry const& next)
{
    while (!stopping_)
    {
        if (ring_.try_push(next))
            return true;
        std::this_thread::sleep_for(full_ring_pause);
    }
    return false;
}

void core_loop::run(action_sink& sink)
{
    auto next_tick = std::chrono::steady_clock::now();
    while (!stopping_)
    {
        auto const next = ring_.pop_until(next_tick);
        if (next && !stopping_)
            take(*next, sink);
        auto const now = std::chrono::steady_clock::now();
        if (now < next_tick || stopping_)
            continue;
        feed(tick{}, sink);
        next_tick = now + tick_interval;
    }
}

void core_loop::take(entry const& next, action_sink& sink)
{
    if (auto const* const input = std::get_if<event>(&next))
        feed(*input, sink);
    else
        std::get<core_question>(next)(*core_, monotonic_now());
}

void core_loop::feed(event const& input, action_sink& sink)
{
    for (auto& done : core_->handle(monotonic_now(), input))
        sink.take(std::move(done));
}

} // namespace carawayturn
