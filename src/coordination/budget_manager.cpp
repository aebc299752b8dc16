#include "coordination/budget_manager.hpp"

#include "coordination/detail/fleet_budget.hpp"

namespace carawayturn
{

std::unique_ptr<budget_manager> budget_manager::create(instance_identity identity,
                                                       config_log const& config,
                                                       serving_authority const& authority)
{
    return std::make_unique<detail::fleet_budget>(std::move(identity), config, authority);
}

} // namespace carawayturn
