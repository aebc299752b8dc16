#include "fuzz_target.hpp"
#include "state/config_text.hpp"

using namespace carawayturn;

int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto const config = parse_config(as_text(data, size));
    if (!succeeded(config))
        return 0;
    auto const again = parse_config(print_config(std::get<0>(config)));
    fuzz_check(again == config, "a printed configuration is read back");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    return {R"({"version":3,"instance_slots":4,"models":[{"id":"base","version":"2",)"
            R"("bytes":1000,"max_replicas":2}],"adapters":[{"id":"notes",)"
            R"("model":"base","bytes":10}],"pools":[{"id":"chat","kind":"model",)"
            R"("load_slots":4,"loads_per_second":4.5,"adapter_load_slots":32,)"
            R"("models":["base"]},{"id":"tax","kind":"plain"}],"routes":[)"
            R"({"path_prefix":"/v1","pool":"chat","priority":-1,)"
            R"("default_deadline_ms":1.5},{"path_prefix":"/tax","pool":"tax",)"
            R"("at_most_once":true,"request_tokens":2}],"organisations":[)"
            R"({"id":"acme","rate":0.1,"burst":100,"models":["*"],"pools":["tax"],)"
            R"("key_digests":["ab","cd"]}]})",
            R"({"models":[{"id":"a","bytes":1},{"id":"b","bytes":2}]})", "{}"};
}
