#pragma once

#include "coordination/action.hpp"
#include "transport/answer_sink.hpp"
#include "transport/core_loop.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <unordered_map>

namespace carawayturn
{

/// The caller-side server: reads requests, raises them to the core, and gives each
/// exactly one answer. A caller that hangs up raises caller_gone.
class caller_gateway : public answer_sink, private http_handler
{
public:
    /// Made request ids begin with `id_prefix`, which is unique to this process.
    caller_gateway(http_limits limits, std::string id_prefix, event_sink& events,
                   request_registry& registry, metrics& counters);
    ~caller_gateway() override;

    [[nodiscard]] result<std::uint16_t> listen(endpoint const& address);
    void start();
    void stop();

    // The core's actions; called on the core thread.
    /// Makes the attempt the current one. Output of earlier attempts is discarded.
    void expect_attempt(attempt_id const& current);
    void refuse(refuse_request refused);
    void deliver(deliver_answer kept);
    void set_ready(bool ready);

    /// From now on, closes each connection after its next answer. Delivers callers_busy,
    /// then drain_requested.
    void begin_drain();

    [[nodiscard]] std::size_t connections() const { return server_.connections(); }

    // answer_sink
    void whole_answer(attempt_id const& from, http_answer_head head,
                      std::string body) override;
    void stream_head(attempt_id const& from, http_answer_head head) override;
    void stream_data(attempt_id const& from, std::string bytes,
                     written_callback written) override;
    void stream_end(attempt_id const& from) override;

private:
    struct open_request
    {
        std::shared_ptr<http_exchange> exchange;
        time_point arrived{};
        std::uint32_t attempt = 0;
        bool dispatched = false;
        bool streaming = false;
        bool chat = false;
        unsigned status = 0;
    };

    // http_handler
    void on_request(std::shared_ptr<http_exchange> const& exchange) override;
    void on_hangup(http_exchange const& exchange) override;
    void on_busy_changed(std::size_t connections) override;
    std::string error_body(unsigned status, std::string_view reason) override;

    void admit(std::shared_ptr<http_exchange> const& exchange);
    void raise_arrival(std::shared_ptr<http_exchange> const& exchange,
                       caller_request arrived, bool chat);
    bool serve_own_path(http_exchange& exchange, std::string_view path);
    void refuse_exchange(http_exchange& exchange, request_id const& request,
                         refusal const& reason);
    void note_attempt(attempt_id const& current);
    void answer_refusal(refuse_request const& refused);
    void answer_kept(deliver_answer const& kept);
    void answer_whole(attempt_id const& from, http_answer_head head, std::string body);
    void begin_stream(attempt_id const& from, http_answer_head head);
    void append_stream(attempt_id const& from, std::string bytes,
                       written_callback const& written);
    void finish_stream(attempt_id const& from);
    void fail_stream(request_id const& request, refusal const& reason);
    void finish(request_id const& request, unsigned status);
    [[nodiscard]] open_request* find(request_id const& request);
    [[nodiscard]] open_request* find_current(attempt_id const& from);
    [[nodiscard]] request_id make_id();

    std::string const id_prefix_;
    event_sink& events_;
    request_registry& registry_;
    metrics& metrics_;
    std::atomic<bool> ready_ = false;
    /// Used on the server's thread only.
    bool draining_ = false;
    std::uint64_t made_ids_ = 0;
    http_server server_;
    /// Exchanges end before the server whose event loop they use.
    std::unordered_map<request_id, open_request> open_;
    std::unordered_map<http_exchange const*, request_id> by_exchange_;
    std::thread thread_;
};

} // namespace carawayturn
