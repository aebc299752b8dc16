#include "app/core_adapter.hpp"

#include <utility>

namespace carawayturn
{

namespace
{

class instance_core_driver : public core_driver
{
public:
    explicit instance_core_driver(core_settings settings) : core_(std::move(settings)) {}

    actions handle(time_point now, event const& input) override
    {
        return core_.handle(now, input);
    }
    [[nodiscard]] bool may_send_order(time_point now,
                                      engine_order const& order) const override
    {
        return core_.may_send_order(now, order);
    }
    [[nodiscard]] std::string dump(time_point now) const override
    {
        return core_.dump(now);
    }
    [[nodiscard]] std::string explain(request_id const& request) const override
    {
        return core_.explain(request);
    }
    [[nodiscard]] fleet_config const& config() const override { return core_.config(); }

private:
    instance_core core_;
};

} // namespace

std::unique_ptr<core_driver> make_instance_core(core_settings settings)
{
    return std::make_unique<instance_core_driver>(std::move(settings));
}

} // namespace carawayturn
