#include "fuzz_target.hpp"
#include "protocol/platform_codec.hpp"

using namespace carawayturn;

// The first byte chooses the status.
int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto body = as_text(data, size);
    auto const status = take_choice(body, {200, 503});
    auto const outcome = parse_read_answer(status, body);
    fuzz_check(std::holds_alternative<rows_read>(outcome) ||
                   std::holds_alternative<table_unavailable>(outcome),
               "a read gives rows or is unavailable");
    fuzz_check(!std::holds_alternative<rows_read>(outcome) || status == 200,
               "only status 200 gives rows");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    using namespace std::string_literals;
    return {"\0"s + R"({"rows":[{"key":"a","version":2,"op":"o","value":"v"},)"
                    R"({"key":"b","version":0,"value":null},{"key":"c","version":0}]})"};
}
