#include "coordination/entry/admission_control.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Largest number of requests that wait for servers with room. Each holds its head, its
/// body and its connection, some 20 KB without the body, and an instance has 112 MB.
constexpr std::size_t max_queued = 512;
/// Callers wait for a Retry-After of up to this part of the time that they have left, and
/// return then if it is longer.
constexpr int honoured_return_share = 3;
/// Bounds of the time of return that a caller is told.
constexpr duration min_return_time = std::chrono::milliseconds(20);
constexpr duration max_return_time = std::chrono::seconds(30);

} // namespace

wait_rule admission_control::rule_for(backend_choice const& choice) const
{
    return choice.has_queue ? queue_rule_ : wait_rule::priority;
}

void admission_control::apply(backend_choice& choice, admission_request const& request,
                              std::size_t instances, time_point now)
{
    bool const in_turn = request.place != nullptr
                             ? request.place->is_first(now)
                             : !waiting_.must_wait(request.terms, rule_for(choice), now);
    bool const out_of_turn = choice.outcome == choice_outcome::chosen && !in_turn;
    bool const has_no_room = choice.outcome == choice_outcome::full && choice.has_queue &&
                             choice.backend != nullptr;
    if (!out_of_turn && !has_no_room)
        return;
    bool const waits = !choice.has_queue || request.place != nullptr ||
                       may_wait(choice, request, instances, now);
    choice.outcome = waits ? choice_outcome::paused : choice_outcome::full;
    choice.pause_ends_at = now;
    choice.queued = waits && choice.has_queue;
}

double admission_control::room_per_second(backend_choice const& choice,
                                          admission_request const& request,
                                          std::size_t instances, time_point now) const
{
    auto const service_s = to_seconds(starts_.service_time(request.kind));
    auto const sharers = static_cast<double>(std::max<std::size_t>(instances, 1));
    return std::max(waiting_.sent_per_second(request.terms.target, now),
                    choice.capacity / service_s / sharers);
}

std::optional<duration>
admission_control::expected_start(backend_choice const& choice,
                                  admission_request const& request, std::size_t instances,
                                  time_point now) const
{
    auto const rate = room_per_second(choice, request, instances, now);
    if (choice.backend == nullptr || !starts_.known(request.kind) || rate <= 0)
        return std::nullopt;
    double const slots = std::max(choice.backend->slots, 1U);
    // The server has room for the request after one of its own has ended.
    auto const at_server = starts_.start_in(
        request.kind, {slots, std::max(choice.load * slots - 1, 0.0), choice.pace});
    auto const ahead = waiting_.count_ahead(request.terms, rule_for(choice), now);
    return at_server + from_seconds((static_cast<double>(ahead) + 1) / rate);
}

bool admission_control::may_wait(backend_choice const& choice,
                                 admission_request const& request, std::size_t instances,
                                 time_point now)
{
    auto const start = expected_start(choice, request, instances, now);
    if (start && now + *start > request.terms.deadline_start)
        return false;
    return waiting_.size() < max_queued || waiting_.displace_for(request.terms.priority);
}

std::optional<duration> admission_control::return_time(backend_choice const& choice,
                                                       admission_request const& request,
                                                       std::size_t instances,
                                                       time_point now)
{
    auto const room = expected_start(choice, request, instances, now);
    if (!room)
        return std::nullopt;
    auto const honoured =
        std::max(request.deadline - now, duration::zero()) / honoured_return_share;
    auto const promised =
        waiting_.rate_of(request.terms.target, now)
            .promise_return(*room, honoured,
                            room_per_second(choice, request, instances, now), now);
    return std::clamp(promised, min_return_time, max_return_time);
}

} // namespace carawayturn::entry
