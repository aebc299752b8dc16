#pragma once

namespace carawayturn::cli
{

/// Exit codes of the command-line tool; docs/OPERATIONS.md lists them.
enum class exit_code
{
    success = 0,
    /// The instance refused the request, or a file is not valid.
    refused = 1,
    /// The command line or a setting is wrong.
    usage = 2,
    /// The instance could not be reached, or its answer was lost.
    unreachable = 3,
    /// The change is committed, but not yet in force at every instance.
    pending = 4
};

} // namespace carawayturn::cli
