#include "fuzz_target.hpp"
#include "protocol/caller_codec.hpp"

using namespace carawayturn;

int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    fuzz_check(parse_usage(as_text(data, size)).value_or(0) >= 0,
               "a count is not negative");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    return {R"({"id":"1","choices":[],"usage":{"total_tokens":12}})",
            R"({"usage":{"prompt_tokens":4,"completion_tokens":9223372036854775803}})",
            "[DONE]"};
}
