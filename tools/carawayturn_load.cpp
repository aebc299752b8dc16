// Sends a trace of requests to a list of instances; see docs/load-trace.md.

#include "load_client.hpp"
#include "load_summary.hpp"
#include "load_trace.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

ABSL_FLAG(std::string, trace, "", "file with the trace");
ABSL_FLAG(std::vector<std::string>, instances, {}, "address:port of each instance");
ABSL_FLAG(std::uint32_t, threads, 64, "requests in flight at most, 1 to 4096");
ABSL_FLAG(double, speed, 1.0, "factor by which the trace is played faster");
ABSL_FLAG(std::int64_t, timeout_ms, 120000, "time limit for one answer");
ABSL_FLAG(std::int64_t, ready_interval_ms, 200,
          "time between readiness checks; 0 sends to all instances without checks");
ABSL_FLAG(std::string, answers, "", "file for one JSON line per request");

ABSL_FLAG(bool, bodies, false, "write the bodies received to the answers file");

namespace carawayturn::load
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::uint32_t max_threads = 4096;

/// The instances and which of them take requests, as a load balancer would see it.
struct fleet
{
    std::vector<target> instances;
    std::vector<std::atomic<bool>> ready;
};

target read_target(std::string const& text)
{
    auto const colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) ||
        port == 0 || port > UINT16_MAX)
        throw std::runtime_error("--instances: \"" + text + "\" is not address:port");
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

/// Checks all instances until told to stop.
void keep_checking(fleet& checked, std::atomic<bool> const& stop)
{
    milliseconds const interval(absl::GetFlag(FLAGS_ready_interval_ms));
    std::vector<load_client> clients;
    for (auto const& instance : checked.instances)
        clients.emplace_back(instance, interval);
    while (!stop)
    {
        for (std::size_t index = 0; index < clients.size(); ++index)
            checked.ready[index] = clients[index].is_ready();
        std::this_thread::sleep_for(interval);
    }
}

/// One of the threads that send; it has a connection to every instance.
class sender
{
public:
    sender(fleet const& instances, clock::time_point start)
        : fleet_(instances), start_(start)
    {
        for (auto const& instance : fleet_.instances)
            clients_.emplace_back(instance,
                                  milliseconds(absl::GetFlag(FLAGS_timeout_ms)));
    }

    load_result send(traced_request const& request, std::size_t turn)
    {
        load_result result;
        result.request = &request;
        auto const due = start_ + std::chrono::duration_cast<clock::duration>(
                                      request.at / absl::GetFlag(FLAGS_speed));
        std::this_thread::sleep_until(due);
        auto const now = clock::now();
        result.started = std::chrono::duration_cast<milliseconds>(now - start_);
        result.late = std::chrono::duration_cast<milliseconds>(now - due);
        result.answer.code = "no_connection";
        // Ready instances come first; the others are tried only if none of those
        // connects.
        if (!try_instances(request, turn, true, result))
            try_instances(request, turn, false, result);
        return result;
    }

private:
    bool try_instances(traced_request const& request, std::size_t turn, bool ready,
                       load_result& result)
    {
        for (std::size_t step = 0; step < clients_.size(); ++step)
        {
            std::size_t const index = (turn + step) % clients_.size();
            if (fleet_.ready[index] != ready || !clients_[index].connect())
                continue;
            result.instance = std::to_string(fleet_.instances[index].port);
            result.answer = clients_[index].send(request);
            return true;
        }
        return false;
    }

    fleet const& fleet_;
    clock::time_point start_;
    std::vector<load_client> clients_;
};

std::vector<load_result> send_all(std::vector<traced_request> const& trace,
                                  fleet const& instances)
{
    std::vector<load_result> results(trace.size());
    std::atomic<std::size_t> next = 0;
    auto const start = clock::now();
    auto const work = [&]
    {
        sender own(instances, start);
        for (std::size_t turn = next++; turn < trace.size(); turn = next++)
            results[turn] = own.send(trace[turn], turn);
    };
    std::vector<std::jthread> threads;
    for (std::uint32_t count = 0; count < absl::GetFlag(FLAGS_threads); ++count)
        threads.emplace_back(work);
    threads.clear();
    return results;
}

void check_flags()
{
    auto const threads = absl::GetFlag(FLAGS_threads);
    if (threads == 0 || threads > max_threads)
        throw std::runtime_error("--threads: " + std::to_string(threads) +
                                 " is not from 1 to " + std::to_string(max_threads));
    if (!(absl::GetFlag(FLAGS_speed) > 0))
        throw std::runtime_error("--speed must be positive");
    if (absl::GetFlag(FLAGS_instances).empty())
        throw std::runtime_error("--instances must name at least one instance");
}

void run()
{
    check_flags();
    auto const trace = read_trace(absl::GetFlag(FLAGS_trace));
    fleet instances;
    for (auto const& text : absl::GetFlag(FLAGS_instances))
        instances.instances.push_back(read_target(text));
    instances.ready = std::vector<std::atomic<bool>>(instances.instances.size());
    for (auto& ready : instances.ready)
        ready = true;
    std::atomic<bool> stop = false;
    std::jthread checker;
    if (absl::GetFlag(FLAGS_ready_interval_ms) > 0)
        checker = std::jthread([&] { keep_checking(instances, stop); });
    auto const results = send_all(trace, instances);
    stop = true;
    print_summary(results, std::cout);
    if (absl::GetFlag(FLAGS_answers).empty())
        return;
    std::ofstream answers(absl::GetFlag(FLAGS_answers));
    print_answers(results, absl::GetFlag(FLAGS_bodies), answers);
    if (!answers.flush())
        throw std::runtime_error("cannot write \"" + absl::GetFlag(FLAGS_answers) + "\"");
}

} // namespace

} // namespace carawayturn::load

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    try
    {
        carawayturn::load::run();
        return 0;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "carawayturn_load: " << failure.what() << '\n';
        return 1;
    }
}
