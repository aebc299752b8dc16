#pragma once

#include "state/result.hpp"

#include <boost/json/value.hpp>

#include <cstddef>
#include <string_view>

namespace carawayturn
{

/// Parses one JSON document. Unlike boost::json::parse, it refuses repeated names in an
/// object, names the place of a fault in the error's step (for example "models[3].id"),
/// and rounds numbers to the nearest double, so that printed numbers are read back
/// exactly. A document's outermost array or object has depth 1.
[[nodiscard]] result<boost::json::value> parse_strict_json(std::string_view text,
                                                           std::size_t max_depth);

} // namespace carawayturn
