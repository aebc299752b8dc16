#pragma once

#include "transport/entry/boot_clock.hpp"
#include "transport/entry/entry_services.hpp"

#include <string>
#include <utility>

namespace carawayturn::entry
{

/// Counts a request as in flight at a server for the lifetime of the guard.
class in_flight_guard
{
public:
    in_flight_guard(entry_services& services, std::string server, std::string model)
        : services_(services), server_and_model_(std::move(server), std::move(model))
    {
        services_.backends.note_sent(server_and_model_.first);
        if (tracks_hedging())
            services_.hedges.note_sent(server_and_model_.first, began_);
        ++services_.in_flight[server_and_model_];
        slot_reserved_ = services_.backends.cold().reserve(server_and_model_.first);
    }
    in_flight_guard(in_flight_guard const&) = delete;
    in_flight_guard& operator=(in_flight_guard const&) = delete;
    ~in_flight_guard()
    {
        release_slot();
        services_.backends.note_finished(server_and_model_.first);
        if (tracks_hedging())
            services_.hedges.note_finished(server_and_model_.first, began_);
        auto const found = services_.in_flight.find(server_and_model_);
        if (found != services_.in_flight.end() && --found->second == 0)
            services_.in_flight.erase(found);
        services_.waiting.wake(boot_now());
    }

    /// When the request was assigned to the server.
    [[nodiscard]] time_point began() const { return began_; }
    /// Ends the reservation of a slot at a cold server, because the request uses one now
    /// or is not sent.
    void release_slot()
    {
        if (std::exchange(slot_reserved_, false))
            services_.backends.cold().release(server_and_model_.first);
    }

private:
    /// Only requests without a model are hedged.
    [[nodiscard]] bool tracks_hedging() const
    {
        return services_.hedges.enabled() && server_and_model_.second.empty();
    }

    entry_services& services_;
    time_point began_ = boot_now();
    std::pair<std::string, std::string> server_and_model_;
    bool slot_reserved_ = false;
};

} // namespace carawayturn::entry
