#include "fuzz_target.hpp"
#include "protocol/platform_codec.hpp"

using namespace carawayturn;

// The first byte chooses the status.
int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto body = as_text(data, size);
    auto const status = take_choice(body, {200, 500});
    auto const answer = parse_order_answer(status, body);
    fuzz_check(answer.outcome != order_result::not_delivered,
               "an answered order was delivered");
    fuzz_check(answer.outcome == order_result::unknown || status == 200,
               "only status 200 has a result");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    using namespace std::string_literals;
    return {"\0"s + R"({"result":"done","incarnation":4})",
            "\0"s + R"({"result":"stale_fence","incarnation":18446744073709551615})"};
}
