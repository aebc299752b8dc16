// Stand-in for a plain service's backend server; see docs/design.md, section 7.

#include "fault_control.hpp"
#include "http_service.hpp"
#include "json_fields.hpp"
#include "lagged.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <map>
#include <mutex>
#include <thread>

ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(std::int64_t, work_ms, 5, "time that a request takes, milliseconds");
ABSL_FLAG(std::int64_t, report_lag_ms, 200, "age of the report, milliseconds");

namespace carawayturn::standins
{

namespace
{

std::uint64_t first_incarnation()
{
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

struct plain_load
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t running = 0;
};

class plain_service
{
public:
    plain_service(fault_control const& faults, http_service& service)
        : faults_(faults), service_(service),
          load_({first_incarnation(), 1, 0},
                std::chrono::milliseconds(absl::GetFlag(FLAGS_report_lag_ms)))
    {
    }

    void handle(exchange& current)
    {
        auto const& request = current.request();
        if (request.path == "/v1/report")
            return report(current);
        if (request.path == "/v1/executions" || request.path == "/v1/log")
            return answer_log(current);
        // A request that a crash overtook, for example in a delay, died with the process.
        if (current.aborted())
            return;
        execute(current);
    }

private:
    void execute(exchange& current)
    {
        auto const& request = current.request();
        auto const fields = parse_object(request.body);
        auto const reference = fields ? text_field(*fields, "reference") : std::string();
        begin(request, reference);
        if (faults_.crashes(request.body))
            return crash();
        std::this_thread::sleep_for(
            std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms)));
        change_running(-1);
        answer_json(current, 200,
                    {{"path", request.path},
                     {"request", request.header("x-request-id")},
                     {"reference", reference}});
    }

    void begin(http_request const& request, std::string const& reference)
    {
        change_running(1);
        std::lock_guard const lock(mutex_);
        ++by_request_[request.header("x-request-id")];
        if (!reference.empty())
            ++by_reference_[reference];
        if (request.headers.contains("authorization"))
            ++authorization_headers_;
    }

    void change_running(int by)
    {
        std::lock_guard const lock(mutex_);
        plain_load changed = load_.current();
        ++changed.sequence;
        if (by > 0 || changed.running > 0)
            changed.running += static_cast<std::uint64_t>(by);
        load_.record(changed);
    }

    void crash()
    {
        {
            std::lock_guard const lock(mutex_);
            ++crashes_;
            load_.record({load_.current().incarnation + 1, 1, 0});
        }
        service_.abort_connections();
    }

    void report(exchange& current)
    {
        std::unique_lock lock(mutex_);
        plain_load const shown = load_.shown();
        lock.unlock();
        answer_json(
            current, 200,
            {{"incarnation", shown.incarnation},
             {"sequence", shown.sequence},
             {"capacity_bytes", 0},
             {"used_bytes", 0},
             {"running", shown.running},
             {"waiting", 0},
             {"role", ""},
             {"checks_fence", false},
             {"loaded", boost::json::array()},
             {"cached",
              {{"memory", boost::json::array()}, {"disk", boost::json::array()}}}});
    }

    void answer_log(exchange& current)
    {
        std::unique_lock lock(mutex_);
        boost::json::object const log{{"by_request", print_counts(by_request_)},
                                      {"by_reference", print_counts(by_reference_)},
                                      {"authorization_headers", authorization_headers_},
                                      {"connections", service_.accepted()},
                                      {"crashes", crashes_}};
        lock.unlock();
        answer_json(current, 200, log);
    }

    fault_control const& faults_;
    http_service& service_;
    std::mutex mutex_;
    lagged<plain_load> load_;
    std::map<std::string, std::uint64_t> by_request_;
    std::map<std::string, std::uint64_t> by_reference_;
    std::uint64_t authorization_headers_ = 0;
    std::uint64_t crashes_ = 0;
};

} // namespace

} // namespace carawayturn::standins

int main(int argc, char** argv)
{
    using namespace carawayturn::standins;
    absl::ParseCommandLine(argc, argv);
    fault_control faults;
    http_service service;
    plain_service plain(faults, service);
    service.listen(absl::GetFlag(FLAGS_port));
    service.run(
        [&](exchange& current)
        {
            if (faults.admit(current))
                plain.handle(current);
        });
}
