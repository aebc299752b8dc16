#include "app/core_adapter.hpp"
#include "app/settings.hpp"
#include "transport/instance_server.hpp"

#include "transport/transport_fakes.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <sstream>
#include <thread>

namespace carawayturn
{
namespace
{

using namespace std::chrono_literals;

/// Time in which a drain without any request ends, with room for a busy machine: the
/// notice and half a second for the last writes.
constexpr auto idle_drain_limit = 5s;

/// Drains an instance with its real core; it has no table and no backend servers.
class instance_drain_test : public testing::Test
{
protected:
    void start(std::chrono::milliseconds notice, std::chrono::milliseconds limit)
    {
        core_settings settings;
        settings.identity.id = instance_id("entry-0");
        settings.identity.incarnation = 1;
        settings.drain = {notice, limit};
        server_ = std::get<0>(instance_server::create({}, log_));
        server_->start(make_instance_core(settings));
    }

    void begin_drain()
    {
        drain_began_ = std::chrono::steady_clock::now();
        server_->drain();
        // As in carawayturnd, the instance ends as soon as it has drained.
        drained_ = std::async(std::launch::async,
                              [this]
                              {
                                  server_->wait_until_drained();
                                  auto const passed =
                                      std::chrono::steady_clock::now() - drain_began_;
                                  server_.reset();
                                  return passed;
                              });
    }

    std::ostringstream log_text_;
    event_log log_{"entry-0", log_level::debug, log_text_};
    std::unique_ptr<instance_server> server_;
    std::chrono::steady_clock::time_point drain_began_;
    std::future<std::chrono::steady_clock::duration> drained_;
};

std::string const request_text =
    message("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1",
            R"({"model":"base","messages":[{"role":"user","content":"hi"}]})");
std::string const request_beginning = request_text.substr(0, request_text.size() - 1);
std::string const request_last_byte = request_text.substr(request_text.size() - 1);

/// The core's answer to every whole request while it has no configuration.
constexpr std::string_view answer_code = "\"route_unknown\"";

// Guards against a request that is closed without an answer because nothing was open
// before its last byte arrived.
TEST_F(instance_drain_test, request_completed_after_notice_is_answered)
{
    start(500ms, 8s);
    auto caller = test_connection::to(server_->caller_port());
    caller.send(request_beginning);
    begin_drain();
    std::this_thread::sleep_for(1500ms);
    caller.send(request_last_byte);
    auto const answer = caller.read_message();
    EXPECT_NE(answer.find(answer_code), std::string::npos) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_LT(drained_.get(), 8s);
}

// Guards against a request that begins while the last writes of the drain are on their
// way, and is closed without an answer at their end.
TEST_F(instance_drain_test, request_begun_during_last_writes_is_answered)
{
    start(0ms, 8s);
    auto caller = test_connection::to(server_->caller_port());
    begin_drain();
    std::this_thread::sleep_for(250ms);
    caller.send(request_beginning);
    std::this_thread::sleep_for(1s);
    caller.send(request_last_byte);
    auto const answer = caller.read_message();
    EXPECT_NE(answer.find(answer_code), std::string::npos) << answer;
    EXPECT_LT(drained_.get(), 8s);
}

// Guards against a caller that never completes its request and holds up the process, and
// against closing its connection without an answer.
TEST_F(instance_drain_test, request_incomplete_at_drain_limit_is_refused)
{
    start(0ms, 1500ms);
    auto caller = test_connection::to(server_->caller_port());
    caller.send(request_beginning);
    begin_drain();
    auto const answer = caller.read_message();
    EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("\"draining\""), std::string::npos) << answer;
    auto const passed = drained_.get();
    EXPECT_GE(passed, 1500ms);
    EXPECT_LT(passed, 1500ms + idle_drain_limit);
}

// Guards against kept connections without a request, which callers leave open for long,
// that hold up the end of the process.
TEST_F(instance_drain_test, idle_connections_do_not_delay_end)
{
    start(100ms, 60s);
    auto const unused = test_connection::to(server_->caller_port());
    auto kept = test_connection::to(server_->caller_port());
    kept.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_NE(kept.read_message().find("200 OK"), std::string::npos);
    begin_drain();
    EXPECT_LT(drained_.get(), idle_drain_limit);
}

} // namespace
} // namespace carawayturn
