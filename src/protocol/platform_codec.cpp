#include "protocol/platform_codec.hpp"

#include "state/json_fields.hpp"
#include "state/strict_json.hpp"

#include <boost/json/serialize.hpp>

#include <array>

namespace carawayturn
{

namespace
{

namespace json = boost::json;

/// The deepest answer, a backend report, needs four levels; the rest is for fields that
/// are added later.
constexpr std::size_t max_platform_depth = 16;

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;

// False is "live"; in the order of listed_instance::leaving.
constexpr std::array<std::string_view, 2> list_state_names{"live", "leaving"};
constexpr std::array<std::string_view, 3> instance_kind_names{"entry", "runner", "plain"};

/// Results that an engine may answer; the others describe a missing answer.
constexpr std::array answered_results{order_result::done, order_result::already,
                                      order_result::stale_fence, order_result::no_memory,
                                      order_result::not_loaded};

std::string with_status(std::string const& detail, unsigned status)
{
    return detail + " (status " + std::to_string(status) + ")";
}

/// Parses a body and calls the function with a reader of its outermost object. Fields
/// that are not read are ignored, so that a platform may add some.
template <class Function>
std::optional<error> read_body(std::string_view body, Function const& function)
{
    auto const document = parse_strict_json(body, max_platform_depth);
    if (!succeeded(document))
        return std::get<error>(document);
    return read_fields(
        [&]
        {
            json_reader fields(std::get<0>(document), "", unknown_fields::ignore);
            function(fields);
        });
}

/// Lists of models by the tier in which a runner caches them.
struct cached_models
{
    std::vector<model_id> memory;
    std::vector<model_id> disk;
};

void require_not_negative(byte_count value, std::string_view field)
{
    if (value < 0)
        json_place{"", field}.fail("must not be negative");
}

} // namespace

template <class Io>
static void describe(Io& io, described<Io, row_check> row)
{
    io.required("key", row.key);
    io.required("version", row.version);
}

template <class Io>
static void describe(Io& io, described<Io, row_write> row)
{
    io.required("key", row.key);
    io.required("value", row.value);
}

template <class Io>
static void describe(Io& io, described<Io, table_row> row)
{
    io.required("key", row.key);
    io.required("version", row.version);
    io.optional("op", row.operation);
    io.optional("value", row.value);
}

template <class Io>
static void describe(Io& io, described<Io, table_commit> commit)
{
    io.required("op", commit.operation);
    io.required("checks", commit.checks);
    io.required("writes", commit.writes);
}

template <class Io>
static void describe(Io& io, described<Io, listed_instance> instance)
{
    io.required("id", instance.id);
    std::size_t kind = 0;
    io.required("kind", instance.kind);
    io.choice("kind", kind, instance_kind_names);
    io.optional("service", instance.service);
    io.required("host", instance.address.address);
    io.required("port", instance.address.port);
    io.optional("peer_port", instance.peer_port);
    io.optional("failure_domain", instance.failure_domain);
    std::string state;
    io.required("state", state);
    io.choice("state", instance.leaving, list_state_names);
    io.optional("incarnation", instance.incarnation);
}

template <class Io>
static void describe(Io& io, described<Io, loaded_item> item)
{
    io.required("model", item.model);
    io.optional("version", item.version);
    io.optional("adapter", item.adapter);
    io.optional("bytes", item.bytes);
}

template <class Io>
static void describe(Io& io, described<Io, cached_models> cached)
{
    io.optional("memory", cached.memory);
    io.optional("disk", cached.disk);
}

template <class Io>
static void describe(Io& io, described<Io, backend_report> report)
{
    io.required("incarnation", report.incarnation);
    io.required("sequence", report.sequence);
    io.optional("capacity_bytes", report.capacity_bytes);
    io.optional("used_bytes", report.used_bytes);
    io.required("running", report.running);
    io.required("waiting", report.waiting);
    io.optional("role", report.role);
    io.optional("checks_fence", report.checks_fence);
    io.optional("loaded", report.loaded);
    cached_models cached;
    io.optional("cached", cached);
    report.cached_in_memory = std::move(cached.memory);
    report.cached_on_disk = std::move(cached.disk);
}

std::string print_table_commit(table_commit const& commit)
{
    json_writer fields;
    describe(fields, commit);
    return json::serialize(fields.release());
}

std::string print_table_read(table_read const& read)
{
    json_writer fields;
    if (!read.keys.empty())
    {
        fields.required("keys", read.keys);
    }
    else
    {
        fields.required("prefix", read.prefix);
        if (!read.after.empty())
            fields.required("after", read.after);
        fields.required("limit", read.limit);
    }
    return json::serialize(fields.release());
}

table_outcome parse_commit_answer(unsigned status, std::string_view body)
{
    if (status == status_unavailable)
        return table_unavailable{with_status("the table service refused", status)};
    if (status != status_ok && status != status_conflict)
        return outcome_unknown{with_status("unexpected answer", status)};
    bool const success = status == status_ok;
    std::vector<row_check> rows;
    auto const failure =
        read_body(body,
                  [&](json_reader& fields)
                  {
                      bool applied = !success;
                      fields.required("committed", applied);
                      if (applied != success)
                          json_place{"", "committed"}.fail("contradicts the status");
                      fields.required(success ? "versions" : "conflicts", rows);
                  });
    if (failure)
        return outcome_unknown{with_status(to_string(*failure), status)};
    if (success)
        return committed{std::move(rows)};
    return commit_conflict{std::move(rows)};
}

table_outcome parse_read_answer(unsigned status, std::string_view body)
{
    if (status != status_ok)
        return table_unavailable{with_status("the read was not answered", status)};
    rows_read answer;
    auto const failure = read_body(body, [&](json_reader& fields)
                                   { fields.required("rows", answer.rows); });
    if (failure)
        return table_unavailable{with_status(to_string(*failure), status)};
    return answer;
}

result<std::vector<listed_instance>> parse_instance_list(std::string_view body)
{
    std::vector<listed_instance> instances;
    auto const failure = read_body(body, [&](json_reader& fields)
                                   { fields.required("instances", instances); });
    if (failure)
        return *failure;
    return instances;
}

std::string print_engine_order(engine_order const& order)
{
    json::object body;
    body.emplace("order_id", order.decision.str());
    body.emplace("fence", order.fence);
    body.emplace("action", name_of(order.action));
    body.emplace("model", order.item.model.str());
    body.emplace("version", order.item.version);
    body.emplace("adapter", order.item.adapter.str());
    body.emplace("bytes", order.item.bytes);
    body.emplace("role", order.role);
    return json::serialize(body);
}

engine_order_answer parse_order_answer(unsigned status, std::string_view body)
{
    if (status != status_ok)
        return {};
    engine_order_answer answer;
    std::string outcome;
    auto const failure = read_body(body,
                                   [&](json_reader& fields)
                                   {
                                       fields.required("result", outcome);
                                       fields.required("incarnation", answer.incarnation);
                                   });
    if (failure)
        return {};
    for (auto const known : answered_results)
    {
        if (name_of(known) == outcome)
            answer.outcome = known;
    }
    return answer;
}

result<backend_report> parse_backend_report(backend_id const& backend,
                                            std::string_view body)
{
    backend_report report;
    report.backend = backend;
    auto failure =
        read_body(body,
                  [&](json_reader& fields)
                  {
                      describe(fields, report);
                      require_not_negative(report.capacity_bytes, "capacity_bytes");
                      require_not_negative(report.used_bytes, "used_bytes");
                      for (auto const& item : report.loaded)
                          require_not_negative(item.bytes, "loaded.bytes");
                  });
    if (failure)
    {
        failure->peer = backend.str();
        return *failure;
    }
    return report;
}

} // namespace carawayturn
