#include "coordination/poison_ledger.hpp"

#include "coordination/detail/shared_poison_ledger.hpp"
#include "state/hash.hpp"

namespace carawayturn
{

std::unique_ptr<poison_ledger> poison_ledger::create(instance_identity identity,
                                                     serving_authority const& authority)
{
    return std::make_unique<detail::shared_poison_ledger>(std::move(identity), authority);
}

digest poison_ledger::signature(organisation_id const& organisation,
                                caller_request const& request)
{
    // Each part has its length in front, so that no two requests share a text.
    std::string text;
    for (std::string const* part :
         {&organisation.str(), &request.model, &request.body.str()})
    {
        text += std::to_string(part->size()) + ":" + *part;
    }
    return sha256(text);
}

} // namespace carawayturn
