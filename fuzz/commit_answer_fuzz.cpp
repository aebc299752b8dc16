#include "fuzz_target.hpp"
#include "protocol/platform_codec.hpp"

using namespace carawayturn;

// The first byte chooses the status.
int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto body = as_text(data, size);
    auto const status = take_choice(body, {200, 409, 503, 500});
    auto const outcome = parse_commit_answer(status, body);
    fuzz_check(!std::holds_alternative<committed>(outcome) || status == 200,
               "only status 200 means committed");
    fuzz_check(!std::holds_alternative<commit_conflict>(outcome) || status == 409,
               "only status 409 means a conflict");
    fuzz_check(!std::holds_alternative<rows_read>(outcome), "a commit reads no rows");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    using namespace std::string_literals;
    return {"\0"s + R"({"committed":true,"versions":[{"key":"a","version":4}]})",
            "\1"s + R"({"committed":false,"conflicts":[{"key":"a","version":9}]})"};
}
