#pragma once

#include "coordination/action.hpp"

#include <string>

namespace carawayturn
{

/// Prints the answer to an operator's submission as JSON: "version", "accepted",
/// "missing" and, on failure, "error" with code, step and detail.
[[nodiscard]] std::string print_submission_answer(answer_submission const& answer);

} // namespace carawayturn
