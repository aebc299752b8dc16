#include "transport_fakes.hpp"

#include "transport/instance_server.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace carawayturn
{
namespace
{

std::string const chat_body =
    R"({"model":"base","messages":[{"role":"user","content":"hi"}]})";
std::string const stream_body =
    R"({"model":"base","stream":true,"messages":[{"role":"user","content":"hi"}]})";

std::string chat_request_text(std::string const& id, std::string const& body = chat_body)
{
    return message("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                   "Authorization: Bearer secret-key\r\nConnection: X-Hop\r\n"
                   "X-Hop: 1\r\nX-Request-Id: " +
                       id,
                   body);
}

class request_path_test : public testing::Test
{
protected:
    request_path_test()
    {
        listed_instance backend;
        backend.id = "runner-1";
        backend.kind = "runner";
        backend.address = {"127.0.0.1", backend_.port()};
        script_->respond = [this](event const& input) { return respond(input); };
        settings_.caller_limits.max_body_bytes = 1000;
        settings_.caller_limits.max_header_bytes = 1000;
        server_ = std::get<0>(instance_server::create(settings_, log_));
        server_->addresses().replace({backend});
        server_->start(std::make_unique<scripted_core>(script_));
    }

    /// Dispatches each request at once as attempt 1.
    actions respond(event const& input)
    {
        if (override_)
        {
            if (auto done = override_(input); !done.empty())
                return done;
        }
        if (auto const* const arrived = std::get_if<request_arrived>(&input))
            return {attempt(arrived->request.id, 1)};
        return {};
    }

    [[nodiscard]] dispatch_request attempt(request_id const& id, std::uint32_t number,
                                           std::uint64_t offset = 0) const
    {
        return {id, number, backend_id("runner-1"), offset, 10, keep_answer_};
    }

    [[nodiscard]] test_connection call(std::string const& text) const
    {
        auto connection = test_connection::to(server_->caller_port());
        connection.send(text);
        return connection;
    }

    std::ostringstream log_text_;
    event_log log_{"entry", log_level::debug, log_text_};
    bool keep_answer_ = false;
    std::function<actions(event const&)> override_;
    server_settings settings_;
    test_listener backend_;
    std::shared_ptr<core_script> script_ = std::make_shared<core_script>();
    std::unique_ptr<instance_server> server_;
};

// Guards against a key, or a header of one hop, that reaches a backend server.
TEST_F(request_path_test, request_with_key_reaches_backend_without_it)
{
    auto caller = call(chat_request_text("r1"));
    auto backend = backend_.accept();
    auto const request = backend.read_message();
    EXPECT_EQ(request.find("secret"), std::string::npos);
    EXPECT_EQ(request.find("Authorization"), std::string::npos);
    EXPECT_EQ(request.find("X-Hop"), std::string::npos);
    EXPECT_NE(request.find("X-Request-Id: r1"), std::string::npos);
    EXPECT_NE(request.find(chat_body), std::string::npos);
    backend.send(message("HTTP/1.1 200 OK", R"({"usage":{"total_tokens":7}})"));
    auto const answer = caller.read_message();
    EXPECT_NE(answer.find("200 OK"), std::string::npos);
    EXPECT_NE(answer.find("total_tokens"), std::string::npos);
    auto const arrived = script_->wait_for<request_arrived>();
    EXPECT_EQ(arrived.request.key, sha256("secret-key"));
    auto const ended = script_->wait_for<dispatch_ended>();
    EXPECT_EQ(ended.outcome, dispatch_outcome::completed);
    EXPECT_EQ(ended.tokens_used, 7);
}

} // namespace
} // namespace carawayturn
