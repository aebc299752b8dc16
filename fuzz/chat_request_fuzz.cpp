#include "fuzz_target.hpp"
#include "protocol/caller_codec.hpp"

using namespace carawayturn;

int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto const outcome = parse_chat_request(as_text(data, size));
    if (!succeeded(outcome))
        return 0;
    auto const& request = std::get<0>(outcome);
    fuzz_check(!request.model.empty(), "the model has a name");
    fuzz_check(request.max_tokens > 0, "an answer has at least one token");
    fuzz_check(request.prompt_tokens >= 0 &&
                   request.prompt_tokens <= static_cast<token_count>(size),
               "the prompt is no longer than the body");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    return {R"({"model":"base","stream":true,"max_tokens":7,"n":2,"messages":[)"
            R"({"role":"system","content":"short"},{"role":"user","content":[)"
            R"({"type":"text","text":"h\u00e9llo"}]}]})",
            R"({"model":"notes","messages":[{"role":"user","content":null}],)"
            R"("max_completion_tokens":1,"temperature":1e-3})"};
}
