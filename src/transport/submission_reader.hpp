#pragma once

#include "coordination/event.hpp"
#include "state/result.hpp"

#include <string_view>

namespace carawayturn
{

/// Reads an operator's submission: {"operation","expected","change"}. "operation" and
/// "expected" may be absent; repeating a submission with its operation is safe. The
/// error's step names the field.
[[nodiscard]] result<change_submitted> read_submission(std::string_view body);

} // namespace carawayturn
