#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::load
{

/// One request of a trace; docs/load-trace.md gives the format.
struct traced_request
{
    std::string id;
    std::chrono::milliseconds at{0};
    std::string key;
    std::string path;
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    std::optional<std::int64_t> deadline_ms;
    bool stream = false;
    std::string idempotency_key;
    std::string reference;
};

/// Reads a trace and sorts it by time. Throws std::runtime_error with the line's number
/// and the field if a line is malformed.
[[nodiscard]] std::vector<traced_request> read_trace(std::string const& file);

/// Body of the request as it is sent.
[[nodiscard]] std::string print_body(traced_request const& request);

} // namespace carawayturn::load
