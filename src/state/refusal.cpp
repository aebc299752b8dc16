#include "state/request.hpp"

#include <array>

namespace carawayturn
{

namespace
{

struct refusal_entry
{
    std::string_view name;
    std::uint16_t status;
};

// In the order of refusal_code.
constexpr std::array<refusal_entry, 20> refusal_table{{
    {"key_missing", 401},
    {"key_unknown", 401},
    {"key_withdrawn", 401},
    {"not_permitted", 403},
    {"route_unknown", 404},
    {"model_unknown", 404},
    {"no_authority", 503},
    {"over_rate", 429},
    {"queue_full", 503},
    {"deadline_unreachable", 503},
    {"deadline_passed", 504},
    {"idempotency_key_missing", 400},
    {"idempotency_key_reused", 422},
    {"idempotency_outcome_unknown", 409},
    {"store_unavailable", 503},
    {"poisonous", 422},
    {"backend_failed", 502},
    {"backend_unavailable", 503},
    {"draining", 503},
    {"bad_request", 400},
}};

} // namespace

std::string_view name_of(execution value)
{
    static constexpr std::array<std::string_view, 3> names{"not-run", "unknown", "ran"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view name_of(refusal_code code)
{
    return refusal_table.at(static_cast<std::size_t>(code)).name;
}

std::uint16_t http_status(refusal_code code)
{
    return refusal_table.at(static_cast<std::size_t>(code)).status;
}

} // namespace carawayturn
