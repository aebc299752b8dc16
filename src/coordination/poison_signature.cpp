#include "coordination/poison_ledger.hpp"

#include "state/hash.hpp"

namespace carawayturn
{

digest poison_ledger::signature(organisation_id const& organisation,
                                caller_request const& request)
{
    // A separator that no name contains keeps different splits of the same text apart.
    constexpr char separator = '\0';
    return sha256(organisation.str() + separator + request.model + separator +
                  request.path + separator + request.body.str());
}

} // namespace carawayturn
