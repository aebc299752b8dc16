#include "transport_fakes.hpp"

#include "state/config_text.hpp"
#include "transport/instance_server.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace carawayturn
{
namespace
{

class admin_server_test : public testing::Test
{
protected:
    admin_server_test()
    {
        server_settings settings;
        settings.admin.operator_token = "operator token";
        script_->respond = [this](event const& input) { return respond(input); };
        server_ = std::get<0>(instance_server::create(settings, log_));
        server_->start(std::make_unique<scripted_core>(script_));
    }

    actions respond(event const& input)
    {
        if (auto const* const submitted = std::get_if<change_submitted>(&input))
        {
            answer_.operation = submitted->operation;
            return {answer_};
        }
        if (std::holds_alternative<drain_requested>(input))
            return {drain_finished{}};
        return {};
    }

    [[nodiscard]] std::string call(std::string const& line, std::string const& body = "",
                                   std::string const& token = "operator token") const
    {
        auto connection = test_connection::to(server_->admin_port());
        connection.send(message(
            line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token, body));
        return connection.read_message();
    }

    static std::string submission()
    {
        return R"({"operation":"op-9","expected":4,"change":)" +
               print_change(remove_adapter{adapter_id("notes")}) + "}";
    }

    answer_submission answer_;
    std::ostringstream log_text_;
    event_log log_{"entry", log_level::debug, log_text_};
    std::shared_ptr<core_script> script_ = std::make_shared<core_script>();
    std::unique_ptr<instance_server> server_;
};

// Guards against operators' calls by anyone who reaches the port.
TEST_F(admin_server_test, call_without_right_token_is_refused)
{
    EXPECT_NE(call("POST /admin/drain", "", "wrong").find("401 "), std::string::npos);
    EXPECT_NE(call("GET /admin/state", "", "").find("401 "), std::string::npos);
    EXPECT_EQ(script_->count<drain_requested>(), 0U);
}

TEST_F(admin_server_test, accepted_change_is_answered_with_its_version)
{
    answer_.version = 5;
    answer_.accepted = true;
    auto const answer = call("POST /admin/changes", submission());
    EXPECT_NE(answer.find("200 OK"), std::string::npos);
    EXPECT_NE(answer.find("\"version\":5"), std::string::npos);
    auto const raised = script_->wait_for<change_submitted>();
    EXPECT_EQ(raised.operation, operation_id("op-9"));
    EXPECT_EQ(raised.expected, 4U);
}

TEST_F(admin_server_test, racing_change_is_answered_with_conflict)
{
    answer_.failure = error{error_code::conflict, "config.commit", "", "version is 6"};
    EXPECT_NE(call("POST /admin/changes", submission()).find("409 Conflict"),
              std::string::npos);
}

TEST_F(admin_server_test, malformed_change_names_its_field)
{
    auto const answer = call("POST /admin/changes", R"({"change":1,"colour":2})");
    EXPECT_NE(answer.find("400 Bad Request"), std::string::npos);
    EXPECT_NE(answer.find("colour"), std::string::npos);
}

TEST_F(admin_server_test, state_and_explanation_come_from_core)
{
    EXPECT_TRUE(call("GET /admin/state").ends_with(R"({"state":"scripted"})"));
    EXPECT_TRUE(call("GET /admin/explain/known").ends_with(R"({"request":"known"})"));
    EXPECT_NE(call("GET /admin/explain/other").find("404 "), std::string::npos);
    EXPECT_NE(call("GET /admin/nothing").find("404 "), std::string::npos);
    EXPECT_NE(call("GET /admin/drain").find("405 "), std::string::npos);
}

TEST_F(admin_server_test, drain_ends_when_core_has_finished)
{
    EXPECT_NE(call("POST /admin/drain").find("202 Accepted"), std::string::npos);
    server_->wait_until_drained();
    EXPECT_EQ(script_->count<drain_requested>(), 1U);
}

} // namespace
} // namespace carawayturn
