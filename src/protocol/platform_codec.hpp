#pragma once

#include "state/fleet.hpp"
#include "state/result.hpp"
#include "state/table.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace carawayturn
{

// Bodies of the platform's HTTP interfaces; docs/design.md, section 7, gives their
// fields.

[[nodiscard]] std::string print_table_commit(table_commit const& commit);
[[nodiscard]] std::string print_table_read(table_read const& read);

/// Reads the answer to a commit: committed for status 200, commit_conflict for 409,
/// table_unavailable for 503. Anything else is outcome_unknown.
[[nodiscard]] table_outcome parse_commit_answer(unsigned status, std::string_view body);

/// Reads the answer to a read: rows_read for status 200, else table_unavailable.
[[nodiscard]] table_outcome parse_read_answer(unsigned status, std::string_view body);

[[nodiscard]] result<std::vector<listed_instance>>
parse_instance_list(std::string_view body);

[[nodiscard]] std::string print_engine_order(engine_order const& order);

/// What an engine answered to an order.
struct engine_order_answer
{
    order_result outcome = order_result::unknown;
    incarnation_number incarnation = 0;
};
[[nodiscard]] engine_order_answer parse_order_answer(unsigned status,
                                                     std::string_view body);

[[nodiscard]] result<backend_report> parse_backend_report(backend_id const& backend,
                                                          std::string_view body);

} // namespace carawayturn
