#include "protocol/platform_codec.hpp"

#include <gtest/gtest.h>

namespace carawayturn
{
namespace
{

TEST(platform_codec_test, print_table_commit_deleted_row_has_null_value)
{
    table_commit const commit{
        operation_id("op-1"), {{"a", 3}}, {{"a", "x\"y"}, {"b", std::nullopt}}};
    EXPECT_EQ(print_table_commit(commit),
              R"({"op":"op-1","checks":[{"key":"a","version":3}],)"
              R"("writes":[{"key":"a","value":"x\"y"},{"key":"b","value":null}]})");
}

TEST(platform_codec_test, print_table_read_keys_or_prefix)
{
    EXPECT_EQ(print_table_read({operation_id("r"), {"a", "b"}, "", "", 1000}),
              R"({"keys":["a","b"]})");
    EXPECT_EQ(print_table_read({operation_id("r"), {}, "slots/", "slots/3", 5}),
              R"({"prefix":"slots/","after":"slots/3","limit":5})");
}

TEST(platform_codec_test, parse_commit_answer_committed_returns_versions)
{
    auto const outcome = parse_commit_answer(
        200, R"({"committed":true,"versions":[{"key":"a","version":4}]})");
    ASSERT_TRUE(std::holds_alternative<committed>(outcome));
    EXPECT_EQ(std::get<committed>(outcome).versions, (std::vector<row_check>{{"a", 4}}));
}

TEST(platform_codec_test, parse_commit_answer_conflict_returns_current_versions)
{
    auto const outcome = parse_commit_answer(
        409, R"({"committed":false,"conflicts":[{"key":"a","version":9}]})");
    ASSERT_TRUE(std::holds_alternative<commit_conflict>(outcome));
    EXPECT_EQ(std::get<commit_conflict>(outcome).current,
              (std::vector<row_check>{{"a", 9}}));
}

// A commit that may have taken effect must never be taken for a refused one.
TEST(platform_codec_test, parse_commit_answer_unclear_is_unknown)
{
    for (auto const& [status, body] : std::vector<std::pair<unsigned, std::string>>{
             {200, ""},
             {200, R"({"committed":true})"},
             {200, R"({"committed":false,"versions":[]})"},
             {409, R"({"committed":true,"conflicts":[]})"},
             {500, "{}"},
             {0, ""}})
        EXPECT_TRUE(
            std::holds_alternative<outcome_unknown>(parse_commit_answer(status, body)))
            << status << body;
    EXPECT_TRUE(
        std::holds_alternative<table_unavailable>(parse_commit_answer(503, "busy")));
}

TEST(platform_codec_test, parse_read_answer_absent_row_has_no_value)
{
    auto const outcome = parse_read_answer(
        200, R"({"rows":[{"key":"a","version":2,"op":"o","value":"v"},)"
             R"({"key":"b","version":0,"value":null},{"key":"c","version":0}]})");
    ASSERT_TRUE(std::holds_alternative<rows_read>(outcome));
    EXPECT_EQ(std::get<rows_read>(outcome).rows,
              (std::vector<table_row>{{"a", 2, operation_id("o"), "v"},
                                      {"b", 0, operation_id(), std::nullopt},
                                      {"c", 0, operation_id(), std::nullopt}}));
}

TEST(platform_codec_test, parse_read_answer_malformed_is_unavailable)
{
    EXPECT_TRUE(std::holds_alternative<table_unavailable>(parse_read_answer(200, "{}")));
    EXPECT_TRUE(std::holds_alternative<table_unavailable>(parse_read_answer(500, "")));
}

TEST(platform_codec_test, parse_instance_list_reads_every_field)
{
    auto const outcome = parse_instance_list(
        R"({"instances":[{"id":"runner-1","kind":"runner","service":"chat",)"
        R"("host":"127.0.0.1","port":8000,"peer_port":1,"failure_domain":"a",)"
        R"("state":"leaving","incarnation":7,"added_later":{}}]})");
    ASSERT_TRUE(succeeded(outcome)) << to_string(std::get<error>(outcome));
    auto const& instance = std::get<0>(outcome).at(0);
    EXPECT_EQ(instance.id, "runner-1");
    EXPECT_EQ(instance.kind, "runner");
    EXPECT_EQ(instance.service, "chat");
    EXPECT_EQ(instance.address, (endpoint{"127.0.0.1", 8000}));
    EXPECT_EQ(instance.peer_port, 1);
    EXPECT_EQ(instance.failure_domain, failure_domain_id("a"));
    EXPECT_TRUE(instance.leaving);
    EXPECT_EQ(instance.incarnation, 7U);
}

TEST(platform_codec_test, parse_instance_list_invalid_field_is_named)
{
    auto const outcome = parse_instance_list(
        R"({"instances":[{"id":"r","kind":"runner","host":"h","port":70000}]})");
    ASSERT_FALSE(succeeded(outcome));
    EXPECT_EQ(std::get<error>(outcome).step, "instances[r].port");
}

TEST(platform_codec_test, print_engine_order_has_every_field)
{
    engine_order const order{decision_id("d-1"),
                             backend_id("runner-1"),
                             5,
                             order_action::load_adapter,
                             {model_id("base"), adapter_id("notes"), "2", 10},
                             "decode"};
    EXPECT_EQ(print_engine_order(order),
              R"({"order_id":"d-1","fence":5,"action":"load_adapter","model":"base",)"
              R"("version":"2","adapter":"notes","bytes":10,"role":"decode"})");
}

TEST(platform_codec_test, parse_order_answer_results)
{
    auto const answer =
        parse_order_answer(200, R"({"result":"stale_fence","incarnation":4})");
    EXPECT_EQ(answer.outcome, order_result::stale_fence);
    EXPECT_EQ(answer.incarnation, 4U);
    EXPECT_EQ(parse_order_answer(500, "").outcome, order_result::unknown);
    // An engine cannot claim that its order was not delivered.
    EXPECT_EQ(
        parse_order_answer(200, R"({"result":"not_delivered","incarnation":4})").outcome,
        order_result::unknown);
}

TEST(platform_codec_test, parse_backend_report_reads_every_field)
{
    auto const outcome = parse_backend_report(
        backend_id("runner-1"),
        R"({"incarnation":2,"sequence":3,"capacity_bytes":100,"used_bytes":50,)"
        R"("running":4,"waiting":5,"role":"both","checks_fence":true,)"
        R"("loaded":[{"model":"base","version":"2","adapter":"notes","bytes":9}],)"
        R"("cached":{"memory":["base"],"disk":["other"]}})");
    ASSERT_TRUE(succeeded(outcome)) << to_string(std::get<error>(outcome));
    auto const& report = std::get<0>(outcome);
    EXPECT_EQ(report.backend, backend_id("runner-1"));
    EXPECT_EQ(report.incarnation, 2U);
    EXPECT_EQ(report.sequence, 3U);
    EXPECT_EQ(report.capacity_bytes, 100);
    EXPECT_EQ(report.used_bytes, 50);
    EXPECT_EQ(report.running, 4U);
    EXPECT_EQ(report.waiting, 5U);
    EXPECT_EQ(report.role, "both");
    EXPECT_TRUE(report.checks_fence);
    EXPECT_EQ(report.loaded, (std::vector<loaded_item>{
                                 {model_id("base"), adapter_id("notes"), "2", 9}}));
    EXPECT_EQ(report.cached_in_memory, std::vector{model_id("base")});
    EXPECT_EQ(report.cached_on_disk, std::vector{model_id("other")});
}

TEST(platform_codec_test, parse_backend_report_negative_bytes_names_field_and_backend)
{
    auto const outcome = parse_backend_report(
        backend_id("runner-1"), R"({"incarnation":2,"sequence":3,"running":0,)"
                                R"("waiting":0,"used_bytes":-1})");
    ASSERT_FALSE(succeeded(outcome));
    EXPECT_EQ(std::get<error>(outcome).step, "used_bytes");
    EXPECT_EQ(std::get<error>(outcome).peer, "runner-1");
}

} // namespace
} // namespace carawayturn
