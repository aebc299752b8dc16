#pragma once

#include "state/identifiers.hpp"
#include "state/request.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace carawayturn::detail
{

enum class once_phase
{
    started,
    done,
    not_run,
    unknown
};

/// Row of an at-most-once request.
struct once_row
{
    once_phase phase = once_phase::started;
    digest body;
    /// The process that started the request.
    instance_id instance;
    incarnation_number incarnation = 0;
    request_id request;
    /// Absent for a done row whose answer was too large to keep.
    std::optional<stored_answer> answer;
};

/// Largest body of an answer that is kept.
inline constexpr std::size_t largest_kept_answer = 256UL * 1024;

[[nodiscard]] std::string once_key(organisation_id const& organisation,
                                   std::string_view idempotency_key);
[[nodiscard]] std::string to_json(once_row const& row);
/// Returns nothing if the text is not such a row.
[[nodiscard]] std::optional<once_row> once_row_from_json(std::string_view text);

inline constexpr std::string_view poison_prefix = "poison/";

[[nodiscard]] std::string poison_key(digest const& signature);
[[nodiscard]] std::string poison_row(std::uint32_t crashes);
/// Returns the crash count, or 0 if the text is not such a row.
[[nodiscard]] std::uint32_t crashes_of_row(std::string_view text);

} // namespace carawayturn::detail
