// Stand-in for the platform's lagging instance list; see docs/design.md, section 7.

#include "fault_control.hpp"
#include "http_service.hpp"
#include "json_fields.hpp"
#include "lagged.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <map>
#include <mutex>

ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(std::int64_t, lag_ms, 0, "age of the list that is shown, milliseconds");

namespace carawayturn::standins
{

namespace
{

class instance_list
{
public:
    explicit instance_list(std::chrono::milliseconds lag) : instances_({}, lag) {}

    void handle(exchange& current)
    {
        auto const& path = current.request().path;
        if (path == "/v1/instances")
            return show(current);
        if (path == "/v1/register")
            return accept(current);
        if (path == "/v1/log")
            return answer_log(current);
        answer_json(current, 404, {{"error", "no such path"}});
    }

private:
    using listing = std::map<std::string, boost::json::object>;

    void show(exchange& current)
    {
        boost::json::array shown;
        {
            std::lock_guard const lock(mutex_);
            ++reads_;
            for (auto const& [id, instance] : instances_.shown())
                shown.push_back(instance);
        }
        answer_json(current, 200, {{"instances", shown}});
    }

    // The state "gone" removes an instance; any other one adds or replaces it.
    void accept(exchange& current)
    {
        auto const fields = parse_object(current.request().body);
        auto const id = fields ? text_field(*fields, "id") : std::string();
        if (id.empty())
            return answer_bad_request(current,
                                      "the body must be a JSON object with an id");
        {
            std::lock_guard const lock(mutex_);
            ++registrations_;
            listing changed = instances_.current();
            if (text_field(*fields, "state", "live") == "gone")
                changed.erase(id);
            else
                changed[id] = *fields;
            instances_.record(std::move(changed));
        }
        answer_json(current, 200, {{"registered", true}});
    }

    void answer_log(exchange& current)
    {
        std::unique_lock lock(mutex_);
        boost::json::object const log{{"reads", reads_},
                                      {"registrations", registrations_},
                                      {"instances", instances_.current().size()}};
        lock.unlock();
        answer_json(current, 200, log);
    }

    std::mutex mutex_;
    lagged<listing> instances_;
    std::uint64_t reads_ = 0;
    std::uint64_t registrations_ = 0;
};

} // namespace

} // namespace carawayturn::standins

int main(int argc, char** argv)
{
    using namespace carawayturn::standins;
    absl::ParseCommandLine(argc, argv);
    fault_control faults;
    instance_list list(std::chrono::milliseconds(absl::GetFlag(FLAGS_lag_ms)));
    http_service service;
    service.listen(absl::GetFlag(FLAGS_port));
    service.run(
        [&](exchange& current)
        {
            if (faults.admit(current))
                list.handle(current);
        });
}
