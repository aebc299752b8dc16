#pragma once

#include "state/identifiers.hpp"
#include "state/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carawayturn
{

/// Version of one row of the table service; 0 is an absent row.
using row_version = std::uint64_t;

struct table_row
{
    std::string key;
    row_version version = 0;
    /// The operation that wrote the row last.
    operation_id operation;
    /// Absent for a row that does not exist.
    std::optional<std::string> value;
    friend bool operator==(table_row const&, table_row const&) = default;
};

struct row_check
{
    std::string key;
    row_version version = 0;
    friend bool operator==(row_check const&, row_check const&) = default;
};

struct row_write
{
    std::string key;
    /// Absent to delete the row.
    std::optional<std::string> value;
    friend bool operator==(row_write const&, row_write const&) = default;
};

/// Writes all rows if all checks hold, else none.
struct table_commit
{
    operation_id operation;
    std::vector<row_check> checks;
    std::vector<row_write> writes;
};

/// Reads single rows, or up to `limit` rows below a prefix in key order after `after`.
struct table_read
{
    operation_id operation;
    std::vector<std::string> keys;
    std::string prefix;
    std::string after;
    std::uint32_t limit = 1000;
};

/// All writes took effect; versions of the rows written.
struct committed
{
    std::vector<row_check> versions;
};
/// No write took effect; current versions of the rows whose checks failed.
struct commit_conflict
{
    std::vector<row_check> current;
};
struct rows_read
{
    std::vector<table_row> rows;
};
/// The store refused the operation, and it did not take effect.
struct table_unavailable
{
    std::string detail;
};
/// The answer was lost or late: a commit may or may not have taken effect, now or later.
struct outcome_unknown
{
    std::string detail;
};

using table_outcome = std::variant<committed, commit_conflict, rows_read,
                                   table_unavailable, outcome_unknown>;

} // namespace carawayturn
