#pragma once

#include "load_trace.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace carawayturn::load
{

struct target
{
    std::string address;
    std::uint16_t port = 0;
};

/// What came back for one request.
struct load_answer
{
    /// 0 if no answer was received.
    unsigned status = 0;
    /// Refusal code, also of an error event within a stream; "no_connection" if nothing
    /// was sent, "connection_lost", "malformed_answer" or "timeout" if
    /// the answer is missing, incomplete or none.
    std::string code;
    /// "not-run", "unknown" or "ran" as the refusal says it.
    std::string ran;
    std::string retry_after;
    /// From sending to the end of the answer, and to the first byte of its body.
    std::chrono::microseconds latency{0};
    std::chrono::microseconds first_byte{0};
    std::size_t bytes = 0;
    /// Whether the answer was received to its end; for a stream, with its closing event.
    bool whole = false;
    bool stream = false;
    /// usage.total_tokens of the answer.
    std::int64_t tokens = 0;
    std::string body;
};

/// Keep-alive connection to one instance. Not thread-safe.
class load_client
{
public:
    load_client(target instance, std::chrono::milliseconds timeout);
    ~load_client();
    load_client(load_client&&) noexcept;
    load_client& operator=(load_client&&) noexcept;

    /// Connects unless a connection is open that the peer has not closed. Returns false
    /// if that fails; nothing has been sent then.
    [[nodiscard]] bool connect();

    [[nodiscard]] load_answer send(traced_request const& request);

    /// Whether `GET /readyz` answers 200.
    [[nodiscard]] bool is_ready();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn::load
