// Stand-in for the platform's transactional table service; see docs/design.md, section 7.

#include "fault_control.hpp"
#include "http_service.hpp"
#include "json_fields.hpp"
#include "start_pacer.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <map>
#include <mutex>
#include <utility>
#include <vector>

ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(double, writes_per_second, 0, "commits started a second; 0 sets no limit");
ABSL_FLAG(double, reads_per_second, 0, "reads started a second; 0 sets no limit");

namespace carawayturn::standins
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t default_read_limit = 1000;

struct row
{
    std::uint64_t version = 0;
    std::string op;
    std::string value;
};

class table_service
{
public:
    table_service(double writes_per_second, double reads_per_second)
        : writes_(writes_per_second), reads_(reads_per_second)
    {
    }

    void handle(exchange& current)
    {
        auto const& path = current.request().path;
        if (path == "/v1/log")
            return answer_json(current, 200, print_log());
        auto const fields = parse_object(current.request().body);
        if (!fields)
            return answer_bad_request(current, "the body must be a JSON object");
        if (path == "/v1/commit")
            return commit(current, *fields);
        if (path == "/v1/read")
            return read(current, *fields);
        answer_json(current, 404, {{"error", "no such path"}});
    }

private:
    void commit(exchange& current, json::object const& fields)
    {
        auto const* checks = fields.if_contains("checks");
        auto const* writes = fields.if_contains("writes");
        if (!are_entries(checks) || !are_entries(writes))
            return answer_bad_request(current,
                                      "checks and writes must be lists with keys");
        writes_.wait();
        std::unique_lock lock(mutex_);
        json::array conflicts = find_conflicts(checks->get_array());
        if (!conflicts.empty())
        {
            ++refusals_;
            lock.unlock();
            return answer_json(current, 409,
                               {{"committed", false}, {"conflicts", conflicts}});
        }
        ++commits_;
        json::array const versions = apply(text_field(fields, "op"), writes->get_array());
        lock.unlock();
        answer_json(current, 200, {{"committed", true}, {"versions", versions}});
    }

    [[nodiscard]] static bool are_entries(json::value const* list)
    {
        if (list == nullptr || !list->is_array())
            return false;
        for (auto const& entry : list->get_array())
        {
            if (!entry.is_object() || !entry.get_object().contains("key"))
                return false;
        }
        return true;
    }

    [[nodiscard]] json::array find_conflicts(json::array const& checks) const
    {
        json::array conflicts;
        for (auto const& check : checks)
        {
            auto const key = text_field(check.get_object(), "key");
            auto const expected = number_field(check.get_object(), "version", -1);
            auto const version = version_of(key);
            if (std::cmp_not_equal(version, expected))
                conflicts.push_back(json::object{{"key", key}, {"version", version}});
        }
        return conflicts;
    }

    [[nodiscard]] std::uint64_t version_of(std::string const& key) const
    {
        auto const found = rows_.find(key);
        return found == rows_.end() ? 0 : found->second.version;
    }

    json::array apply(std::string const& op, json::array const& writes)
    {
        json::array versions;
        for (auto const& entry : writes)
        {
            auto const& write = entry.get_object();
            auto const key = text_field(write, "key");
            auto const* value = write.if_contains("value");
            if (value == nullptr || value->is_null())
            {
                rows_.erase(key);
                removed_by_[key] = op;
            }
            else
            {
                rows_[key] = {++last_version_, op, text_field(write, "value")};
                removed_by_.erase(key);
            }
            ++rows_written_;
            versions.push_back(json::object{{"key", key}, {"version", version_of(key)}});
        }
        return versions;
    }

    void read(exchange& current, json::object const& fields)
    {
        reads_.wait();
        json::array rows;
        {
            std::lock_guard const lock(mutex_);
            ++reads_served_;
            rows = fields.contains("prefix") ? read_prefix(fields) : read_keys(fields);
        }
        answer_json(current, 200, {{"rows", rows}});
    }

    [[nodiscard]] json::array read_keys(json::object const& fields) const
    {
        json::array rows;
        auto const* keys = fields.if_contains("keys");
        if (keys == nullptr || !keys->is_array())
            return rows;
        for (auto const& key : keys->get_array())
        {
            if (key.is_string())
                rows.push_back(print_row(std::string(key.get_string().c_str())));
        }
        return rows;
    }

    [[nodiscard]] json::array read_prefix(json::object const& fields) const
    {
        json::array rows;
        auto const prefix = text_field(fields, "prefix");
        auto const after = text_field(fields, "after");
        auto const limit = number_field(fields, "limit", default_read_limit);
        auto next = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
        for (; next != rows_.end() && next->first.starts_with(prefix) &&
               std::cmp_less(rows.size(), limit);
             ++next)
            rows.push_back(print_row(next->first));
        return rows;
    }

    // A removed row keeps the operation that removed it, so that a lost answer to a
    // removal can be resolved.
    [[nodiscard]] json::object print_row(std::string const& key) const
    {
        if (auto const found = rows_.find(key); found != rows_.end())
            return {{"key", key},
                    {"version", found->second.version},
                    {"op", found->second.op},
                    {"value", found->second.value}};
        auto const removed = removed_by_.find(key);
        return {{"key", key},
                {"version", 0},
                {"op", removed == removed_by_.end() ? std::string() : removed->second}};
    }

    [[nodiscard]] json::object print_log()
    {
        std::lock_guard const lock(mutex_);
        return {{"commits", commits_},
                {"refusals", refusals_},
                {"reads", reads_served_},
                {"rows_written", rows_written_},
                {"rows", rows_.size()}};
    }

    start_pacer writes_;
    start_pacer reads_;
    std::mutex mutex_;
    std::map<std::string, row> rows_;
    std::map<std::string, std::string> removed_by_;
    // One counter for all rows: a row that is removed and made again gets a version that
    // no old check can match.
    std::uint64_t last_version_ = 0;
    std::uint64_t commits_ = 0;
    std::uint64_t refusals_ = 0;
    std::uint64_t reads_served_ = 0;
    std::uint64_t rows_written_ = 0;
};

} // namespace

} // namespace carawayturn::standins

int main(int argc, char** argv)
{
    using namespace carawayturn::standins;
    absl::ParseCommandLine(argc, argv);
    fault_control faults;
    table_service table(absl::GetFlag(FLAGS_writes_per_second),
                        absl::GetFlag(FLAGS_reads_per_second));
    http_service service;
    service.listen(absl::GetFlag(FLAGS_port));
    service.run(
        [&](exchange& current)
        {
            if (faults.admit(current))
                table.handle(current);
        });
}
