#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow.hpp"

// Hedged requests: a second server is asked while the first one is still expected to
// answer. The exchange with both is the one of a request that leaves a silent server.
namespace carawayturn::entry
{

bool request_flow::may_be_hedged() const
{
    // Two runners must not work on one request for long, so requests for models are not
    // hedged.
    return services_.hedges.enabled() && route_->kind == request_kind::idempotent &&
           route_->max_attempts > 1 && !service_->engine &&
           route_->latency_objective > duration::zero();
}

time_point request_flow::hedge_time() const
{
    if (!may_be_hedged())
        return time_point::max();
    return in_flight_->began() +
           services_.hedges.delay(route_->name, route_->latency_objective);
}

bool request_flow::reserve_hedge(time_point now)
{
    auto next = find_next_server(now);
    if (!next || find_repeat_denial(attempt_outcome::unknown, now) != repeat_denial::none)
        return false;
    auto const elapsed = now - in_flight_->began();
    auto const denial =
        services_.hedges.take({route_->name, next->id, elapsed,
                               services_.backends.used_slots(service_->name, now)},
                              now);
    bool const paid =
        denial == hedge_denial::none && services_.retries.take(service_->name, now);
    if (denial == hedge_denial::none && !paid)
        services_.hedges.give_back(route_->name);
    services_.log.write(entry_event::request_hedged,
                        {{"request", head_.id},
                         {"route", route_->name},
                         {"server", server_.id},
                         {"next_server", next->id},
                         {"denied", denial != hedge_denial::none ? entry::name_of(denial)
                                    : paid                       ? std::string_view()
                                           : std::string_view("retry_budget")},
                         {"delay_ms", to_ms(elapsed)},
                         {"objective_ms", to_ms(route_->latency_objective)}});
    if (paid)
        reserved_server_ = std::move(next);
    return paid;
}

task<bool> request_flow::hedge()
{
    hedge_decided_ = true;
    auto const first_sent_at = in_flight_->began();
    auto const hedged_at = boot_now();
    if (!reserve_hedge(hedged_at))
        co_return false;
    hedging_ = true;
    bool const moved = co_await ask_reserved_server();
    hedging_ = false;
    if (moved)
        services_.metrics.count("hedges_won_total");
    // The time that the server worked whose answer is not used.
    auto const wasted = boot_now() - (moved ? first_sent_at : hedged_at);
    services_.metrics.count("hedges_wasted_ms_total",
                            static_cast<std::uint64_t>(to_ms(wasted)));
    co_return moved;
}

} // namespace carawayturn::entry
