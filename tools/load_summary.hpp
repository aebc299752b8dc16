#pragma once

#include "load_client.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace carawayturn::load
{

/// One request, where it was sent and what came back.
struct load_result
{
    traced_request const* request = nullptr;
    std::string instance;
    /// Start of sending after the start of the run, and how much later than the trace
    /// says that is.
    std::chrono::milliseconds started{0};
    std::chrono::milliseconds late{0};
    load_answer answer;
};

/// Prints counts and percentiles, one `name value unit` a line.
void print_summary(std::vector<load_result> const& results, std::ostream& to);

/// Prints one JSON object a line for each request; docs/load-trace.md gives the fields.
/// With bodies, the field "body" gives the whole body received.
void print_answers(std::vector<load_result> const& results, bool with_bodies,
                   std::ostream& to);

} // namespace carawayturn::load
