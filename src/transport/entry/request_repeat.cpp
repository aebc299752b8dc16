#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow.hpp"
#include "transport/entry/request_flow_detail.hpp"

#include <array>

// Whether a request is sent again after an attempt, and whether what this instance knows
// is recent enough to send it.
namespace carawayturn::entry
{

using namespace flow;

std::string_view name_of(repeat_denial denial)
{
    static constexpr std::array<std::string_view, 12> names{"",
                                                            "final_outcome",
                                                            "runs_used",
                                                            "sends_used",
                                                            "answer_begun",
                                                            "stream_not_resumable",
                                                            "version_unknown",
                                                            "crashes_servers",
                                                            "deadline",
                                                            "retry_budget",
                                                            "no_server",
                                                            "stopping"};
    return names.at(static_cast<std::size_t>(denial));
}

bool request_flow::another_run_allowed() const
{
    return route_->retryable() && runs_ < route_->max_attempts;
}

repeat_denial request_flow::find_repeat_denial(attempt_outcome outcome,
                                               time_point now) const
{
    if (blocked_for_crashes())
        return repeat_denial::crashes_servers;
    if (answer_begun_)
        return repeat_denial::answer_begun;
    if (stopped_)
        return repeat_denial::stopping;
    switch (outcome)
    {
    case attempt_outcome::not_sent:
    case attempt_outcome::not_run:
        break;
    case attempt_outcome::unknown:
    case attempt_outcome::server_failure:
    case attempt_outcome::broken_off:
        if (!another_run_allowed())
            return repeat_denial::runs_used;
        break;
    case attempt_outcome::delivered:
    case attempt_outcome::caller_gone:
    case attempt_outcome::late:
    case attempt_outcome::handed_over:
        return repeat_denial::final_outcome;
    }
    if (!continuation_.resumable())
        return repeat_denial::stream_not_resumable;
    if (stream_begun_ && !version_known())
        return repeat_denial::version_unknown;
    if (now >= (stream_begun_ ? deadline_ : start_deadline_))
        return repeat_denial::deadline_passed;
    bool const sent = outcome != attempt_outcome::not_sent;
    return sent && sends_ >= max_sends ? repeat_denial::sends_used : repeat_denial::none;
}

bool request_flow::another_server_can_run() const
{
    auto const now = boot_now();
    return find_repeat_denial(attempt_outcome::server_failure, now) ==
               repeat_denial::none &&
           find_next_server(now) && services_.retries.available(service_->name, now);
}

bool request_flow::may_repeat(attempt_outcome outcome)
{
    auto const now = boot_now();
    denial_ = find_repeat_denial(outcome, now);
    if (denial_ != repeat_denial::none)
        return false;
    // Not charged to the retry budget, because no server received the request.
    if (outcome == attempt_outcome::not_sent)
        return true;
    if (!services_.retries.take(service_->name, now))
    {
        services_.metrics.count("repeats_denied_total");
        denial_ = repeat_denial::retry_budget;
        return false;
    }
    if (outcome != attempt_outcome::not_run)
        excluded_.insert(server_.id);
    // Discards the incomplete event of the failed run, which the next run sends again.
    events_.discard_incomplete_event();
    if (stream_begun_)
        start_deadline_ = deadline_;
    services_.metrics.count("repeats_total");
    return true;
}

task<std::optional<request_flow::refusal>> request_flow::refresh_evacuations()
{
    auto const& evacuated = services_.backends.evacuated();
    if (!evacuated.must_refresh(boot_now()))
        co_return std::nullopt;
    while (evacuated.must_refresh(boot_now()) && !interrupted() &&
           boot_now() < start_deadline_)
        co_await services_.changes.wait(recheck_interval);
    if (boot_now() >= start_deadline_)
        co_return refusal{refusal_reason::deadline_unreachable, retry_later};
    // An instance that is not in touch with the store serves requests without keys.
    if (organisation_ != nullptr && !services_.authority.may_serve_keyed(boot_now()))
        co_return refusal{refusal_reason::configuration_stale, retry_later};
    co_return std::nullopt;
}

} // namespace carawayturn::entry
