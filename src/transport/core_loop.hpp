#pragma once

#include "transport/bounded_ring.hpp"
#include "transport/core_driver.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <variant>

namespace carawayturn
{

/// A question to the core, run on the core thread between two events.
using core_question = std::function<void(core_driver const&, time_point)>;

/// Where the duties hand events to the core. All calls are safe on any thread.
class event_sink
{
public:
    event_sink() = default;
    event_sink(event_sink const&) = delete;
    event_sink& operator=(event_sink const&) = delete;
    virtual ~event_sink() = default;

    /// Hands over an event that may be refused: a new request or a peer's message. False
    /// when the ring is too full.
    [[nodiscard]] virtual bool offer(event raised) = 0;

    /// Hands over an event that must not be lost. Waits while the ring is full; does
    /// nothing after the loop has stopped.
    virtual void deliver(event raised) = 0;

    /// Has a question answered on the core thread. False after the loop has stopped.
    virtual bool ask(core_question question) = 0;
};

/// Takes the core's actions, on the core thread. It must not wait for the core.
class action_sink
{
public:
    action_sink() = default;
    action_sink(action_sink const&) = delete;
    action_sink& operator=(action_sink const&) = delete;
    virtual ~action_sink() = default;

    virtual void take(action done) = 0;
};

/// Returns the steady clock's time as the core counts it.
[[nodiscard]] time_point monotonic_now();

/// The core thread: owns the core, feeds it events from a bounded ring and a tick every
/// tick_interval, and hands its actions on.
class core_loop : public event_sink
{
public:
    /// Part of the ring that offer() may fill; the rest is kept for events that follow
    /// from work already accepted.
    static constexpr double offer_share = 0.75;

    explicit core_loop(std::size_t ring_capacity);
    ~core_loop() override;

    /// Starts the thread with the core that it owns from now on.
    void start(std::unique_ptr<core_driver> core, action_sink& sink);

    /// Stops and joins the thread; events still in the ring are dropped.
    void stop();

    [[nodiscard]] bool offer(event raised) override;
    void deliver(event raised) override;
    bool ask(core_question question) override;

    /// Events waiting in the ring.
    [[nodiscard]] std::size_t waiting() const { return ring_.size(); }
    [[nodiscard]] std::size_t capacity() const { return capacity_; }

private:
    using entry = std::variant<event, core_question>;

    void run(action_sink& sink);
    void take(entry const& next, action_sink& sink);
    void feed(event const& input, action_sink& sink);
    bool push_waiting(entry const& next);

    std::unique_ptr<core_driver> core_;
    std::size_t const capacity_;
    bounded_ring<entry> ring_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace carawayturn
