#include "coordination/flow/flow_engine.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>

namespace carawayturn::flow
{

namespace
{

/// How long a request for a model without replicas waits for the owner's first estimate.
/// A new owner needs the former one's lease to run out first.
constexpr duration estimate_patience = std::chrono::seconds(10);
/// The same without the table service, which every load needs.
constexpr duration estimate_patience_without_store = std::chrono::seconds(1);

bool holds(std::vector<replica> const& replicas, backend_id const& backend)
{
    return std::any_of(replicas.begin(), replicas.end(),
                       [&](auto const& entry) { return entry.backend == backend; });
}

} // namespace

void flow_engine::serve_waiting(time_point now, actions& out)
{
    for (auto const& goal : line_.targets())
        serve_target(now, goal, out);
}

void flow_engine::serve_target(time_point now, target const& goal, actions& out)
{
    auto const normal = candidates(goal, false);
    if (normal.empty())
        return;
    auto const quarantine = candidates(goal, true);
    for (auto const& waiting : line_.ordered(goal))
    {
        auto* const entry = find(waiting.request);
        if (entry == nullptr)
            continue;
        bool const suspect =
            parts_.poison.classify(entry->signature) == suspicion::suspect;
        auto const chosen = chooser_.choose(suspect ? quarantine : normal, entry->tried,
                                            entry->request.prefix_hash, suspect);
        if (chosen)
            dispatch(now, *entry, *chosen, suspect, out);
        else if (!suspect)
            return;
    }
}

double flow_engine::weight_of(organisation_id const& organisation) const
{
    auto const& organisations = parts_.config.current().organisations;
    auto const found = organisations.find(organisation);
    return found == organisations.end() ? 1.0 : found->second.rate;
}

std::vector<backend_status> flow_engine::candidates(target const& goal,
                                                    bool suspect) const
{
    auto usable = parts_.backends.usable(goal.pool);
    if (!goal.is_plain())
    {
        auto const replicas = parts_.placement.replicas(goal.model, goal.adapter);
        std::erase_if(usable,
                      [&](auto const& status) { return !holds(replicas, status.id); });
    }
    if (!suspect || usable.size() <= limits_.quarantine_backends)
        return usable;
    // All instances rank the servers alike, so that suspects of all of them meet on few
    // servers.
    std::sort(usable.begin(), usable.end(),
              [](auto const& left, auto const& right)
              { return stable_hash(left.id.str()) < stable_hash(right.id.str()); });
    usable.resize(limits_.quarantine_backends);
    return usable;
}

void flow_engine::dispatch(time_point now, open_request& entry, backend_id const& backend,
                           bool alone, actions& out)
{
    leave_line(entry);
    entry.phase = request_phase::dispatched;
    ++entry.attempt;
    entry.backend = backend;
    entry.first_byte_left = false;
    entry.attempt_may_have_run = true;
    entry.runs_alone = alone;
    entry.crash_counted = false;
    entry.tried.insert(backend);
    chooser_.note_dispatch(now, backend, entry.request.prefix_hash, alone);
    line_.charge(entry.organisation, entry.tokens, weight_of(entry.organisation));
    note(entry, now, "attempt " + std::to_string(entry.attempt) + " at " + backend.str());
    out.push_back(dispatch_request{entry.request.id, entry.attempt, backend, entry.offset,
                                   entry.priority, entry.at_most_once});
}

void flow_engine::refuse_hopeless(time_point now, actions& out)
{
    for (auto const& goal : line_.targets())
    {
        std::uint32_t place = 0;
        for (auto const& waiting : line_.ordered(goal))
        {
            ++place;
            auto reason = hopeless(now, goal, waiting, place);
            auto* const entry = find(waiting.request);
            if (reason && entry != nullptr)
                refuse(now, *entry, std::move(*reason), out);
        }
    }
}

std::optional<refusal> flow_engine::hopeless(time_point now, target const& goal,
                                             waiting_entry const& entry,
                                             std::uint32_t place) const
{
    if (!candidates(goal, false).empty())
        return std::nullopt;
    refusal reason;
    reason.place = place;
    auto const estimate = goal.is_plain()
                              ? std::nullopt
                              : parts_.placement.estimate(now, goal.model, goal.adapter);
    if (estimate)
    {
        if (now + estimate->wait <= entry.deadline)
            return std::nullopt;
        reason.code = refusal_code::deadline_unreachable;
        reason.message = "the model will not be loaded before the deadline";
        reason.expected_wait = estimate->wait;
        reason.retry_after = estimate->wait;
        return reason;
    }
    auto const patience = goal.is_plain() || parts_.authority.has_store_contact(now)
                              ? estimate_patience
                              : estimate_patience_without_store;
    if (now - entry.since < patience)
        return std::nullopt;
    reason.code = refusal_code::backend_unavailable;
    reason.message = "no backend server can serve this request now";
    reason.retry_after = estimate_patience;
    return reason;
}

} // namespace carawayturn::flow
