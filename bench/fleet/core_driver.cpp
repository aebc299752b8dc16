#include "fleet/core_driver.hpp"

#include "coordination/instance_core.hpp"

namespace carawayturn::bench
{

namespace
{

class core_instance final : public instance_driver
{
public:
    explicit core_instance(core_settings settings) : core_(std::move(settings)) {}

    actions handle(time_point now, event const& input) override
    {
        return core_.handle(now, input);
    }
    [[nodiscard]] bool may_send_order(time_point now,
                                      engine_order const& order) const override
    {
        return core_.may_send_order(now, order);
    }
    [[nodiscard]] config_version config_in_force() const override
    {
        return core_.config().version;
    }
    [[nodiscard]] std::string dump(time_point now) const override
    {
        return core_.dump(now);
    }

private:
    instance_core core_;
};

} // namespace

driver_factory core_drivers()
{
    return [](node_start const& start) -> std::unique_ptr<instance_driver>
    {
        core_settings settings;
        settings.identity = {start.id, start.incarnation, start.peer_address,
                             start.failure_domain, start.seed};
        return std::make_unique<core_instance>(std::move(settings));
    };
}

} // namespace carawayturn::bench
