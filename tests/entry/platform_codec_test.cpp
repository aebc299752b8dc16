#include "platform/config_codec.hpp"
#include "platform/order_codec.hpp"
#include "platform/request_codec.hpp"
#include "platform/server_codec.hpp"
#include "platform/settings_file.hpp"
#include "platform/store_codec.hpp"
#include "platform/version_codec.hpp"

#include <gtest/gtest.h>

namespace carawayturn::platform
{
namespace
{

std::string const settings_text = "node_name=front-1\nip=10.1.0.25\nzone=a\n"
                                  "listen.front=10.1.0.25:8221\n"
                                  "listen.ready=10.1.0.25:8224\n"
                                  "internal_ports=7600,7615\n"
                                  "platform.address=10.200.1.7:8225\n"
                                  "bounds.revoke_ms=5000\nbounds.evacuate_ms=4500\n"
                                  "new.field=1\n";

// Guards against starting with settings that differ from the file.
TEST(settings_file_test, known_fields_are_decoded_and_unknown_ones_ignored)
{
    auto const read = decode_settings(settings_text);
    ASSERT_TRUE(succeeded(read));
    auto const& settings = std::get<entry::node_settings>(read);
    EXPECT_EQ(settings.peer_port, 7600);
    EXPECT_EQ(settings.bounds.key_withdrawal, std::chrono::seconds(5));
    EXPECT_EQ(settings.bounds.evacuation, std::chrono::milliseconds(4500));
}

TEST(settings_file_test, missing_field_is_named)
{
    auto const read = decode_settings("node_name=front-1\n");
    ASSERT_FALSE(succeeded(read));
    EXPECT_EQ(std::get<error>(read).step, "settings.ip");
}

TEST(settings_file_test, malformed_number_is_named)
{
    auto const read = decode_settings(settings_text + "bounds.lease_ms=soon\n");
    ASSERT_FALSE(succeeded(read));
    EXPECT_EQ(std::get<error>(read).step, "settings.bounds.lease_ms");
}

// Guards against limits for cold servers in a deployment that does not set them.
TEST(settings_file_test, cold_bounds_are_absent_unless_set)
{
    auto const unset = decode_settings(settings_text);
    EXPECT_FALSE(std::get<entry::node_settings>(unset).bounds.cold_overrun);
    EXPECT_FALSE(std::get<entry::node_settings>(unset).bounds.cold_slack);
    auto const set =
        decode_settings(settings_text + "bounds.cold_overrun=1.5\nbounds.cold_slack=5\n");
    EXPECT_EQ(std::get<entry::node_settings>(set).bounds.cold_overrun, 1.5);
    EXPECT_EQ(std::get<entry::node_settings>(set).bounds.cold_slack, 5);
    auto const wrong = decode_settings(settings_text + "bounds.cold_slack=-1\n");
    ASSERT_FALSE(succeeded(wrong));
    EXPECT_EQ(std::get<error>(wrong).step, "settings.bounds.cold_slack");
}

constexpr std::string_view config_text = R"({"version":7,"routes":[
 {"name":"long","host":"h.example","path_prefix":"/a/b/","kind":"streaming",
  "timeout_ms":15000,"target_latency_ms":1000,"priority":1,"service":"llm",
  "max_attempts":2,"public":false,"resumable":true,"gap_target_ms":300},
 {"name":"short","host":"h.example","path_prefix":"/a/","kind":"non_idempotent",
  "timeout_ms":1500,"target_latency_ms":300,"priority":2,
  "traffic_split":[{"service":"x","weight":90},{"service":"y","weight":10}],
  "max_attempts":1,"public":true}],
 "services":[{"name":"llm","engine":{"slots":48,"weights_mb":230000,"adapter_slots":8,
  "loads_per_s":4.2,"models":[{"name":"m","weights_mb":72700,"load_time_s":9.0,
  "adapters":3,"adapter_size_mb":66,"warm_s":1.2,"disk_s":2.0}]}},
  {"name":"x","cold_s":20,"cold_per_s":5.7}],
 "tenants":[{"name":"t","api_keys":["k1"],"rate_per_s":100,"burst":50,"unit":"tokens",
  "plain_tokens":200}]})";

class config_codec_test : public testing::Test
{
protected:
    config_codec_test()
    {
        auto read = decode_config(config_text);
        if (succeeded(read))
            config_ = std::get<0>(std::move(read));
    }
    std::shared_ptr<entry::serving_config const> config_;
};

// Guards against routing a request wrongly: the host's longest matching prefix applies.
TEST_F(config_codec_test, longest_prefix_of_the_host_is_found)
{
    ASSERT_NE(config_, nullptr);
    EXPECT_EQ(config_->find_route("h.example", "/a/b/c")->name, "long");
    EXPECT_EQ(config_->find_route("h.example", "/a/x")->name, "short");
    EXPECT_EQ(config_->find_route("h.example", "/a"), nullptr);
    EXPECT_EQ(config_->find_route("other", "/a/x"), nullptr);
}

// Guards against retrying a request that must not run twice.
TEST_F(config_codec_test, only_idempotent_and_resumable_routes_are_repeatable)
{
    EXPECT_TRUE(config_->routes[0].retryable());
    EXPECT_FALSE(config_->routes[1].retryable());
}

// Guards against cold servers without a limit, or with one that the service lacks.
TEST_F(config_codec_test, cold_time_and_rate_belong_to_their_service)
{
    EXPECT_EQ(config_->find_service("x")->cold_time, std::chrono::seconds(20));
    EXPECT_EQ(config_->find_service("x")->cold_rate, 5.7);
    EXPECT_EQ(config_->find_service("llm")->cold_rate, 0);
}

TEST_F(config_codec_test, organisation_is_found_by_its_key_alone)
{
    EXPECT_EQ(config_->find_organisation_by_key("k1")->name, "t");
    EXPECT_EQ(config_->find_organisation_by_key("k"), nullptr);
}

// Guards against applying a configuration that was decoded only in part.
TEST_F(config_codec_test, incomplete_configuration_is_an_error)
{
    EXPECT_FALSE(succeeded(decode_config("{}")));
    EXPECT_FALSE(succeeded(decode_config(R"({"version":1,"routes":[{"name":"r"}]})")));
    EXPECT_FALSE(succeeded(decode_config("no json")));
}

constexpr std::string_view good_server =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":48,"state":"ready",
        "models":[{"name":"m","version":1,"adapters":["a1"]}],"seq":4,"born":17,
        "resident":{"in_memory":["m"],"on_disk":["n"]}})";

// Guards against using rows of other writers as backend servers.
TEST(server_codec_test, invalid_server_rows_are_rejected)
{
    EXPECT_TRUE(succeeded(decode_server("i-1", good_server)));
    for (
        std::string_view const row :
        {"", "[]", R"({"service":"s"})",
         R"({"service":"s","address":"x","zone":"a","slots":1,"state":"ready"})",
         R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":1,"state":"odd"})",
         R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":"1","state":"ready"})",
         R"({"service":7,"address":"10.0.0.9:80","zone":"a","slots":1,"state":"ready"})"})
        EXPECT_FALSE(succeeded(decode_server("i-1", row))) << row;
}

// Guards against the loss of a server, or a version that ends a message, because another
// writer states the version in another way.
TEST(server_codec_test, version_that_cannot_be_read_is_unknown)
{
    auto const version = [](std::string const& field)
    {
        auto const row = std::string(good_server);
        return std::get<entry::backend_record>(
                   decode_server("i-1", row.substr(0, row.rfind('}')) + field + "}"))
            .software_version;
    };
    EXPECT_EQ(version(R"(,"version":"v1.2")"), "v1.2");
    EXPECT_EQ(version(""), "");
    for (std::string const value : {"2", "null", "true", "[]", "{}", R"("")", R"("v 1")",
                                    R"("v\n1")", R"("v\u00e9")"})
        EXPECT_EQ(version(",\"version\":" + value), "") << value;
    EXPECT_EQ(version(R"(,"version":")" + std::string(65, 'v') + '"'), "");
}

// Guards against a server that counts as warm because its row states no cold time.
TEST(server_codec_test, cold_time_that_a_row_lacks_is_unknown)
{
    auto const cold_left = [](std::string_view more)
    {
        auto text = std::string(good_server);
        text.insert(text.rfind('}'), more);
        return std::get<entry::backend_record>(decode_server("i-1", text)).cold_left;
    };
    EXPECT_EQ(cold_left(""), std::nullopt);
    EXPECT_EQ(cold_left(R"(,"cold_left_ms":0)"), duration::zero());
    EXPECT_EQ(cold_left(R"(,"cold_left_ms":1200)"), std::chrono::milliseconds(1200));
    EXPECT_EQ(cold_left(R"(,"cold_left_ms":-5)"), duration::zero());
    EXPECT_EQ(cold_left(R"(,"cold_left_ms":"soon")"), std::nullopt);
}

// Guards against mistaking the heartbeat count of a row for the order count of a report;
// both fields are named "seq".
TEST(server_codec_test, report_sequence_is_the_order_count)
{
    auto const read =
        decode_report("i-1", R"({"busy":true,"seq":5,"models":[],"pending":["m/a1@1"]})");
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(std::get<entry::runner_report>(read).order_count, 5);
    EXPECT_TRUE(std::get<entry::runner_report>(read).busy);
    EXPECT_FALSE(succeeded(decode_report("i-1", R"({"busy":true})")));
}

class request_codec_test : public testing::Test
{
protected:
    request_codec_test()
    {
        request_.method(http::verb::post);
        request_.target("/a/b?c=d");
        request_.set("Host", "h.example:80");
        request_.set("X-Request-Id", "id1");
        request_.set("Authorization", "Token k1");
        request_.set("X-Deadline-Ms", "15000");
        request_.set("X-Model", "m/a3");
        request_.set("X-Token-Count", "1460,80");
        request_.set("X-Prompt-Prefix", "5c:800,91:410,e4:250");
        request_.set("X-Tenant", "forged");
        request_.set("X-Hold", "forged");
        request_.set("Kv-From", "forged");
        request_.set("Connection", "keep-alive, X-Private");
        request_.set("X-Private", "1");
        request_.set("X-Other", "kept");
    }
    http::request_header<> request_;
};

TEST_F(request_codec_test, request_headers_are_decoded)
{
    auto const head = decode_request(request_);
    EXPECT_EQ(head.host, "h.example");
    EXPECT_EQ(head.path, "/a/b");
    EXPECT_EQ(head.key, "k1");
    EXPECT_EQ(head.model.model, "m");
    EXPECT_EQ(head.model.adapter, "a3");
    EXPECT_EQ(head.tokens, 1540);
    EXPECT_NE(head.affinity, 0U);
}

// Guards against crashes that are counted for the part that belongs to the request alone,
// or for none because of how the list is written.
TEST_F(request_codec_test, parts_of_the_prompt_but_the_last_are_shared)
{
    auto decode = [&](char const* prefix)
    {
        request_.set("X-Prompt-Prefix", prefix);
        return decode_request(request_).shared_parts;
    };
    using ids = std::vector<std::string>;
    EXPECT_EQ(decode("5c1e:800,91bd:410,e440:250"), (ids{"5c1e", "91bd"}));
    EXPECT_EQ(decode("5c1e:800 , 91bd:410"), ids{"5c1e"});
    EXPECT_EQ(decode("5c1e,91bd"), ids{"5c1e"});
    EXPECT_EQ(decode(",:5,91bd:410"), ids{});
    EXPECT_EQ(decode("5c1e:800"), ids{});
    EXPECT_EQ(decode(""), ids{});
}

// Guards against forwarding an API key, or a header that only carawayturn may set, to a
// backend server.
TEST_F(request_codec_test, attempt_carries_neither_key_nor_forged_headers)
{
    attempt_parameters parameters;
    parameters.server_id = "i-1";
    parameters.organisation = "t";
    parameters.time_left = std::chrono::milliseconds(900);
    auto const attempt = encode_attempt(request_, parameters);
    for (auto const* const name : {"Authorization", "X-Hold", "Kv-From", "X-Private"})
        EXPECT_EQ(attempt.find(name), attempt.end()) << name;
    EXPECT_EQ(attempt["X-Tenant"], "t");
    EXPECT_EQ(attempt["X-Expect-Instance"], "i-1");
    EXPECT_EQ(attempt["X-Deadline-Ms"], "900");
    EXPECT_EQ(attempt["X-Other"], "kept");
    EXPECT_EQ(attempt["X-Model"], "m/a3");
    EXPECT_EQ(attempt.target(), "/a/b?c=d");
}

TEST_F(request_codec_test, open_request_names_no_organisation)
{
    auto const attempt = encode_attempt(request_, {});
    EXPECT_EQ(attempt.find("X-Tenant"), attempt.end());
}

// Guards against treating an explicit statement that a request did not run as an unknown
// outcome, or an unknown outcome as such a statement.
TEST_F(request_codec_test, only_explicit_denials_count_as_not_run)
{
    http::response_header<> answer;
    answer.result(503);
    EXPECT_FALSE(decode_answer_metadata(answer).not_run);
    answer.set("X-Not-Executed", "1");
    EXPECT_TRUE(decode_answer_metadata(answer).not_run);
    http::response_header<> other;
    other.result(421);
    EXPECT_TRUE(decode_answer_metadata(other).not_run);
}

// Guards against a request that runs again although a server has answered it with a
// success.
TEST(answer_codec_test, success_that_denies_the_run_is_contradictory)
{
    http::response_header<> answer;
    answer.set("X-Not-Executed", "1");
    for (unsigned const status : {200U, 204U, 302U})
    {
        answer.result(status);
        EXPECT_FALSE(decode_answer_metadata(answer).not_run) << status;
        EXPECT_TRUE(decode_answer_metadata(answer).contradictory) << status;
    }
    for (unsigned const status : {400U, 429U, 503U})
    {
        answer.result(status);
        EXPECT_TRUE(decode_answer_metadata(answer).not_run) << status;
        EXPECT_FALSE(decode_answer_metadata(answer).contradictory) << status;
    }
}

// Guards against an answer to another request that is taken for this one's, because its
// first id is this one's.
TEST(answer_codec_test, answer_with_two_ids_is_reported)
{
    http::response_header<> answer;
    answer.set("X-Request-Id", "a");
    EXPECT_FALSE(decode_answer_metadata(answer).several_ids);
    answer.insert("X-Request-Id", "b");
    EXPECT_TRUE(decode_answer_metadata(answer).several_ids);
}

// Guards against treating a backend server as leaving because of a repeated or invalid
// Server-Leaving header.
TEST(server_notice_codec_test, only_a_single_leaving_header_with_value_1_counts)
{
    http::response_header<> answer;
    EXPECT_FALSE(decode_answer_metadata(answer).notice.leaving);
    answer.set("Server-Leaving", "1");
    EXPECT_TRUE(decode_answer_metadata(answer).notice.leaving);
    answer.insert("Server-Leaving", "1");
    EXPECT_FALSE(decode_answer_metadata(answer).notice.leaving);
    EXPECT_TRUE(decode_answer_metadata(answer).notice.malformed);
    answer.set("Server-Leaving", "0");
    EXPECT_FALSE(decode_answer_metadata(answer).notice.leaving);
    EXPECT_TRUE(decode_answer_metadata(answer).notice.malformed);
}

// Guards against a cold time that is read from a header without one.
TEST(server_notice_codec_test, cold_time_of_an_answer_is_decoded)
{
    http::response_header<> answer;
    EXPECT_FALSE(decode_answer_metadata(answer).notice.cold_left);
    answer.set("X-Cold-Ms", "soon");
    EXPECT_FALSE(decode_answer_metadata(answer).notice.cold_left);
    answer.set("X-Cold-Ms", "1500");
    EXPECT_EQ(decode_answer_metadata(answer).notice.cold_left,
              std::chrono::milliseconds(1500));
}

// Guards against pausing a backend server without a valid request for it, or for an
// unlimited time.
TEST(server_notice_codec_test, retry_after_of_a_503_is_clamped_to_ten_minutes)
{
    http::response_header<> answer;
    answer.result(200);
    answer.set("Retry-After", "5");
    EXPECT_FALSE(decode_answer_metadata(answer).notice.pause);
    answer.result(503);
    for (auto const& [text, pause] :
         {std::pair<char const*, duration>{"5", std::chrono::seconds(5)},
          {"0", duration::zero()},
          {"0.25", std::chrono::milliseconds(250)},
          {"86400000", std::chrono::minutes(10)},
          {"99999999999999999999999", std::chrono::minutes(10)}})
    {
        answer.set("Retry-After", text);
        EXPECT_EQ(decode_answer_metadata(answer).notice.pause, pause) << text;
        EXPECT_FALSE(decode_answer_metadata(answer).notice.malformed) << text;
    }
    for (auto const* text : {"", "-1", "soon", "Fri, 04 Dec 2026 14:00:00 GMT", "1e3",
                             "inf", "1.2.3", "5, 6"})
    {
        answer.set("Retry-After", text);
        EXPECT_FALSE(decode_answer_metadata(answer).notice.pause) << text;
        EXPECT_TRUE(decode_answer_metadata(answer).notice.malformed) << text;
    }
    answer.set("Retry-After", "5");
    answer.insert("Retry-After", "6");
    EXPECT_FALSE(decode_answer_metadata(answer).notice.pause);
}

// Guards against a caller who returns when told to and is refused again, because the time
// was rounded down.
TEST(caller_answer_codec_test, retry_after_is_rounded_up_to_hundredths_of_a_second)
{
    http::response_header<> answer;
    for (auto const& [time, text] :
         {std::pair<duration, char const*>{duration::zero(), "0.01"},
          {std::chrono::microseconds(1), "0.01"},
          {std::chrono::milliseconds(20), "0.02"},
          {std::chrono::microseconds(20001), "0.03"},
          {std::chrono::milliseconds(454), "0.46"},
          {std::chrono::milliseconds(460), "0.46"},
          {std::chrono::microseconds(999999), "1.00"},
          {std::chrono::milliseconds(1000), "1.00"},
          {std::chrono::milliseconds(12345), "12.35"}})
    {
        set_retry_after(answer, time);
        EXPECT_EQ(answer["Retry-After"], text);
    }
}

// Guards against records of streams that wait in the lease's part of the store, or that
// are read as rows of another part.
TEST(store_codec_test, row_changes_are_in_a_part_of_their_own)
{
    auto const call = encode_row_changes(
        {{store_table::streams, "k1", "v"}, {store_table::versions, "k2", std::nullopt}});
    EXPECT_EQ(call.target, "/rows-tx");
    EXPECT_EQ(
        call.body,
        R"({"expected":[],"writes":[{"table":"carawayturn_streams",)"
        R"("part":"streams","key":"k1","value":"dg=="}],)"
        R"("remove":[{"table":"carawayturn_versions","part":"streams","key":"k2"}]})");
    EXPECT_EQ(encode_row_read(store_table::streams, "k1").target,
              "/rows-get?table=carawayturn_streams&part=streams&from=k1&limit=1");
    constexpr std::string_view answer =
        R"({"rows":[{"part":"streams","key":"a"},{"part":"","key":"b"}]})";
    auto const rows = std::get<store_answer>(decode_store_answer(answer, "streams")).rows;
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows[0].key, "a");
}

// Guards against a version that a damaged row, or one of another writer, names.
TEST(store_codec_test, version_row_that_cannot_be_read_names_no_version)
{
    entry::server_version const version{"llm", "v1"};
    EXPECT_EQ(std::get<entry::server_version>(decode_version(encode_version(version))),
              version);
    for (std::string_view const value :
         {"", "x", "[]", "{}", R"({"service":"llm"})", R"({"service":1,"version":"v"})",
          R"({"service":"llm","version":null})"})
        EXPECT_FALSE(succeeded(decode_version(value))) << value;
    EXPECT_NE(version_key({"a", "bc"}), version_key({"ab", "c"}));
}

// Guards against overwriting another holder's lease.
TEST(store_codec_test, lease_write_expects_the_known_version)
{
    auto const call = encode_lease_write({"10.0.0.1:7600", "n", 5, 3}, 412);
    EXPECT_NE(call.body.find("\"row_version\":412"), std::string::npos);
    EXPECT_NE(call.body.find("\"expected\""), std::string::npos);
}

TEST(store_codec_test, lease_is_read_back_from_a_row)
{
    auto const call = encode_lease_write({"10.0.0.1:7600", "n", 5, 3}, 0);
    auto const begin = call.body.find("\"value\":\"") + 9;
    auto const value = call.body.substr(begin, call.body.find('"', begin) - begin);
    auto const answer =
        decode_store_answer(R"({"rows":[{"key":"hub","value":")" + value +
                            R"(","row_version":9}],"truncated":false,"row_version":12})");
    ASSERT_TRUE(succeeded(answer));
    auto const& rows = std::get<store_answer>(answer).rows;
    ASSERT_EQ(rows.size(), 1U);
    auto const lease = decode_lease(rows[0].value);
    ASSERT_TRUE(succeeded(lease));
    EXPECT_EQ(std::get<entry::lease_row>(lease).fence, 3U);
}

TEST(order_codec_test, statuses_are_translated)
{
    EXPECT_EQ(decode_order_status(202), entry::order_outcome::accepted);
    EXPECT_EQ(decode_order_status(409), entry::order_outcome::conflict);
    EXPECT_EQ(decode_order_status(421), entry::order_outcome::rejected);
    EXPECT_EQ(decode_order_status(500), entry::order_outcome::unknown);
}

// Guards against a pace that is lost or misread, and against a load that counts only if
// the server reports its pace.
TEST_F(request_codec_test, reported_load_has_a_pace_if_the_server_sends_one)
{
    http::response_header<> answer;
    auto const decode = [&answer](char const* text)
    {
        answer.set("X-Server-Load", text);
        return decode_answer_metadata(answer).load;
    };
    EXPECT_EQ(decode("3,2,8,150")->requests(), 5U);
    EXPECT_EQ(decode("3,2,8,150")->pace, 1.5);
    EXPECT_EQ(decode("3, 2, 8, 80")->pace, 0.8);
    EXPECT_EQ(decode("3,2,8")->requests(), 5U);
    for (auto const* const text : {"3,2", "3,2,8", "3,2,8,", "3,2,8,x", "3,2,8,0"})
        EXPECT_FALSE(decode(text)->pace) << text;
    for (auto const* const text : {"", "3", "x,2,8,100"})
        EXPECT_FALSE(decode(text)) << text;
}

} // namespace
} // namespace carawayturn::platform
