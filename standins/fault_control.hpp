#pragma once

#include "http_service.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace carawayturn::standins
{

/// Faults that a test sets by `POST /faults`. Fields that are left out keep their value:
/// - "down": requests get 503 and have no effect;
/// - "drop": requests have no effect and their connections close without an answer;
/// - "delay_ms": requests wait before they take effect;
/// - "lose_answers": this many non-GET requests take effect, then their connections close
///   without an answer;
/// - "lose_path": lose_answers counts only paths that begin with this text;
/// - "crash_on": a request whose body contains this text crashes the server.
/// `/faults`, `/v1/log` and `/v1/executions` are exempt, so that tests can always look.
class fault_control
{
public:
    /// Deals with `POST /faults` and applies the faults. Returns whether the request may
    /// run.
    [[nodiscard]] bool admit(exchange& current);

    /// Whether the body contains the text that crashes the server.
    [[nodiscard]] bool crashes(std::string const& body) const;

private:
    void set(exchange& current);
    [[nodiscard]] bool take_lost_answer(http_request const& request);

    mutable std::mutex mutex_;
    bool down_ = false;
    bool drop_ = false;
    std::chrono::milliseconds delay_{0};
    std::int64_t lose_answers_ = 0;
    std::string lose_path_;
    std::string crash_on_;
};

} // namespace carawayturn::standins
