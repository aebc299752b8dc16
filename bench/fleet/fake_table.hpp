#pragma once

#include "state/table.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace carawayturn::bench
{

/// The table service as the cores see it, with its own record of what was written.
class fake_table
{
public:
    /// Applies a commit as a whole or not at all.
    table_outcome commit(table_commit const& wanted);
    [[nodiscard]] table_outcome read(table_read const& wanted);

    [[nodiscard]] table_row row(std::string const& key) const;
    [[nodiscard]] std::map<std::string, table_row> const& rows() const { return rows_; }

    [[nodiscard]] std::uint64_t commits() const { return commits_; }
    [[nodiscard]] std::uint64_t reads() const { return reads_; }

    /// Refuses everything with table_unavailable.
    bool down = false;
    /// Time for an operation, each way.
    duration latency = std::chrono::milliseconds(2);
    /// The next so many commits take effect, but their answers are lost.
    std::uint32_t lose_answers = 0;

private:
    std::map<std::string, table_row> rows_;
    row_version last_version_ = 0;
    std::uint64_t commits_ = 0;
    std::uint64_t reads_ = 0;
};

} // namespace carawayturn::bench
