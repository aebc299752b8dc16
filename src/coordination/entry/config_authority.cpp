#include "coordination/entry/config_authority.hpp"

#include <algorithm>

namespace carawayturn::entry
{

config_authority::config_authority(duration max_confirmation_age)
    : max_confirmation_age_(max_confirmation_age)
{
}

bool config_authority::accept(std::shared_ptr<serving_config const> config)
{
    if (config_ && config->version <= config_->version)
        return false;
    config_ = std::move(config);
    note_version(config_->version);
    return true;
}

void config_authority::confirm(std::uint64_t version, time_point asked_at)
{
    note_version(version);
    if (!config_ || version > config_->version)
        return;
    confirmed_at_ = std::max(confirmed_at_, asked_at);
}

std::uint64_t config_authority::version() const
{
    return config_ ? config_->version : 0;
}

void config_authority::note_version(std::uint64_t version)
{
    newest_known_version_ = std::max(newest_known_version_, version);
}

duration config_authority::confirmation_age(time_point now) const
{
    return now - confirmed_at_;
}

bool config_authority::may_serve_keyed(time_point now) const
{
    return config_ && confirmed_at_ != time_point{} &&
           confirmation_age(now) <= max_confirmation_age_;
}

} // namespace carawayturn::entry
