#pragma once

#include "coordination/action.hpp"
#include "transport/address_book.hpp"
#include "transport/answer_sink.hpp"
#include "transport/core_loop.hpp"
#include "transport/event_log.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace carawayturn
{

struct backend_limits
{
    duration connect_timeout = std::chrono::seconds(1);
    /// From the request's last byte to the answer's head; covers an engine's own line.
    duration answer_timeout = std::chrono::seconds(120);
    /// Between two parts of an answer.
    duration idle_timeout = std::chrono::seconds(30);
    std::size_t max_answer_bytes = std::size_t{32} << 20U;
    /// Streamed bytes that wait for a slow caller before reading pauses.
    std::size_t max_unwritten_bytes = std::size_t{256} << 10U;
    std::size_t idle_connections_per_backend = 32;
};

/// Sends callers' requests to backend servers on a thread of its own. An attempt is one
/// exchange on one connection; its output carries its number, and exactly one
/// dispatch_ended follows.
class backend_client
{
public:
    using token_counter = std::function<void(token_count)>;

    backend_client(backend_limits limits, event_sink& events, answer_sink& answers,
                   address_book const& addresses, event_log& log,
                   token_counter count_tokens);
    ~backend_client();
    backend_client(backend_client const&) = delete;
    backend_client& operator=(backend_client const&) = delete;

    void start();
    void stop();

    /// Starts an attempt. Without content or address it ends as not_sent.
    void dispatch(dispatch_request order, std::shared_ptr<request_content const> content);

    /// Ends an attempt as cancelled and tells the engine. Unknown attempts are ignored.
    void cancel(cancel_dispatch const& order);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn
