#include "state/entry/time_units.hpp"
#include "transport/entry/boot_clock.hpp"
#include "transport/entry/request_flow.hpp"
#include "transport/entry/request_flow_detail.hpp"

#include <algorithm>

// The part of request_flow that pays for a request from its organisation's quota.
namespace carawayturn::entry
{

using namespace flow;

namespace
{

/// How long a request that waits without a hub's answer pauses before it tries the
/// instance's own share and the hub again. The pause doubles, so that a hub that is slow
/// does not get more questions because of that.
constexpr duration min_retry_pause = std::chrono::milliseconds(250);
constexpr duration max_retry_pause = std::chrono::milliseconds(2000);

} // namespace

task<std::optional<request_flow::refusal>> request_flow::charge_quota()
{
    if (organisation_ == nullptr || organisation_->rate <= 0)
        co_return std::nullopt;
    units_ = 1;
    if (organisation_->by_tokens)
        units_ = head_.tokens > 0 ? head_.tokens : organisation_->plain_tokens;
    auto const refused = co_await spend_units();
    charged_ = !refused;
    charged_at_ = boot_now();
    co_return refused;
}

task<std::optional<request_flow::refusal>> request_flow::spend_units()
{
    if (services_.quota.spend(organisation_->name, units_))
        co_return std::nullopt;
    auto const began = boot_now();
    auto const longest =
        longest_quota_wait(*route_, start_deadline_, began, resumes_stream_);
    quota_waiting_place place(services_.quota_waiting);
    // An instance that shuts down cannot wait as long as another one.
    bool const waits = longest > duration::zero() && !services_.draining() &&
                       place.take(request_.body().size());
    auto refused = co_await wait_for_units(waits ? began + longest : began);
    quota_wait_ = boot_now() - began;
    if (waits)
        services_.metrics.observe_quota_wait(quota_wait_);
    // The process may have been paused since the units were granted.
    if (!refused && boot_now() >= start_deadline_)
        refused = refusal{refusal_reason::deadline_unreachable, retry_later};
    co_return refused;
}

task<std::optional<request_flow::refusal>> request_flow::wait_for_units(time_point latest)
{
    auto const& name = organisation_->name;
    bool const waits = latest > boot_now();
    steady_timer timer(services_.io);
    resumed_quota_wait const counted(services_.quota, name, resumes_stream_, boot_now());
    for (auto pause = min_retry_pause;;)
    {
        auto const now = boot_now();
        quota_rank const rank{priority(), std::max(latest - now, duration::zero()),
                              resumes_stream_};
        auto const blocked = services_.quota.blocked_for(name, units_, now, rank);
        if (blocked > duration::zero())
            co_return refuse_for_quota(refusal_reason::over_rate, blocked, rank);
        std::optional<quota_reply> reply;
        bool const asks_hub = services_.hub.connected();
        if (asks_hub)
            reply = co_await ask_for_units(rank);
        if (waits && quota_wait_ended())
            co_return refusal{refusal_reason::draining, retry_elsewhere};
        if (reply)
            co_return accept_reply(*reply, rank);
        // Resumed streams that were released together with this request try first.
        if (!resumes_stream_)
        {
            timer.expires_after(duration::zero());
            co_await timer.async_wait(use_task);
        }
        quota_terms const terms{organisation_->rate, organisation_->burst};
        if (services_.quota.spend_without_hub(name, terms, units_,
                                              services_.hub.instances(), boot_now(),
                                              resumes_stream_))
            co_return std::nullopt;
        if (boot_now() + pause >= latest)
            co_return refuse_for_quota(refusal_reason::over_rate_alone, retry_later,
                                       rank);
        timer.expires_after(pause);
        co_await timer.async_wait(use_task);
        // A resumed stream that asked no hub keeps trying the own share at short
        // intervals, so that no new request comes before it.
        if (asks_hub || !resumes_stream_)
            pause = std::min(2 * pause, max_retry_pause);
    }
}

task<std::optional<quota_reply>> request_flow::ask_for_units(quota_rank rank)
{
    auto const instances = services_.hub.instances();
    hub_quota_question question;
    question.organisation = organisation_->name;
    question.units = units_;
    question.reserve =
        organisation_->rate * quota_reserve_s / static_cast<double>(instances);
    question.rank = rank;
    question.given_up = [this] { return quota_wait_ended(); };
    return services_.hub.ask_quota(std::move(question));
}

std::optional<request_flow::refusal> request_flow::accept_reply(quota_reply const& reply,
                                                                quota_rank rank)
{
    auto const& name = organisation_->name;
    if (reply.units >= units_)
    {
        services_.quota.deposit(name, reply.units - units_);
        return std::nullopt;
    }
    // A request whose time passed while it waited may be refused when units are there.
    auto const wait = std::max(duration(reply.retry_after_us), retry_elsewhere);
    auto const now = boot_now();
    services_.quota.block(name, units_, now + wait, now, rank);
    return refuse_for_quota(refusal_reason::over_rate, wait, rank);
}

request_flow::refusal request_flow::refuse_for_quota(refusal_reason reason,
                                                     duration retry_after,
                                                     quota_rank rank)
{
    services_.metrics.count(rank.max_wait > duration::zero()
                                ? "quota_refusals_total{reason=\"not_in_time\"}"
                                : "quota_refusals_total{reason=\"cannot_wait\"}");
    return {reason, retry_after};
}

void request_flow::refund_quota()
{
    // Units of an old grant would add to those that the hub has granted since.
    bool const recent =
        boot_now() - charged_at_ <= services_.settings.bounds.quota_window;
    if (charged_ && runs_ == 0 && recent)
        services_.quota.deposit(organisation_->name, units_);
    charged_ = false;
}

} // namespace carawayturn::entry
