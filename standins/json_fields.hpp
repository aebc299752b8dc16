#pragma once

#include "http_service.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace carawayturn::standins
{

/// Reads a JSON object; empty for anything else.
[[nodiscard]] std::optional<boost::json::object> parse_object(std::string_view text);

// Fields of an object; the given value stands for an absent field or one of another type.
[[nodiscard]] std::string text_field(boost::json::object const& from,
                                     std::string_view name,
                                     std::string_view otherwise = "");
[[nodiscard]] std::int64_t number_field(boost::json::object const& from,
                                        std::string_view name,
                                        std::int64_t otherwise = 0);
[[nodiscard]] bool bool_field(boost::json::object const& from, std::string_view name,
                              bool otherwise = false);

[[nodiscard]] boost::json::object
print_counts(std::map<std::string, std::uint64_t> const&);

void answer_json(exchange& to, unsigned status, boost::json::object const& body);

/// Answers 400 with the reason. The request did not run.
void answer_bad_request(exchange& to, std::string_view reason);

} // namespace carawayturn::standins
