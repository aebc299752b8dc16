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

    /// Refuses requests whose attempt has ended, without a word on whether they have run.
    void refuse_after_attempt()
    {
        override_ = [](event const& input) -> actions
        {
            auto const* const ended = std::get_if<dispatch_ended>(&input);
            if (ended == nullptr)
                return {};
            refusal reason;
            reason.code = refusal_code::backend_failed;
            reason.ran = execution::unknown;
            return {refuse_request{ended->request, reason}};
        };
    }

    [[nodiscard]] dispatch_request attempt(request_id const& id, std::uint32_t number,
                                           std::uint64_t offset = 0) const
    {
        return {id, number, backend_id("runner-1"), offset, 10, keep_answer_};
    }

    /// Connects and sends. The first call starts the server, so that a test can set its
    /// script before the core thread reads it.
    [[nodiscard]] test_connection call(std::string const& text)
    {
        if (!std::exchange(started_, true))
            server_->start(std::make_unique<scripted_core>(script_));
        auto connection = test_connection::to(server_->caller_port());
        connection.send(text);
        return connection;
    }

    std::ostringstream log_text_;
    event_log log_{"entry", log_level::debug, log_text_};
    bool started_ = false;
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

// Guards against a late answer of a replaced attempt that reaches the caller.
TEST_F(request_path_test, answer_of_replaced_attempt_is_discarded)
{
    override_ = [this](event const& input) -> actions
    {
        auto const* const started = std::get_if<dispatch_started>(&input);
        if (started != nullptr && started->attempt == 1)
            return {attempt(started->request, 2)};
        return {};
    };
    auto caller = call(chat_request_text("r1"));
    auto first = backend_.accept();
    first.read_message();
    auto second = backend_.accept();
    second.read_message();
    first.send(message("HTTP/1.1 200 OK", "late"));
    script_->wait_for<dispatch_ended>();
    second.send(message("HTTP/1.1 200 OK", "right"));
    EXPECT_TRUE(caller.read_message().ends_with("right"));
}

// Guards against a connection with an unread answer that serves the next caller.
TEST_F(request_path_test, second_request_after_cancel_uses_fresh_connection)
{
    override_ = [](event const& input) -> actions
    {
        if (auto const* const gone = std::get_if<caller_gone>(&input))
            return {cancel_dispatch{gone->request, 1}};
        return {};
    };
    auto first_caller = call(chat_request_text("r1"));
    auto first = backend_.accept();
    first.read_message();
    first_caller.close();
    // The engine is told on a connection of its own, and the old one is closed.
    auto cancel = backend_.accept();
    EXPECT_TRUE(cancel.read_message().starts_with("DELETE /v1/requests/r1 "));
    EXPECT_EQ(script_->wait_for<caller_gone>().request, request_id("r1"));
    EXPECT_EQ(script_->wait_for<dispatch_ended>().outcome, dispatch_outcome::cancelled);
    first.send(message("HTTP/1.1 200 OK", "first caller's"));
    EXPECT_TRUE(first.read_to_end());
    auto second_caller = call(chat_request_text("r2"));
    auto second = backend_.accept();
    EXPECT_NE(second.read_message().find("X-Request-Id: r2"), std::string::npos);
    second.send(message("HTTP/1.1 200 OK", "second caller's"));
    EXPECT_TRUE(second_caller.read_message().ends_with("second caller's"));
}

TEST_F(request_path_test, whole_answer_lets_connection_be_reused)
{
    auto caller = call(chat_request_text("r1"));
    auto backend = backend_.accept();
    backend.read_message();
    backend.send(message("HTTP/1.1 200 OK", "one"));
    EXPECT_TRUE(caller.read_message().ends_with("one"));
    script_->wait_for<dispatch_ended>();
    caller.send(chat_request_text("r2"));
    EXPECT_NE(backend.read_message().find("X-Request-Id: r2"), std::string::npos);
    backend.send(message("HTTP/1.1 200 OK", "two"));
    EXPECT_TRUE(caller.read_message().ends_with("two"));
}

std::string const stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
// Two events of 9 bytes and the beginning of a third one.
std::string const two_events_and_a_half = "16\r\ndata: a\n\ndata: b\n\ndata\r\n";

// Guards against a caller that takes a broken stream for a whole one, or sees an event
// twice or in part after a resume.
TEST_F(request_path_test, broken_stream_is_resumed_at_its_offset_then_fails_visibly)
{
    override_ = [this](event const& input) -> actions
    {
        auto const* const ended = std::get_if<dispatch_ended>(&input);
        if (ended == nullptr)
            return {};
        if (ended->attempt == 1)
            return {attempt(ended->request, 2, ended->offset)};
        refusal reason;
        reason.code = refusal_code::backend_failed;
        reason.ran = execution::unknown;
        return {refuse_request{ended->request, reason}};
    };
    auto caller = call(chat_request_text("r1", stream_body));
    {
        auto first = backend_.accept();
        first.read_message();
        first.send(stream_head + two_events_and_a_half);
        EXPECT_NE(caller.read_until("data: b\n\n").find("data: a\n\n"),
                  std::string::npos);
    }
    auto second = backend_.accept();
    EXPECT_NE(second.read_message().find("X-Resume-Offset: 2"), std::string::npos);
    second.send(stream_head + "9\r\ndata: c\n\n\r\n");
    auto const resumed = caller.read_until("data: c\n\n");
    EXPECT_EQ(resumed.find("data: b"), std::string::npos);
    second.close();
    auto const rest = caller.read_until("0\r\n\r\n");
    EXPECT_NE(rest.find("event: error\ndata: "), std::string::npos);
    EXPECT_NE(rest.find("backend_failed"), std::string::npos);
    EXPECT_EQ(script_->wait_for<dispatch_ended>(2).outcome, dispatch_outcome::broken);
    EXPECT_EQ(script_->wait_for<dispatch_ended>(2).offset, 3U);
}

TEST_F(request_path_test, caller_that_hangs_up_during_stream_cancels_at_engine)
{
    override_ = [](event const& input) -> actions
    {
        if (auto const* const gone = std::get_if<caller_gone>(&input))
            return {cancel_dispatch{gone->request, 1}};
        return {};
    };
    auto caller = call(chat_request_text("r1", stream_body));
    auto backend = backend_.accept();
    backend.read_message();
    backend.send(stream_head + "9\r\ndata: a\n\n\r\n");
    caller.read_until("data: a\n\n");
    caller.close();
    EXPECT_TRUE(backend_.accept().read_message().starts_with("DELETE /v1/requests/r1 "));
    EXPECT_TRUE(backend.read_to_end());
}

TEST_F(request_path_test, refused_connection_ends_as_not_sent)
{
    override_ = [](event const& input) -> actions
    {
        auto const* const ended = std::get_if<dispatch_ended>(&input);
        if (ended == nullptr)
            return {};
        refusal reason;
        reason.code = refusal_code::backend_unavailable;
        reason.retry_after = std::chrono::milliseconds(1200);
        return {refuse_request{ended->request, reason},
                refuse_request{ended->request, reason}};
    };
    backend_.close();
    auto caller = call(chat_request_text("r1"));
    auto const answer = caller.read_message();
    EXPECT_NE(answer.find("503 Service Unavailable"), std::string::npos);
    EXPECT_NE(answer.find("Retry-After: 2\r\n"), std::string::npos);
    EXPECT_NE(answer.find("\"ran\":\"not-run\""), std::string::npos);
    EXPECT_EQ(script_->wait_for<dispatch_ended>().outcome, dispatch_outcome::not_sent);
    EXPECT_EQ(script_->count<dispatch_started>(), 0U);
    // The second refusal of the same request must not answer the next one.
    caller.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(caller.read_message().ends_with("ok\n"));
}

TEST_F(request_path_test, broken_answer_is_not_shown_and_reported_as_broken)
{
    refuse_after_attempt();
    auto caller = call(chat_request_text("r1"));
    {
        auto backend = backend_.accept();
        backend.read_message();
        backend.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf an answer");
    }
    auto const answer = caller.read_message();
    EXPECT_NE(answer.find("502 Bad Gateway"), std::string::npos);
    EXPECT_EQ(answer.find("half an answer"), std::string::npos);
    EXPECT_EQ(script_->wait_for<dispatch_ended>().outcome, dispatch_outcome::broken);
}

// Guards against bytes that are no answer and reach the caller as one.
TEST_F(request_path_test, malformed_answer_is_not_shown_and_reported_as_broken)
{
    refuse_after_attempt();
    std::size_t requests = 0;
    for (std::string const head :
         {"HTTP/1.1 000 Said", "HTTP/1.1 099 Said", "HTTP/1.1 600 Said",
          "HTTP/1.1 999 Said", "HTTP/2.0 200 OK", "HTTP/1.1 200 OK\r\nX Ab: forged",
          "HTTP/1.1 200 OK\r\nX-A\x01: forged", "HTTP/1.1 200 OK\nX-Ab: forged"})
    {
        auto caller = call(chat_request_text("r" + std::to_string(++requests)));
        auto backend = backend_.accept();
        backend.read_message();
        backend.send(message(head, "forged") + message("HTTP/1.1 200 OK", "forged"));
        auto const answer = caller.read_message();
        EXPECT_NE(answer.find("502 Bad Gateway"), std::string::npos) << head;
        EXPECT_NE(answer.find("\"ran\":\"unknown\""), std::string::npos) << head;
        EXPECT_EQ(answer.find("forged"), std::string::npos) << head;
        EXPECT_EQ(script_->wait_for<dispatch_ended>(requests).outcome,
                  dispatch_outcome::broken);
        EXPECT_TRUE(backend.read_to_end());
    }
    server_.reset();
    EXPECT_NE(log_text_.str().find("answer_malformed"), std::string::npos);
    EXPECT_NE(log_text_.str().find("status out of range: HTTP/1.1 000 Said"),
              std::string::npos);
}

// Guards against the same at the head of a stream.
TEST_F(request_path_test, malformed_head_of_stream_is_not_shown)
{
    refuse_after_attempt();
    auto caller = call(chat_request_text("r1", stream_body));
    auto backend = backend_.accept();
    backend.read_message();
    backend.send("HTTP/1.1 000 Said\r\nContent-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n");
    EXPECT_NE(caller.read_message().find("502 Bad Gateway"), std::string::npos);
    EXPECT_EQ(script_->wait_for<dispatch_ended>().outcome, dispatch_outcome::broken);
}

// Guards against an informational answer that reaches the caller as the final one.
TEST_F(request_path_test, informational_answer_is_skipped)
{
    auto caller = call(chat_request_text("r1"));
    auto backend = backend_.accept();
    backend.read_message();
    backend.send("HTTP/1.1 100 Continue\r\n\r\n");
    backend.send("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                 message("HTTP/1.1 201 Created", "final"));
    auto const answer = caller.read_message();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 201 ")) << answer;
    EXPECT_EQ(answer.find("Link"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("final"));
    EXPECT_EQ(script_->wait_for<dispatch_ended>().outcome, dispatch_outcome::completed);
}

// Guards against a server that is read without end.
TEST_F(request_path_test, informational_answers_beyond_their_limit_end_the_attempt)
{
    refuse_after_attempt();
    auto caller = call(chat_request_text("r1"));
    auto backend = backend_.accept();
    backend.read_message();
    std::string const hint = "HTTP/1.1 102 Processing\r\n\r\n";
    for (std::size_t sent = 0; sent <= std::size_t{64} * 1024; sent += hint.size())
        backend.send(hint);
    EXPECT_NE(caller.read_message().find("502 Bad Gateway"), std::string::npos);
    EXPECT_EQ(script_->wait_for<dispatch_ended>().outcome, dispatch_outcome::broken);
}

// Guards against a check that rejects what the protocol allows.
TEST_F(request_path_test, unusual_status_and_field_are_passed_on)
{
    std::size_t requests = 0;
    for (std::string const status : {"299", "418", "599"})
    {
        auto caller = call(chat_request_text("r" + std::to_string(++requests)));
        auto backend = backend_.accept();
        backend.read_message();
        backend.send(message("HTTP/1.1 " + status +
                                 " Said\r\nConnection: close\r\n"
                                 "!#$%&'*+-.^_`|~: \xff",
                             "own"));
        auto const answer = caller.read_message();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + status)) << answer;
        EXPECT_NE(answer.find("!#$%&'*+-.^_`|~: \xff"), std::string::npos);
        EXPECT_TRUE(answer.ends_with("own"));
    }
}

// Guards against a stream that its connection has cut and that is taken for complete
// because the server omits its Content-Type.
TEST_F(request_path_test, unframed_stream_without_its_last_event_is_broken)
{
    std::string const events = "HTTP/1.1 200 OK\r\n\r\ndata: {\"a\":1}\n\n";
    auto const cut_caller = call(chat_request_text("r1", stream_body));
    {
        auto backend = backend_.accept();
        backend.read_message();
        backend.send(events + "dat");
    }
    EXPECT_EQ(script_->wait_for<dispatch_ended>().outcome, dispatch_outcome::broken);
    auto const caller = call(chat_request_text("r2", stream_body));
    {
        auto backend = backend_.accept();
        backend.read_message();
        backend.send(events + "data: [DONE]\n\n");
    }
    EXPECT_EQ(script_->wait_for<dispatch_ended>(2).outcome, dispatch_outcome::completed);
}

std::string const one_event = "data: {\"a\":1}\n\n";
std::string const last_event = "data: [DONE]\n\n";

/// Returns an answer with this body in one chunk, and the last chunk.
std::string chunked(std::string const& head, std::string const& body)
{
    std::ostringstream size;
    size << std::hex << body.size();
    return head + "\r\nTransfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body +
           "\r\n0\r\n\r\n";
}

// Guards against a chat stream that a server ends properly, but before its last event,
// and that reaches the caller as complete.
TEST_F(request_path_test, framed_stream_without_its_last_event_is_broken)
{
    refuse_after_attempt();
    std::string const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream";
    std::size_t requests = 0;
    for (std::string const& begun :
         {one_event, std::string(), one_event + ": comment\n\n",
          std::string("data: {\"text\":\"data: [DONE]\"}\n\n")})
        for (auto const& answer : {chunked(head, begun), message(head, begun)})
        {
            auto caller =
                call(chat_request_text("r" + std::to_string(++requests), stream_body));
            auto backend = backend_.accept();
            backend.read_message();
            backend.send(answer);
            EXPECT_EQ(script_->wait_for<dispatch_ended>(requests).outcome,
                      dispatch_outcome::broken)
                << answer;
            EXPECT_NE(caller.read_until("0\r\n\r\n").find("event: error\ndata: "),
                      std::string::npos)
                << answer;
        }
}

// Guards against the same where the server omits the Content-Type, so that the answer is
// read as a whole.
TEST_F(request_path_test, framed_stream_without_a_type_and_last_event_is_broken)
{
    refuse_after_attempt();
    std::size_t requests = 0;
    for (std::string const head :
         {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nContent-Type: "})
        for (std::string const& begun :
             {one_event, one_event + "data: [DO",
              std::string("data: {\"text\":\"data: [DONE]\"}\n\n")})
            for (auto const& answer : {chunked(head, begun), message(head, begun)})
            {
                auto caller = call(
                    chat_request_text("r" + std::to_string(++requests), stream_body));
                auto backend = backend_.accept();
                backend.read_message();
                backend.send(answer);
                EXPECT_EQ(script_->wait_for<dispatch_ended>(requests).outcome,
                          dispatch_outcome::broken)
                    << answer;
                EXPECT_TRUE(caller.read_message().starts_with("HTTP/1.1 502 ")) << answer;
            }
}

// Guards against a cut stream that is kept and returned to every repeat of its request.
TEST_F(request_path_test, kept_stream_without_its_last_event_is_broken)
{
    keep_answer_ = true;
    refuse_after_attempt();
    auto caller = call(chat_request_text("r1", stream_body));
    auto backend = backend_.accept();
    backend.read_message();
    backend.send(
        chunked("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream", one_event));
    auto const ended = script_->wait_for<dispatch_ended>();
    EXPECT_EQ(ended.outcome, dispatch_outcome::broken);
    EXPECT_FALSE(ended.answer);
}

// Guards against the refusal of a stream that is complete, and of answers that are no
// chat stream, which end as their framing says.
TEST_F(request_path_test, complete_framed_answers_reach_the_caller)
{
    std::string const ok = "HTTP/1.1 200 OK";
    std::string const stream = ok + "\r\nContent-Type: text/event-stream";
    std::string const service = "POST /notes HTTP/1.1\r\nHost: x\r\nX-Request-Id: ";
    std::vector<std::pair<bool, std::string>> const answers{
        {true, chunked(stream, one_event + last_event)},
        {true, message(stream, one_event + "data:[DONE]\r\n\r\n")},
        {true, chunked(ok, one_event + last_event)},
        {true, message(ok + "\r\nContent-Type: application/json", R"({"usage":null})")},
        {true, chunked("HTTP/1.1 500 No\r\nContent-Type: text/event-stream", one_event)},
        {false, chunked(stream, one_event)}};
    std::size_t requests = 0;
    for (auto const& [chat, answer] : answers)
    {
        auto const id = "r" + std::to_string(++requests);
        auto caller =
            call(chat ? chat_request_text(id, stream_body) : message(service + id, "x"));
        auto backend = backend_.accept();
        backend.read_message();
        backend.send(answer);
        EXPECT_EQ(script_->wait_for<dispatch_ended>(requests).outcome,
                  dispatch_outcome::completed)
            << answer;
        backend.close();
    }
}

TEST_F(request_path_test, engine_that_did_not_run_request_ends_as_rejected)
{
    auto caller = call(chat_request_text("r1"));
    auto backend = backend_.accept();
    backend.read_message();
    backend.send(message("HTTP/1.1 409 Conflict", R"({"ran":"not-run"})"));
    EXPECT_EQ(script_->wait_for<dispatch_ended>().outcome, dispatch_outcome::rejected);
}

TEST_F(request_path_test, kept_answer_reaches_caller_only_when_core_delivers_it)
{
    keep_answer_ = true;
    override_ = [](event const& input) -> actions
    {
        if (auto const* const ended = std::get_if<dispatch_ended>(&input))
        {
            auto answer = ended->answer.value_or(stored_answer{});
            answer.body += " kept";
            return {deliver_answer{ended->request, answer}};
        }
        return {};
    };
    auto caller =
        call(message("POST /book HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k", "seat 4"));
    auto backend = backend_.accept();
    backend.read_message();
    backend.send(message("HTTP/1.1 201 Created\r\nContent-Type: text/plain", "booked"));
    auto const answer = caller.read_message();
    EXPECT_NE(answer.find("201 Created"), std::string::npos);
    EXPECT_NE(answer.find("Content-Type: text/plain"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("booked kept"));
    EXPECT_EQ(script_->wait_for<request_arrived>().request.idempotency_key, "k");
}

TEST_F(request_path_test, request_beyond_a_limit_gets_clear_error)
{
    auto large_body =
        call(message("POST /x HTTP/1.1\r\nHost: x", std::string(1001, 'b')));
    auto const body_answer = large_body.read_message();
    EXPECT_NE(body_answer.find("413 "), std::string::npos);
    EXPECT_NE(body_answer.find("larger than 1000 bytes"), std::string::npos);
    auto large_head =
        call("GET /x HTTP/1.1\r\nX-Long: " + std::string(1001, 'h') + "\r\n\r\n");
    EXPECT_NE(large_head.read_message().find("431 "), std::string::npos);
    auto no_http = call("nonsense\r\n\r\n");
    EXPECT_NE(no_http.read_message().find("400 "), std::string::npos);
    EXPECT_EQ(script_->count<request_arrived>(), 0U);
}

TEST_F(request_path_test, wrong_header_or_body_is_refused_with_its_name)
{
    auto caller =
        call(message("POST /x HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: soon", "b"));
    EXPECT_NE(caller.read_message().find("X-Deadline-Ms must be"), std::string::npos);
    caller.send(chat_request_text("r1", "{}"));
    auto const answer = caller.read_message();
    EXPECT_NE(answer.find("400 Bad Request"), std::string::npos);
    EXPECT_NE(answer.find("model"), std::string::npos);
    EXPECT_EQ(script_->count<request_arrived>(), 0U);
}

// Guards against two requests under one id, whose answers an engine could exchange.
TEST_F(request_path_test, second_open_request_with_same_id_is_refused)
{
    auto first = call(chat_request_text("r1"));
    auto backend = backend_.accept();
    backend.read_message();
    auto second = call(chat_request_text("r1"));
    EXPECT_NE(second.read_message().find("400 Bad Request"), std::string::npos);
    backend.send(message("HTTP/1.1 200 OK", "first"));
    EXPECT_TRUE(first.read_message().ends_with("first"));
}

TEST_F(request_path_test, pipelined_requests_are_answered_in_order)
{
    auto caller = call(chat_request_text("r1") + chat_request_text("r2"));
    auto backend = backend_.accept();
    EXPECT_NE(backend.read_message().find("X-Request-Id: r1"), std::string::npos);
    backend.send(message("HTTP/1.1 200 OK", "one"));
    EXPECT_TRUE(caller.read_message().ends_with("one"));
    EXPECT_NE(backend.read_message().find("X-Request-Id: r2"), std::string::npos);
    backend.send(message("HTTP/1.1 200 OK", "two"));
    EXPECT_TRUE(caller.read_message().ends_with("two"));
    EXPECT_EQ(script_->count<caller_gone>(), 0U);
}

TEST_F(request_path_test, metrics_show_answers_and_refusals)
{
    auto caller = call("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_NE(caller.read_message().find("503 "), std::string::npos);
    caller.send(chat_request_text("r1", "{}"));
    caller.read_message();
    caller.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    auto const text = caller.read_message();
    EXPECT_NE(text.find("carawayturn_refusals_total{code=\"bad_request\"} 1"),
              std::string::npos);
    EXPECT_NE(text.find("carawayturn_request_seconds_bucket{le=\"+Inf\"} 0"),
              std::string::npos);
    EXPECT_NE(text.find("carawayturn_core_ring_capacity"), std::string::npos);
}

} // namespace
} // namespace carawayturn
