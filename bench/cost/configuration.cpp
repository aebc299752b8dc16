#include "cost/configuration.hpp"

#include "coordination/instance_core.hpp"
#include "cost/fleet_costs.hpp"
#include "cost/slope.hpp"
#include "fleet/fake_table.hpp"
#include "protocol/peer_codec.hpp"
#include "state/config_text.hpp"

#include <malloc.h>
#include <memory>
#include <string>

namespace carawayturn::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr int ticks_per_second = 40;
constexpr int changes_measured = 5;
constexpr std::string_view cluster_secret = "secret of the cost bench";

/// One core with a table service that answers at once.
class lone_instance
{
public:
    lone_instance()
    {
        core_settings settings;
        settings.identity = {
            instance_id("entry-0"), 1, {"127.0.0.1", 7000}, failure_domain_id("fd-0"), 1};
        core_ = std::make_unique<instance_core>(std::move(settings));
    }

    void feed(event const& input)
    {
        for (auto const& done : core_->handle(now_, input))
        {
            if (auto const* const commit = std::get_if<store_commit>(&done))
                feed(table_answered{commit->commit.operation,
                                    table_.commit(commit->commit)});
            else if (auto const* const read = std::get_if<store_read>(&done))
                feed(table_answered{read->read.operation, table_.read(read->read)});
        }
    }
    void run(int seconds)
    {
        for (int step = 0; step < seconds * ticks_per_second; ++step)
        {
            now_ += tick_interval;
            feed(tick{});
        }
    }
    void submit(config_change const& change, std::string const& operation)
    {
        feed(change_submitted{operation_id(operation), change, std::nullopt});
    }
    [[nodiscard]] instance_core const& core() const { return *core_; }

    /// Destroys the core and returns the heap memory that it held.
    [[nodiscard]] double release()
    {
        auto const before = mallinfo2().uordblks;
        core_.reset();
        return static_cast<double>(before - mallinfo2().uordblks);
    }

private:
    time_point now_{1h};
    fake_table table_;
    std::unique_ptr<instance_core> core_;
};

put_adapter change_number(int number)
{
    return {{adapter_id("new-" + std::to_string(number)), model_id("model-0"), 1000}};
}

/// Mean processor time of one committed change, the commit's printing included.
double change_time(lone_instance& lone)
{
    double const start = cpu_microseconds();
    for (int number = 0; number < changes_measured; ++number)
        lone.submit(change_number(number), "change-" + std::to_string(number));
    return (cpu_microseconds() - start) / changes_measured;
}

void print_sizes(std::string const& at, fleet_config const& config)
{
    config_reply whole;
    whole.whole_copy.push_back(config);
    config_reply one;
    one.changes.emplace_back(change_number(0));
    auto const sender = instance_id("entry-0");
    auto const size_of = [&](config_reply const& reply)
    { return static_cast<double>(encode_peer(cluster_secret, sender, reply).size()); };
    print(at + ".whole_copy_peer", size_of(whole), "B");
    print(at + ".one_change_peer", size_of(one), "B");
    print(at + ".whole_copy_row", static_cast<double>(print_config(config).size()), "B");
}

} // namespace

void measure_configuration(std::vector<std::uint32_t> const& adapters)
{
    std::vector<double> sizes;
    std::vector<double> memory;
    std::vector<double> change;
    std::vector<double> copies;
    std::vector<double> ticks;
    for (auto const size : adapters)
    {
        auto const at = "configuration." + std::to_string(size);
        fleet_load load;
        load.instances = 1;
        load.adapters = size;
        lone_instance lone;
        lone.run(2);
        lone.submit(replace_config{cost_config(load)}, "first");
        lone.run(10);
        double const start = cpu_microseconds();
        lone.run(10);
        ticks.push_back((cpu_microseconds() - start) / 10);
        print(at + ".idle_cpu", ticks.back(), "us/s");
        print(at + ".version", static_cast<double>(lone.core().config().version), "");
        change.push_back(change_time(lone));
        print(at + ".change_cpu", change.back(), "us");
        print(at + ".versions_after", static_cast<double>(lone.core().config().version),
              "");
        print_sizes(at, lone.core().config());
        {
            auto const before = mallinfo2().uordblks;
            auto const copy = lone.core().config();
            copies.push_back(static_cast<double>(mallinfo2().uordblks - before));
        }
        print(at + ".one_copy_memory", copies.back(), "B");
        memory.push_back(lone.release());
        print(at + ".core_memory", memory.back(), "B");
        sizes.push_back(size);
    }
    print_slope("configuration.core_memory", sizes, memory, "B");
    print_slope("configuration.one_copy_memory", sizes, copies, "B");
    print_slope("configuration.change_cpu", sizes, change, "us");
    print_slope("configuration.idle_cpu", sizes, ticks, "us/s");
}

} // namespace carawayturn::bench
