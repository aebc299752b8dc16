#include "fuzz_target.hpp"
#include "protocol/platform_codec.hpp"

using namespace carawayturn;

int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto const outcome = parse_backend_report(backend_id("r"), as_text(data, size));
    if (!succeeded(outcome))
        return 0;
    auto const& report = std::get<0>(outcome);
    fuzz_check(report.capacity_bytes >= 0 && report.used_bytes >= 0,
               "sizes are not negative");
    for (auto const& item : report.loaded)
        fuzz_check(item.bytes >= 0, "sizes of items are not negative");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    return {R"({"incarnation":2,"sequence":3,"capacity_bytes":100,"used_bytes":50,)"
            R"("running":4,"waiting":5,"role":"both","checks_fence":true,)"
            R"("loaded":[{"model":"base","version":"2","adapter":"notes","bytes":9}],)"
            R"("cached":{"memory":["base"],"disk":["other"]}})"};
}
