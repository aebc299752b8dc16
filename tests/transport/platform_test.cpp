#include "transport_fakes.hpp"

#include "transport/duty_thread.hpp"
#include "transport/http_client.hpp"
#include "transport/platform.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace carawayturn
{
namespace
{

class platform_test : public testing::Test
{
protected:
    platform_test()
    {
        loop_.start(std::make_unique<scripted_core>(script_), sink_);
        thread_.start();
        listed_instance runner;
        runner.id = "runner-1";
        runner.kind = "runner";
        runner.address = {"127.0.0.1", server_.port()};
        addresses_.replace({runner});
    }
    ~platform_test() override
    {
        loop_.stop();
        thread_.stop();
        connections_.clear();
    }

    [[nodiscard]] endpoint server() const { return {"127.0.0.1", server_.port()}; }

    void make_table(duration timeout)
    {
        table_ = make_http_table({server(), timeout}, parts_);
    }

    static table_commit some_commit()
    {
        return {operation_id("op-1"), {}, {{"key", "value"}}};
    }

    static engine_order some_order()
    {
        engine_order order;
        order.decision = decision_id("d1");
        order.backend = backend_id("runner-1");
        order.item.model = model_id("base");
        return order;
    }

    test_listener server_;
    std::ostringstream log_text_;
    event_log log_{"entry", log_level::debug, log_text_};
    std::shared_ptr<core_script> script_ = std::make_shared<core_script>();
    no_actions sink_;
    core_loop loop_{64};
    duty_thread thread_;
    connection_pool connections_{thread_.executor(), 4, log_};
    address_book addresses_;
    platform_parts parts_{thread_, connections_, loop_, log_, addresses_};
    std::unique_ptr<table_service> table_;
    std::unique_ptr<engine_orders> orders_;
    std::unique_ptr<report_poller> reports_;
    std::unique_ptr<instance_list> list_;
};

TEST_F(platform_test, commit_answered_raises_its_outcome)
{
    make_table(std::chrono::seconds(60));
    table_->commit(some_commit());
    auto connection = server_.accept();
    EXPECT_NE(connection.read_message().find("\"op\":\"op-1\""), std::string::npos);
    connection.send(
        message("HTTP/1.1 200 OK",
                R"({"committed":true,"versions":[{"key":"key","version":3}]})"));
    auto const answer = script_->wait_for<table_answered>();
    EXPECT_EQ(answer.operation, operation_id("op-1"));
    EXPECT_TRUE(std::holds_alternative<committed>(answer.outcome));
}

// Guards against a lost answer that is taken for a write that did not happen.
TEST_F(platform_test, commit_whose_answer_is_lost_is_unknown)
{
    make_table(std::chrono::seconds(60));
    table_->commit(some_commit());
    server_.accept().read_message();
    auto const answer = script_->wait_for<table_answered>();
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(answer.outcome));
}

// Guards against bytes of a table service that are believed though they are no answer.
TEST_F(platform_test, commit_with_malformed_answer_is_unknown)
{
    make_table(std::chrono::seconds(60));
    auto const answer =
        message("HTTP/1.1 200 OK",
                R"({"committed":true,"versions":[{"key":"key","version":3}]})");
    std::size_t commits = 0;
    for (std::string const head : {"HTTP/1.1 000 Said\r\n\r\n", "HTTP/1.1 700 Said\r\n",
                                   "HTTP/1.1 200 OK\r\nX Ab: 1\r\n"})
    {
        table_->commit(some_commit());
        auto connection = server_.accept();
        connection.read_message();
        connection.send(head + answer);
        auto const answered = script_->wait_for<table_answered>(++commits);
        EXPECT_TRUE(std::holds_alternative<outcome_unknown>(answered.outcome)) << head;
        EXPECT_TRUE(connection.read_to_end());
    }
}

TEST_F(platform_test, commit_answered_after_timeout_is_unknown_and_not_raised_again)
{
    make_table(std::chrono::milliseconds(300));
    table_->commit(some_commit());
    auto connection = server_.accept();
    connection.read_message();
    auto const answer = script_->wait_for<table_answered>();
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(answer.outcome));
    connection.send(message("HTTP/1.1 200 OK", R"({"committed":true,"versions":[]})"));
    EXPECT_TRUE(connection.read_to_end());
    EXPECT_EQ(script_->count<table_answered>(), 1U);
}

TEST_F(platform_test, commit_to_refusing_table_is_unavailable)
{
    make_table(std::chrono::seconds(60));
    server_.close();
    table_->commit(some_commit());
    auto const answer = script_->wait_for<table_answered>();
    EXPECT_TRUE(std::holds_alternative<table_unavailable>(answer.outcome));
}

// Guards against an order that leaves after the lease has lapsed.
TEST_F(platform_test, order_forbidden_by_core_is_not_delivered)
{
    script_->orders_allowed = false;
    orders_ = make_http_engine_orders({}, parts_);
    orders_->send(some_order());
    auto connection = server_.accept();
    EXPECT_EQ(connection.read_message(), "");
    EXPECT_EQ(script_->wait_for<order_answered>().outcome, order_result::not_delivered);
}

TEST_F(platform_test, order_whose_answer_is_lost_is_unknown)
{
    orders_ = make_http_engine_orders({}, parts_);
    orders_->send(some_order());
    EXPECT_TRUE(server_.accept().read_message().starts_with("POST /v1/orders "));
    EXPECT_EQ(script_->wait_for<order_answered>().outcome, order_result::unknown);
}

TEST_F(platform_test, order_done_raises_result_and_incarnation)
{
    orders_ = make_http_engine_orders({}, parts_);
    orders_->send(some_order());
    auto connection = server_.accept();
    connection.read_message();
    connection.send(message("HTTP/1.1 200 OK", R"({"result":"done","incarnation":7})"));
    auto const answer = script_->wait_for<order_answered>();
    EXPECT_EQ(answer.outcome, order_result::done);
    EXPECT_EQ(answer.incarnation, 7U);
}

TEST_F(platform_test, three_failed_polls_raise_unreachable)
{
    report_settings fast;
    fast.interval = std::chrono::milliseconds(1);
    fast.timeout = std::chrono::seconds(60);
    reports_ = make_http_report_poller(fast, parts_);
    reports_->start();
    for (int poll = 0; poll < 3; ++poll)
    {
        EXPECT_EQ(script_->count<backend_unreachable>(), 0U);
        server_.accept().read_message();
    }
    EXPECT_EQ(script_->wait_for<backend_unreachable>().backend, backend_id("runner-1"));
}

TEST_F(platform_test, list_fills_address_book_and_registers_instance)
{
    list_settings settings;
    settings.address = server();
    settings.interval = std::chrono::milliseconds(1);
    settings.timeout = std::chrono::seconds(60);
    settings.self.id = "entry-1";
    settings.self.kind = "entry";
    list_ = make_http_instance_list(settings, parts_);
    list_->start();
    auto connection = server_.accept();
    EXPECT_TRUE(connection.read_message().starts_with("GET /v1/instances "));
    connection.send(message(
        "HTTP/1.1 200 OK",
        R"({"instances":[{"id":"runner-2","kind":"runner","service":"chat","host":"127.0.0.1",)"
        R"("port":9,"peer_port":0,"failure_domain":"a","state":"live","incarnation":1}]})"));
    EXPECT_EQ(script_->wait_for<instances_listed>().instances.size(), 1U);
    EXPECT_TRUE(addresses_.find(backend_id("runner-2")).has_value());
    auto const registration = connection.read_message();
    EXPECT_TRUE(registration.starts_with("POST /v1/register "));
    EXPECT_NE(registration.find("\"id\":\"entry-1\""), std::string::npos);
}

} // namespace
} // namespace carawayturn
