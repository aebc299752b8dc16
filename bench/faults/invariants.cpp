#include "faults/invariants.hpp"

#include "fleet/token_bucket.hpp"

#include <algorithm>

namespace carawayturn::bench
{

namespace
{

using namespace std::chrono_literals;

/// A withdrawn key may be honoured for at most this long after its withdrawal was
/// committed; docs/design.md requires seconds, and the target is 17 s.
constexpr duration withdrawal_limit = 17s;
/// An answer may be this late: ticks of the injected clock are 50 ms apart.
constexpr duration answer_tolerance = 200ms;
/// Rounding of tokens in a floating-point bucket.
constexpr double token_tolerance = 1;

token_count charged_tokens(trace_request const& request)
{
    return request.model.empty() ? 1 : request.prompt_tokens + request.output_tokens;
}

} // namespace

invariants::invariants(fleet& watched, fleet_config const& config)
    : watched_(watched), config_(config)
{
}

void invariants::violate(std::string text)
{
    constexpr std::size_t enough = 20;
    if (violations_.size() < enough)
        violations_.push_back(std::move(text));
}

void invariants::note_withdrawal(operation_id const& submission,
                                 organisation_id const& organisation)
{
    withdrawals_[submission] = {organisation, std::nullopt, std::nullopt};
}

void invariants::observe()
{
    for (std::size_t index = 0; index < watched_.size(); ++index)
    {
        if (!watched_.alive(index))
            continue;
        auto& highest = highest_seen_[{index, watched_.incarnation(index)}];
        auto const current = watched_.config_in_force(index);
        if (current < highest)
            violate("configuration went back at instance " + std::to_string(index) +
                    " from " + std::to_string(highest) + " to " +
                    std::to_string(current));
        highest = std::max(highest, current);
    }
    for (auto& [operation, known] : withdrawals_)
    {
        auto const answer = watched_.submissions().find(operation);
        if (answer == watched_.submissions().end())
            continue;
        if (answer->second.version > 0 && !known.committed)
            known.committed = watched_.queue().now();
        if (answer->second.accepted && !known.accepted)
            known.accepted = watched_.queue().now();
    }
}

std::vector<std::string> invariants::check()
{
    check_engines();
    check_callers();
    check_rates();
    check_withdrawals();
    check_convergence();
    return violations_;
}

void invariants::check_engines()
{
    for (auto const& engine : watched_.engines())
    {
        auto const& record = engine->record();
        auto const& id = engine->chosen().id.str();
        if (record.most_used > engine->chosen().capacity)
            violate("memory of " + id +
                    " overcommitted: " + std::to_string(record.most_used) + " of " +
                    std::to_string(engine->chosen().capacity) + " bytes");
        if (record.undecided_loads > 0)
            violate(std::to_string(record.undecided_loads) + " loads at " + id +
                    " without a durable decision");
    }
}

std::vector<time_point> invariants::executions_of(std::string const& reference) const
{
    std::vector<time_point> all;
    for (auto const& engine : watched_.engines())
    {
        auto const& times = engine->record().executions_by_reference;
        if (auto const found = times.find(reference); found != times.end())
            all.insert(all.end(), found->second.begin(), found->second.end());
    }
    return all;
}

/// A repeat with the same key may run after the first request was truly refused as
/// not-run, so only executions that began before the refusal contradict it.
bool invariants::ran_before_refusal(caller_record const& record) const
{
    if (record.executions > 0)
        return true;
    auto const times = executions_of(record.request.once_key);
    return std::any_of(times.begin(), times.end(),
                       [&](time_point began) { return began <= record.answered; });
}

void invariants::check_callers()
{
    for (auto const& [id, record] : watched_.callers())
        check_caller(record);
}

void invariants::check_caller(caller_record const& record)
{
    std::string const name = "request " + record.request.id;
    if (record.answers > 1)
        violate(name + " got " + std::to_string(record.answers) + " answers");
    if (record.answer == answer_kind::none)
        violate(name + " got no answer");
    auto const latest = std::max(
        record.arrived + record.request.deadline + answer_tolerance, excused_until_);
    if (record.answer == answer_kind::refused && record.answered > latest)
        violate(name + " was refused after its deadline");
    auto const executions = record.request.once_key.empty()
                                ? record.executions
                                : executions_of(record.request.once_key).size();
    if (!record.request.once_key.empty() && executions > 1)
        violate(name + " ran " + std::to_string(executions) + " times with key " +
                record.request.once_key);
    if (record.reason && record.reason->ran == execution::not_run &&
        ran_before_refusal(record))
        violate(name + " ran but was refused as not-run: " +
                std::string(name_of(record.reason->code)));
    if (record.answer == answer_kind::served && executions == 0)
        violate(name + " was served but ran nowhere");
}

void invariants::check_rates()
{
    std::vector<caller_record const*> records;
    for (auto const& [id, record] : watched_.callers())
    {
        if (record.executions > 0)
            records.push_back(&record);
    }
    std::sort(records.begin(), records.end(),
              [](auto const* left, auto const* right)
              { return left->arrived < right->arrived; });
    for (auto const& [id, organisation] : config_.organisations)
    {
        token_bucket ideal(organisation.rate, static_cast<double>(organisation.burst));
        double over = 0;
        for (auto const* const record : records)
        {
            if (record->request.organisation == id)
                over = std::max(over, ideal.charge(record->arrived,
                                                   static_cast<double>(
                                                       charged_tokens(record->request))));
        }
        if (over > token_tolerance)
            violate("organisation " + id.str() + " got " + std::to_string(over) +
                    " tokens over its rate and burst");
    }
}

void invariants::check_withdrawals()
{
    for (auto const& [operation, known] : withdrawals_)
    {
        for (auto const& [id, record] : watched_.callers())
        {
            if (record.request.organisation != known.organisation ||
                record.executions == 0)
                continue;
            if (known.accepted && record.arrived > *known.accepted)
                violate("request " + id.str() +
                        " ran with a key whose withdrawal was accepted before");
            if (known.committed && record.arrived > *known.committed + withdrawal_limit)
                violate("request " + id.str() +
                        " ran with a key withdrawn more than 17 s before");
        }
    }
}

void invariants::check_convergence()
{
    config_version highest = 0;
    for (std::size_t index = 0; index < watched_.size(); ++index)
        highest = std::max(highest, watched_.config_in_force(index));
    for (std::size_t index = 0; index < watched_.size(); ++index)
    {
        if (watched_.alive(index) && watched_.config_in_force(index) != highest)
            violate("instance " + std::to_string(index) + " stays at configuration " +
                    std::to_string(watched_.config_in_force(index)) + " of " +
                    std::to_string(highest));
    }
}

} // namespace carawayturn::bench
