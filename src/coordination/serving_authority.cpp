#include "coordination/serving_authority.hpp"

#include "coordination/detail/authority_state.hpp"

namespace carawayturn
{

void serving_authority::confirm_config(time_point /*asked*/, config_version /*newest*/) {}

std::optional<time_point> serving_authority::config_confirmed() const
{
    return std::nullopt;
}

std::unique_ptr<serving_authority> serving_authority::create(instance_identity identity,
                                                             lease_timing timing)
{
    return std::make_unique<detail::authority_state>(std::move(identity), timing);
}

} // namespace carawayturn
