#include "cost/fleet_costs.hpp"

#include "cost/slope.hpp"
#include "fleet/core_driver.hpp"
#include "protocol/peer_codec.hpp"
#include "state/hash.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace carawayturn::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr duration settle_time = 3s;
constexpr duration measured_time = 4s;
constexpr duration outage_time = 15s;
constexpr duration outage_step = 250ms;
constexpr double served_share = 0.95;
/// A request needs 132 tokens; the share of one of 16 slots is 125.
constexpr token_count scarce_burst = 2000;
constexpr std::string_view cluster_secret = "secret of the cost bench";
constexpr std::array<char const*, std::variant_size_v<peer_message>> kind_names{
    "gossip",     "config_query", "config_reply", "demand_report", "placement_update",
    "lend_query", "lend_reply",   "budget_ask",   "budget_grant",  "poison_notice"};

/// Passes everything to the product's core and counts its processor time.
class timed_driver final : public instance_driver
{
public:
    timed_driver(std::unique_ptr<instance_driver> timed, double& used)
        : timed_(std::move(timed)), used_(used)
    {
    }
    actions handle(time_point now, event const& input) override
    {
        double const start = cpu_microseconds();
        auto done = timed_->handle(now, input);
        used_ += cpu_microseconds() - start;
        return done;
    }
    [[nodiscard]] bool may_send_order(time_point now,
                                      engine_order const& order) const override
    {
        return timed_->may_send_order(now, order);
    }
    [[nodiscard]] config_version config_in_force() const override
    {
        return timed_->config_in_force();
    }

private:
    std::unique_ptr<instance_driver> timed_;
    double& used_;
};

/// Counters of one fleet; the driver factory and the message hook point into it.
struct counters
{
    std::vector<double> cpu;
    std::vector<double> messages;
    std::vector<double> bytes;
    std::map<std::string, message_flow> kinds;
    /// The last readiness that each instance's core announced; it has no balancer lag.
    std::vector<bool> serving;
    bool counting = false;

    explicit counters(std::size_t instances)
        : cpu(instances), messages(instances), bytes(instances), serving(instances)
    {
    }
    void reset()
    {
        for (auto* const values : {&cpu, &messages, &bytes})
            std::fill(values->begin(), values->end(), 0.0);
        kinds.clear();
        counting = true;
    }
    void count(std::size_t instance, action const& done)
    {
        if (auto const* const changed = std::get_if<set_ready>(&done))
            serving[instance] = changed->ready;
        auto const* const sent = std::get_if<send_peer>(&done);
        if (!counting || sent == nullptr)
            return;
        auto const from = instance_id("entry-" + std::to_string(instance));
        auto const size =
            static_cast<double>(encode_peer(cluster_secret, from, sent->message).size());
        messages[instance] += 1;
        bytes[instance] += size;
        auto& flow = kinds[kind_names.at(sent->message.index())];
        flow.messages += 1;
        flow.bytes += size;
    }
};

/// A fleet whose instances are timed and whose messages are counted.
struct measured_fleet
{
    explicit measured_fleet(fleet_load const& load)
        : config(cost_config(load)), counted(load.instances),
          running(settings_of(load), factory())
    {
        running.on_action = [this](std::size_t instance, action const& done)
        { counted.count(instance, done); };
    }

    static fleet_settings settings_of(fleet_load const& load)
    {
        fleet_settings settings;
        settings.shape.instances = load.instances;
        settings.shape.runners = load.runners;
        settings.tick_every = tick_interval;
        return settings;
    }
    driver_factory factory()
    {
        return [this, make = core_drivers()](node_start const& start)
        {
            auto const number = std::strtoul(start.id.str().c_str() + 6, nullptr, 10);
            return std::make_unique<timed_driver>(make(start), counted.cpu.at(number));
        };
    }
    void start()
    {
        if (!running.start(config))
        {
            std::fputs("the fleet did not become ready within 60 s\n", stderr);
            std::exit(1);
        }
    }

    fleet_config config;
    counters counted;
    fleet running;
};

trace_request make_request(std::string const& prefix, std::uint32_t number, duration at,
                           std::string const& model, std::uint32_t organisations)
{
    trace_request request;
    request.at = at;
    request.id = prefix + std::to_string(number);
    request.organisation =
        organisation_id("organisation-" + std::to_string(number % organisations));
    request.path = "/v1/chat/completions";
    request.model = model;
    request.prompt_tokens = 100;
    request.output_tokens = 5;
    request.max_tokens = 32;
    request.deadline = 30s;
    return request;
}

std::vector<trace_request> make_load(fleet_load const& load)
{
    std::vector<trace_request> requests;
    std::chrono::duration<double> const length = settle_time + measured_time;
    auto const add = [&](double rate, bool waking)
    {
        auto const count = static_cast<std::uint32_t>(rate * length.count());
        for (std::uint32_t number = 0; number < count; ++number)
        {
            auto const at = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(number / rate));
            auto const model = waking ? "adapter-" + std::to_string(number)
                                      : "model-" + std::to_string(number % load.models);
            requests.push_back(
                make_request(waking ? "w" : "r", number, at, model, load.organisations));
        }
    };
    add(load.requests_per_second, false);
    add(load.wakings_per_second, true);
    return requests;
}

double mean(std::vector<double> const& values)
{
    double sum = 0;
    for (double const value : values)
        sum += value;
    return sum / static_cast<double>(values.size());
}

double serving_share(std::vector<bool> const& serving)
{
    return static_cast<double>(std::count(serving.begin(), serving.end(), true)) /
           static_cast<double>(serving.size());
}

double largest(std::vector<double> const& values)
{
    return *std::max_element(values.begin(), values.end());
}

} // namespace

fleet_config cost_config(fleet_load const& load)
{
    deployment shape;
    shape.models = load.models;
    shape.adapters = load.adapters;
    auto config = make_config(shape);
    config.instance_slots = load.instances;
    config.organisations.clear();
    for (std::uint32_t index = 0; index < load.organisations; ++index)
    {
        organisation_config organisation;
        organisation.id = organisation_id("organisation-" + std::to_string(index));
        organisation.rate = 1e6;
        organisation.burst = load.scarce_budgets ? scarce_burst : 10'000'000;
        organisation.models = {"*"};
        organisation.pools = {"*"};
        organisation.key_digests = {sha256(key_of(organisation.id))};
        config.organisations[organisation.id] = std::move(organisation);
    }
    return config;
}

fleet_cost measure_fleet(fleet_load const& load)
{
    measured_fleet measured(load);
    measured.start();
    measured.running.replay(make_load(load));
    measured.running.run_for(settle_time);
    auto const commits = measured.running.table().commits();
    auto const reads = measured.running.table().reads();
    measured.counted.reset();
    measured.running.run_for(measured_time);
    double const seconds = std::chrono::duration<double>(measured_time).count();
    auto const& counted = measured.counted;
    fleet_cost cost;
    cost.mean_cpu_us = mean(counted.cpu) / seconds;
    cost.max_cpu_us = largest(counted.cpu) / seconds;
    cost.mean_messages = mean(counted.messages) / seconds;
    cost.max_messages = largest(counted.messages) / seconds;
    cost.mean_bytes = mean(counted.bytes) / seconds;
    cost.max_bytes = largest(counted.bytes) / seconds;
    cost.commits =
        static_cast<double>(measured.running.table().commits() - commits) / seconds;
    cost.reads = static_cast<double>(measured.running.table().reads() - reads) / seconds;
    for (auto const& [kind, flow] : counted.kinds)
        cost.kinds[kind] = {flow.messages / seconds, flow.bytes / seconds};
    return cost;
}

outage_result measure_outage(std::uint32_t instances)
{
    fleet_load load;
    load.instances = instances;
    load.runners = 2;
    measured_fleet measured(load);
    measured.start();
    measured.running.run_for(settle_time);
    measured.running.table().down = true;
    outage_result result{1, std::chrono::duration<double>(outage_time).count(), 0};
    bool served = true;
    double missed = 0;
    for (duration passed = outage_step; passed <= outage_time; passed += outage_step)
    {
        measured.running.run_for(outage_step);
        double const share = serving_share(measured.counted.serving);
        missed += (1 - share) * std::chrono::duration<double>(outage_step).count();
        result.lowest_share = std::min(result.lowest_share, share);
        if (share >= served_share && !served)
            result.served_after_seconds = std::chrono::duration<double>(passed).count();
        served = share >= served_share;
    }
    result.gap_seconds = missed;
    if (result.lowest_share >= served_share)
        result.served_after_seconds = 0;
    return result;
}

void measure_spread(std::vector<std::uint32_t> const& adapters)
{
    for (auto const size : adapters)
    {
        fleet_load load;
        load.adapters = size;
        measured_fleet measured(load);
        measured.start();
        measured.running.run_for(settle_time);
        measured.counted.reset();
        auto const reads = measured.running.table().reads();
        auto const start = measured.running.queue().now();
        measured.running.submit(
            put_adapter{{adapter_id("adapter-new"), model_id("model-0"), 100'000'000}},
            "one-change");
        auto const& answers = measured.running.submissions();
        while (!answers.contains(operation_id("one-change")) &&
               measured.running.queue().now() - start < 30s)
            measured.running.run_for(10ms);
        std::chrono::duration<double> const taken =
            measured.running.queue().now() - start;
        auto const& answer = answers.at(operation_id("one-change"));
        auto& kinds = measured.counted.kinds;
        auto const at = "spread." + std::to_string(size);
        print(at + ".accepted", answer.accepted ? 1 : 0, "bool");
        print(at + ".time", taken.count(), "s");
        print(at + ".bytes", kinds["config_query"].bytes + kinds["config_reply"].bytes,
              "B/fleet");
        print(at + ".reads",
              static_cast<double>(measured.running.table().reads() - reads),
              "reads/fleet");
        print(at + ".cpu_mean", mean(measured.counted.cpu) / taken.count(), "us/s");
    }
}

} // namespace carawayturn::bench
