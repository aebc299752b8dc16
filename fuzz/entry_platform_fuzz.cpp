#include "fuzz_target.hpp"
#include "platform/config_codec.hpp"
#include "platform/server_codec.hpp"
#include "platform/settings_file.hpp"
#include "platform/store_codec.hpp"

using namespace carawayturn;

namespace
{

// The first byte of an input selects the decoder.
constexpr unsigned decoders[] = {0, 1, 2, 3, 4, 5};

std::string sample(char decoder, std::string_view text)
{
    return decoder + std::string(text);
}

void check_record(result<entry::backend_record> const& read)
{
    if (!succeeded(read))
        return;
    auto const& record = std::get<entry::backend_record>(read);
    fuzz_check(!record.service.empty(), "a record has a service");
    fuzz_check(record.slots > 0, "a record has slots");
    fuzz_check(!record.address.empty(), "a record has an address");
}

void check_config(result<std::shared_ptr<entry::serving_config const>> const& read)
{
    if (!succeeded(read))
        return;
    auto const& config = *std::get<std::shared_ptr<entry::serving_config const>>(read);
    fuzz_check(config.version > 0, "a configuration has a version");
    for (auto const& route : config.routes)
    {
        fuzz_check(!route.targets.empty(), "a route has a target");
        fuzz_check(route.timeout >= duration::zero(), "the timeout is not negative");
        fuzz_check(route.max_attempts > 0, "a route allows at least one attempt");
    }
}

} // namespace

// Decodes the platform's documents: settings, configuration, backend server rows, runner
// reports, store answers and leases.
int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto text = as_text(data, size);
    switch (take_choice(text, decoders))
    {
    case 0:
        static_cast<void>(platform::decode_settings(text));
        break;
    case 1:
        check_config(platform::decode_config(text));
        break;
    case 2:
        check_record(platform::decode_server("s1", text));
        break;
    case 3:
        static_cast<void>(platform::decode_report("s1", text));
        break;
    case 4:
        static_cast<void>(platform::decode_store_answer(text));
        break;
    default:
        static_cast<void>(platform::decode_lease(text));
    }
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    return {
        sample(0, "node_name=n1\nip=10.0.0.1\nzone=a\nlisten.front=10.0.0.1:1\n"
                  "listen.ready=10.0.0.1:2\ninternal_ports=7600,7615\n"
                  "platform.address=10.0.0.9:3\nlimits.cpu_share=0.17\n"
                  "bounds.revoke_ms=5000\n"),
        sample(1, R"({"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/a/",)"
                  R"("kind":"streaming","timeout_ms":15000,"target_latency_ms":1000,)"
                  R"("priority":1,"max_attempts":2,"resumable":true,"service":"s"},)"
                  R"({"path_prefix":"/b/","kind":"idempotent","traffic_split":[)"
                  R"({"service":"s","weight":3}]}],"services":[{"name":"s","engine":{)"
                  R"("slots":4,"weights_mb":200,"loads_per_s":3.5,"adapter_slots":8,)"
                  R"("models":[{"name":"m","weights_mb":70,"load_time_s":6}]}}],)"
                  R"("limits":{"max_header_bytes":16384,"idle_timeout_ms":15000},)"
                  R"("tenants":[{"name":"t","api_keys":["k"],"rate_per_s":100,)"
                  R"("burst":200,"unit":"tokens","plain_tokens":20}]})"),
        sample(2, R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":6,)"
                  R"("state":"ready","seq":4,"born":1700000000000,"models":[{"name":"m",)"
                  R"("version":1,"adapters":["a1"]}],"resident":{"in_memory":["m"],)"
                  R"("on_disk":["m","n"]}})"),
        sample(3, R"({"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,)"
                  R"("seq":2,"pending":["m/a1@1"],"born":1700000000000})"),
        sample(4, R"({"rows":[{"table":"op","part":"","key":"config","value":"e30=",)"
                  R"("row_version":7},{"key":"x","row_version":8,"tombstone":true}],)"
                  R"("row_version":9,"now_ms":12,"truncated":false})"),
        sample(5,
               R"({"address":"10.0.0.1:7600","name":"n1","incarnation":5,"fence":2})")};
}
