// Stand-in for the platform's rate-limited weight store; see docs/design.md, section 7.

#include "fault_control.hpp"
#include "http_service.hpp"
#include "json_fields.hpp"
#include "start_pacer.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>

ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(double, model_starts_per_second, 4, "checkpoint fetches started a second");
ABSL_FLAG(std::int64_t, model_slots, 4, "checkpoint fetches at once at full speed");
ABSL_FLAG(std::int64_t, model_ms, 1000, "checkpoint fetch at full speed, milliseconds");
ABSL_FLAG(double, model_ms_per_gib, 0, "milliseconds added for each GiB of checkpoint");
ABSL_FLAG(std::int64_t, adapter_slots, 32, "adapter fetches at once at full speed");
ABSL_FLAG(std::int64_t, adapter_min_ms, 10, "shortest adapter fetch, milliseconds");
ABSL_FLAG(std::int64_t, adapter_max_ms, 30, "longest adapter fetch, milliseconds");

namespace carawayturn::standins
{

namespace
{

using milliseconds = std::chrono::duration<double, std::milli>;
using clock = std::chrono::steady_clock;

constexpr double bytes_per_gib = 1024.0 * 1024.0 * 1024.0;

/// Fetches of one kind. Up to `slots` run at full speed; more share that speed equally.
class fetch_lane
{
public:
    explicit fetch_lane(std::int64_t slots) : slots_(std::max<std::int64_t>(slots, 1)) {}

    /// Takes the given time at full speed. Returns false if the caller closed before.
    bool fetch(exchange const& current, milliseconds full_speed)
    {
        enter();
        milliseconds remaining = full_speed;
        auto before = clock::now();
        bool closed = false;
        while (remaining.count() > 0 && !closed)
        {
            double const speed = current_speed();
            std::this_thread::sleep_for(std::min(step, remaining / speed));
            auto const now = clock::now();
            remaining -= (now - before) * speed;
            before = now;
            closed = current.peer_closed();
        }
        leave(closed);
        return !closed;
    }

    [[nodiscard]] boost::json::object print()
    {
        std::lock_guard const lock(mutex_);
        return {{"started", started_},
                {"finished", finished_},
                {"abandoned", abandoned_},
                {"in_flight", in_flight_},
                {"highest_in_flight", highest_}};
    }

private:
    // How often the speed is adapted to the number of fetches in flight.
    static constexpr milliseconds step{5};

    [[nodiscard]] double current_speed()
    {
        std::lock_guard const lock(mutex_);
        return std::min(1.0,
                        static_cast<double>(slots_) / static_cast<double>(in_flight_));
    }

    void enter()
    {
        std::lock_guard const lock(mutex_);
        ++started_;
        highest_ = std::max(highest_, ++in_flight_);
    }

    void leave(bool abandoned)
    {
        std::lock_guard const lock(mutex_);
        --in_flight_;
        ++(abandoned ? abandoned_ : finished_);
    }

    std::int64_t slots_;
    std::mutex mutex_;
    std::int64_t in_flight_ = 0;
    std::int64_t highest_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    std::uint64_t abandoned_ = 0;
};

class weight_store
{
public:
    void handle(exchange& current)
    {
        if (current.request().path == "/v1/log")
            return answer_json(
                current, 200,
                {{"models", models_.print()}, {"adapters", adapters_.print()}});
        auto const fields = parse_object(current.request().body);
        if (current.request().path != "/v1/fetch" || !fields)
            return answer_bad_request(current, "use POST /v1/fetch with a JSON object");
        auto const begun = clock::now();
        bool const whole = text_field(*fields, "kind", "model") == "adapter"
                               ? fetch_adapter(current, text_field(*fields, "name"))
                               : fetch_model(current, number_field(*fields, "bytes"));
        if (!whole)
            return current.abort();
        auto const taken =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begun);
        answer_json(current, 200,
                    {{"name", text_field(*fields, "name")}, {"taken_ms", taken.count()}});
    }

private:
    bool fetch_model(exchange& current, std::int64_t bytes)
    {
        starts_.wait();
        double const size_part = absl::GetFlag(FLAGS_model_ms_per_gib) *
                                 static_cast<double>(bytes) / bytes_per_gib;
        return models_.fetch(
            current,
            milliseconds(static_cast<double>(absl::GetFlag(FLAGS_model_ms)) + size_part));
    }

    // The time depends on the name only, so that runs repeat.
    bool fetch_adapter(exchange& current, std::string const& name)
    {
        auto const shortest = absl::GetFlag(FLAGS_adapter_min_ms);
        auto const spread = absl::GetFlag(FLAGS_adapter_max_ms) - shortest + 1;
        auto const part = std::hash<std::string>{}(name) %
                          static_cast<std::size_t>(std::max<std::int64_t>(spread, 1));
        return adapters_.fetch(current, milliseconds(static_cast<double>(shortest) +
                                                     static_cast<double>(part)));
    }

    start_pacer starts_{absl::GetFlag(FLAGS_model_starts_per_second)};
    fetch_lane models_{absl::GetFlag(FLAGS_model_slots)};
    fetch_lane adapters_{absl::GetFlag(FLAGS_adapter_slots)};
};

} // namespace

} // namespace carawayturn::standins

int main(int argc, char** argv)
{
    using namespace carawayturn::standins;
    absl::ParseCommandLine(argc, argv);
    fault_control faults;
    weight_store store;
    http_service service;
    service.listen(absl::GetFlag(FLAGS_port));
    service.run(
        [&](exchange& current)
        {
            if (faults.admit(current))
                store.handle(current);
        });
}
