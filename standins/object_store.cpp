// Stand-in for the platform's object store; see docs/design.md, section 7.

#include "fault_control.hpp"
#include "http_service.hpp"
#include "json_fields.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <map>
#include <mutex>

ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1; 0 takes a free one");

namespace carawayturn::standins
{

namespace
{

constexpr std::string_view object_path = "/v1/objects/";

class object_store
{
public:
    void handle(exchange& current)
    {
        auto const& request = current.request();
        if (request.path == "/v1/log")
            return answer_log(current);
        if (!request.path.starts_with(object_path))
            return answer_json(current, 404, {{"error", "no such path"}});
        auto const name = request.path.substr(object_path.size());
        if (request.method == "PUT")
            return put(current, name);
        if (request.method == "GET")
            return get(current, name);
        answer_json(current, 405, {{"error", "use GET or PUT"}});
    }

private:
    void put(exchange& current, std::string const& name)
    {
        {
            std::lock_guard const lock(mutex_);
            objects_[name] = current.request().body;
            ++puts_;
        }
        answer_json(current, 200, {{"stored", true}});
    }

    void get(exchange& current, std::string const& name)
    {
        std::unique_lock lock(mutex_);
        ++gets_;
        auto const found = objects_.find(name);
        if (found == objects_.end())
        {
            lock.unlock();
            return answer_json(current, 404, {{"error", "no such object"}});
        }
        std::string const content = found->second;
        lock.unlock();
        current.answer(200, content, "application/octet-stream");
    }

    void answer_log(exchange& current)
    {
        std::unique_lock lock(mutex_);
        boost::json::object const log{
            {"puts", puts_}, {"gets", gets_}, {"objects", objects_.size()}};
        lock.unlock();
        answer_json(current, 200, log);
    }

    std::mutex mutex_;
    std::map<std::string, std::string> objects_;
    std::uint64_t puts_ = 0;
    std::uint64_t gets_ = 0;
};

} // namespace

} // namespace carawayturn::standins

int main(int argc, char** argv)
{
    using namespace carawayturn::standins;
    absl::ParseCommandLine(argc, argv);
    fault_control faults;
    object_store store;
    http_service service;
    service.listen(absl::GetFlag(FLAGS_port));
    service.run(
        [&](exchange& current)
        {
            if (faults.admit(current))
                store.handle(current);
        });
}
