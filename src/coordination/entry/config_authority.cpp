#include "coordination/entry/config_authority.hpp"

#include <algorithm>

namespace carawayturn::entry
{

config_authority::config_authority(duration confirmation_limit)
    : limit_(confirmation_limit)
{
}

bool config_authority::accept(std::shared_ptr<serving_config const> config)
{
    if (config_ && config->version <= config_->version)
        return false;
    config_ = std::move(config);
    hear_of(config_->version);
    return true;
}

void config_authority::confirm(std::uint64_t version, time_point asked_at)
{
    hear_of(version);
    if (!config_ || version > config_->version)
        return;
    confirmed_at_ = std::max(confirmed_at_, asked_at);
}

std::uint64_t config_authority::version() const
{
    return config_ ? config_->version : 0;
}

void config_authority::hear_of(std::uint64_t version)
{
    newest_heard_ = std::max(newest_heard_, version);
}

duration config_authority::age(time_point now) const
{
    return now - confirmed_at_;
}

bool config_authority::may_serve_keyed(time_point now) const
{
    return config_ && confirmed_at_ != time_point{} && age(now) <= limit_;
}

} // namespace carawayturn::entry
