#include "coordination/idempotency_ledger.hpp"

#include "coordination/detail/once_ledger.hpp"

namespace carawayturn
{

std::unique_ptr<idempotency_ledger>
idempotency_ledger::create(instance_identity identity, serving_authority const& authority)
{
    return std::make_unique<detail::once_ledger>(std::move(identity), authority);
}

} // namespace carawayturn
