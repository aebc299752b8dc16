#include "protocol/admin_codec.hpp"
#include "protocol/caller_codec.hpp"

#include <gtest/gtest.h>

namespace carawayturn
{
namespace
{

class caller_codec_test : public testing::Test
{
protected:
    static chat_request parse(std::string const& fields,
                              std::string const& text = "hello")
    {
        auto const outcome = parse_chat_request(body(fields, text));
        EXPECT_TRUE(succeeded(outcome)) << to_string(std::get<error>(outcome));
        return std::get<0>(outcome);
    }
    static std::string body(std::string const& fields, std::string const& text = "hello")
    {
        return R"({"model":"base","messages":[{"role":"user","content":")" + text +
               R"("}])" + fields + "}";
    }
    static void expect_refused(std::string const& text, std::string const& field)
    {
        auto const outcome = parse_chat_request(text);
        ASSERT_FALSE(succeeded(outcome)) << text;
        EXPECT_EQ(std::get<error>(outcome).step, field);
    }
};

TEST_F(caller_codec_test, parse_chat_request_reads_fields)
{
    auto const request = parse(R"(,"stream":true,"max_tokens":7,"temperature":0.5)");
    EXPECT_EQ(request.model, "base");
    EXPECT_TRUE(request.stream);
    EXPECT_EQ(request.prompt_tokens, 2);
    EXPECT_EQ(request.max_tokens, 7);
    EXPECT_NE(request.prefix_hash, 0U);
}

// The reservation must bound what the engine may generate.
TEST_F(caller_codec_test, parse_chat_request_max_tokens_is_upper_bound)
{
    EXPECT_EQ(parse(R"(,"max_tokens":7,"max_completion_tokens":9)").max_tokens, 9);
    EXPECT_EQ(parse(R"(,"max_tokens":7,"n":3)").max_tokens, 21);
    EXPECT_GT(parse(R"(,"max_tokens":null)").max_tokens, 0);
}

TEST_F(caller_codec_test, parse_chat_request_same_beginning_same_prefix_hash)
{
    std::string const start(300, 'a');
    EXPECT_EQ(parse("", start + "b").prefix_hash, parse("", start + "c").prefix_hash);
    EXPECT_NE(parse("", "b" + start).prefix_hash, parse("", "c" + start).prefix_hash);
}

// An engine that takes the other value would run a model that was not checked.
TEST_F(caller_codec_test, parse_chat_request_repeated_model_is_refused)
{
    expect_refused(body(R"(,"model":"other")"), "model");
}

TEST_F(caller_codec_test, parse_chat_request_invalid_fields_are_named)
{
    expect_refused(R"({"messages":[{"content":"x"}]})", "model");
    expect_refused(R"({"model":"","messages":[{"content":"x"}]})", "model");
    expect_refused(R"({"model":"base"})", "messages");
    expect_refused(R"({"model":"base","messages":[4]})", "messages[0]");
    expect_refused(body(R"(,"max_tokens":0)"), "max_tokens");
    expect_refused(body(R"(,"max_tokens":9223372036854775807)"), "max_tokens");
    expect_refused(body(R"(,"stream":"yes")"), "stream");
    expect_refused("[]", "");
}

TEST_F(caller_codec_test, parse_chat_request_nested_too_deeply_is_refused)
{
    std::string const open(max_json_depth, '[');
    std::string const close(max_json_depth, ']');
    EXPECT_FALSE(succeeded(parse_chat_request(body(R"(,"x":)" + open + close))));
    EXPECT_FALSE(succeeded(parse_chat_request(std::string(1'000'000, '['))));
}

TEST_F(caller_codec_test, print_refusal_has_every_field)
{
    refusal reason{refusal_code::queue_full,       execution::not_run, "full", {}, 3,
                   std::chrono::microseconds(1500)};
    EXPECT_EQ(print_refusal(request_id("r-1"), reason),
              R"({"error":{"code":"queue_full","message":"full","ran":"not-run",)"
              R"("request_id":"r-1","place":3,"expected_wait_ms":2}})");
}

TEST_F(caller_codec_test, parse_usage_total_or_sum)
{
    EXPECT_EQ(parse_usage(R"({"usage":{"total_tokens":9}})"), 9);
    EXPECT_EQ(parse_usage(R"({"usage":{"prompt_tokens":4,"completion_tokens":3}})"), 7);
    for (std::string_view const text :
         {R"({"usage":null})", R"({"usage":{"total_tokens":-1}})", "[DONE]", "4",
          R"({"usage":{"prompt_tokens":4}})",
          R"({"usage":{"prompt_tokens":1,"completion_tokens":9223372036854775807}})"})
        EXPECT_EQ(parse_usage(text), std::nullopt) << text;
}

TEST(admin_codec_test, print_submission_answer_pending_and_failed)
{
    answer_submission answer;
    answer.version = 4;
    answer.missing = {instance_id("entry-2")};
    EXPECT_EQ(print_submission_answer(answer),
              R"({"version":4,"accepted":false,"missing":["entry-2"]})");
    answer = {};
    answer.failure = error{error_code::conflict, "config.submit", "", "version is 5"};
    EXPECT_EQ(print_submission_answer(answer),
              R"({"version":0,"accepted":false,"missing":[],"error":)"
              R"({"code":"conflict","step":"config.submit","detail":"version is 5"}})");
}

} // namespace
} // namespace carawayturn
