#pragma once

#include "state/entry/evacuated_domains.hpp"

#include <map>
#include <string>

namespace carawayturn::entry
{

/// Collects the rows that ask for the evacuation of failure domains, from reads of the
/// whole range and from changes. This handles the load pattern "another writer fills the
/// table": the number and size of the names that are kept is limited.
class evacuation_rows
{
public:
    /// Applies a row. A row beyond the limits is ignored.
    void put(std::string const& domain, std::uint64_t row_version);
    /// Applies the removal of a row.
    void remove(std::string const& domain);

    /// Number of ignored rows.
    [[nodiscard]] std::size_t ignored() const { return ignored_; }
    /// Whether a row was removed although others had been ignored. One of these may count
    /// now, so all rows have to be read anew.
    [[nodiscard]] bool incomplete() const { return incomplete_; }
    /// Returns the set as of this version of the table.
    [[nodiscard]] evacuated_domains as_of(std::uint64_t version) const;

private:
    std::map<std::string, std::uint64_t> rows_;
    std::size_t ignored_ = 0;
    bool incomplete_ = false;
};

} // namespace carawayturn::entry
