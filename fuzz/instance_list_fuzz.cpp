#include "fuzz_target.hpp"
#include "protocol/platform_codec.hpp"

using namespace carawayturn;

int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto const outcome = parse_instance_list(as_text(data, size));
    if (!succeeded(outcome))
        return 0;
    for (auto const& instance : std::get<0>(outcome))
        fuzz_check(instance.kind == "entry" || instance.kind == "runner" ||
                       instance.kind == "plain",
                   "the kind is known");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    return {R"({"instances":[{"id":"runner-1","kind":"runner","service":"chat",)"
            R"("host":"127.0.0.1","port":8000,"peer_port":1,"failure_domain":"a",)"
            R"("state":"leaving","incarnation":7},{"id":"entry-1","kind":"entry",)"
            R"("host":"::1","port":80,"state":"live"}]})"};
}
