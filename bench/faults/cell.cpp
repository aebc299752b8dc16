#include "faults/cell.hpp"

#include "faults/fault.hpp"
#include "faults/invariants.hpp"
#include "faults/step.hpp"
#include "fleet/core_driver.hpp"
#include "fleet/fleet.hpp"
#include "state/hash.hpp"

#include <algorithm>
#include <cstdio>
#include <random>

namespace carawayturn::bench
{

namespace
{

using namespace std::chrono_literals;

/// The workload lasts this long; faults strike during it.
constexpr duration workload_length = 40s;
/// Time for the fleet to repair itself before the probes.
constexpr duration settle_time = 45s;

deployment small_deployment()
{
    deployment shape;
    shape.instances = 5;
    shape.failure_domains = 3;
    shape.runners = 3;
    shape.plain_servers = 2;
    shape.models = 8;
    shape.adapters = 4;
    shape.runner_capacity = 40'000'000'000;
    return shape;
}

fleet_config small_config(deployment const& shape)
{
    auto config = make_config(shape);
    config.instance_slots = 6;
    for (auto& [id, organisation] : config.organisations)
    {
        organisation.rate = 400;
        organisation.burst = 4000;
    }
    return config;
}

/// Chats over more models than fit, bookings of which some are sent twice, and bursts of
/// one organisation beyond its rate.
std::vector<trace_request> small_trace(fleet_config const& config, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<trace_request> trace;
    auto const organisation = [&](std::size_t index)
    {
        return std::next(config.organisations.begin(), static_cast<std::ptrdiff_t>(index))
            ->first;
    };
    auto const add = [&](duration at, std::size_t owner)
    {
        trace_request request;
        request.at = at;
        request.id = "r" + std::to_string(trace.size());
        request.organisation = organisation(owner);
        request.deadline = 20s;
        return request;
    };
    for (duration at = 100ms; at < workload_length; at += 400ms)
    {
        auto chat = add(at, random() % 4);
        chat.path = "/v1/chat/completions";
        auto const pick = random() % 10;
        chat.model = pick < 8 ? "model-" + std::to_string(pick)
                              : "adapter-" + std::to_string(random() % 4);
        chat.prompt_tokens = 50;
        chat.output_tokens = 20 + static_cast<token_count>(random() % 60);
        chat.max_tokens = 100;
        trace.push_back(chat);
    }
    for (duration at = 300ms; at < workload_length; at += 900ms)
    {
        auto booking = add(at, random() % 4);
        booking.path = "/bookings";
        booking.once_key = "booking-" + std::to_string(trace.size());
        booking.deadline = 8s;
        trace.push_back(booking);
        if (random() % 2 == 0)
        {
            auto again = booking;
            again.id = "r" + std::to_string(trace.size());
            again.at += std::chrono::milliseconds(random() % 1500);
            trace.push_back(again);
        }
    }
    for (int burst = 0; burst < 60; ++burst)
    {
        auto chat = add(15s + std::chrono::milliseconds(burst * 20), 1);
        chat.path = "/v1/chat/completions";
        chat.model = "model-1";
        chat.prompt_tokens = 50;
        chat.output_tokens = 80;
        chat.max_tokens = 100;
        trace.push_back(chat);
    }
    return trace;
}

/// Applies the cell's faults when their steps come up.
class striker
{
public:
    striker(fleet& target, invariants& watch, cell const& chosen)
        : target_(target), watch_(watch), strikes_(chosen.strikes),
          seen_(strikes_.size(), 0)
    {
    }

    void before(std::size_t instance, action const& done) { look(instance, done, false); }
    void after(std::size_t instance, action const& done) { look(instance, done, true); }
    [[nodiscard]] std::size_t struck() const { return struck_; }

private:
    void look(std::size_t instance, action const& done, bool after)
    {
        for (std::size_t index = 0; index < strikes_.size(); ++index)
        {
            auto const& step = protocol_steps()[strikes_[index].first];
            auto const& kind = fault_kinds()[strikes_[index].second];
            if (kind.after_action != after || !step.matches(done))
                continue;
            if (++seen_[index] == step.occurrence)
                strike(kind, instance);
        }
    }

    void strike(fault_kind const& kind, std::size_t instance)
    {
        ++struck_;
        watch_.excuse_until(target_.queue().now() + fault_length);
        kind.strike(target_, instance);
        target_.queue().after(fault_length, [this, heal = kind.heal, instance]
                              { heal(target_, instance); });
    }

    fleet& target_;
    invariants& watch_;
    std::vector<std::pair<std::size_t, std::size_t>> strikes_;
    std::vector<std::uint32_t> seen_;
    std::size_t struck_ = 0;
};

void observe_regularly(fleet& target, invariants& watch)
{
    watch.observe();
    target.queue().after(50ms, [&] { observe_regularly(target, watch); });
}

void schedule_operators(fleet& target, invariants& watch, fleet_config const& config)
{
    auto const victim = std::next(config.organisations.begin(), 3)->first;
    auto const key = sha256(key_of(victim));
    // Two operators race; then a key is withdrawn while its organisation goes on calling.
    auto const race = [&target](std::string const& name, std::size_t through)
    {
        adapter_config adapter{adapter_id(name), model_id("model-2"), 1'000'000};
        target.submit(put_adapter{adapter}, "race-" + name, through);
    };
    target.queue().after(12s, [=] { race("first", 1); });
    target.queue().after(12s, [=] { race("second", 2); });
    operation_id const withdrawal("withdrawal");
    watch.note_withdrawal(withdrawal, victim);
    target.queue().after(
        20s,
        [=, &target] {
            target.submit(withdraw_key{victim, key}, withdrawal.str(), 3);
        });
}

/// After repair every organisation with a key is served again.
void send_probes(fleet& target, fleet_config const& config)
{
    for (int index = 0; index < 6; ++index)
    {
        trace_request probe;
        probe.id = "probe-" + std::to_string(index);
        probe.organisation = config.organisations.begin()->first;
        probe.path = index % 2 == 0 ? "/v1/chat/completions" : "/status";
        probe.model = index % 2 == 0 ? "model-1" : "";
        probe.prompt_tokens = index % 2 == 0 ? 10 : 0;
        probe.output_tokens = 10;
        probe.max_tokens = index % 2 == 0 ? 20 : 0;
        probe.deadline = 25s;
        target.send(probe);
        target.run_for(500ms);
    }
}

void check_probes(fleet const& target, std::vector<std::string>& violations)
{
    for (auto const& [id, record] : target.callers())
    {
        if (!id.str().starts_with("probe-") || record.answer == answer_kind::served)
            continue;
        violations.push_back(
            id.str() + " was not served after the fault had passed: " +
            (record.reason ? std::string(name_of(record.reason->code)) : "no answer"));
    }
}

} // namespace

cell_result run_cell(cell const& chosen, bool verbose)
{
    auto const shape = small_deployment();
    auto const config = small_config(shape);
    fleet_settings settings;
    settings.shape = shape;
    settings.seed = chosen.seed;
    settings.engines_check_fence = chosen.engines_check_fence;
    fleet running(settings, core_drivers());
    cell_result outcome;
    if (verbose)
        running.on_log = [&](instance_id const& id, log_record const& entry)
        {
            std::fprintf(
                stderr, "%.3f %s %u %s %s\n",
                std::chrono::duration<double>(running.queue().now().time_since_epoch())
                    .count(),
                id.str().c_str(), static_cast<unsigned>(entry.number),
                entry.subject.c_str(), entry.detail.c_str());
        };
    if (!running.start(config))
    {
        outcome.violations.emplace_back("the fleet did not become ready");
        return outcome;
    }
    invariants watch(running, config);
    striker strikes(running, watch, chosen);
    running.on_action = [&](std::size_t at, action const& done)
    { strikes.before(at, done); };
    running.after_action = [&](std::size_t at, action const& done)
    { strikes.after(at, done); };
    observe_regularly(running, watch);
    schedule_operators(running, watch, config);
    running.replay(small_trace(config, chosen.seed));
    running.run_for(workload_length + settle_time);
    send_probes(running, config);
    running.run_for(30s);
    outcome.struck = strikes.struck();
    outcome.violations = watch.check();
    check_probes(running, outcome.violations);
    if (verbose && !outcome.violations.empty())
        for (std::size_t index = 0; index < running.size(); ++index)
            std::fprintf(stderr, "%s\n", running.dump(index).c_str());
    return outcome;
}

std::string name_of(cell const& chosen)
{
    std::string text;
    for (auto const& [step, kind] : chosen.strikes)
    {
        text += text.empty() ? "" : "+";
        text += std::string(protocol_steps()[step].name) + ":" +
                std::string(fault_kinds()[kind].name);
    }
    return text + (chosen.engines_check_fence ? "/fence/" : "/nofence/") +
           std::to_string(chosen.seed);
}

namespace
{

template <class Entries>
bool find_named(Entries const& entries, std::string_view name, std::size_t& index)
{
    auto const found =
        std::find_if(entries.begin(), entries.end(),
                     [&](auto const& entry) { return entry.name == name; });
    index = static_cast<std::size_t>(found - entries.begin());
    return found != entries.end();
}

} // namespace

bool parse_cell(std::string const& text, cell& chosen)
{
    auto const slash = text.find('/');
    auto const second = text.find('/', slash + 1);
    if (slash == std::string::npos || second == std::string::npos)
        return false;
    chosen.engines_check_fence = text.substr(slash + 1, second - slash - 1) == "fence";
    chosen.seed = std::strtoull(text.c_str() + second + 1, nullptr, 10);
    std::string rest = text.substr(0, slash);
    while (!rest.empty())
    {
        auto const plus = rest.find('+');
        std::string const part = rest.substr(0, plus);
        rest = plus == std::string::npos ? "" : rest.substr(plus + 1);
        auto const colon = part.find(':');
        std::size_t step = 0;
        std::size_t kind = 0;
        if (colon == std::string::npos ||
            !find_named(protocol_steps(), std::string_view(part).substr(0, colon),
                        step) ||
            !find_named(fault_kinds(), std::string_view(part).substr(colon + 1), kind))
            return false;
        chosen.strikes.emplace_back(step, kind);
    }
    return !chosen.strikes.empty();
}

} // namespace carawayturn::bench
