#include "coordination/detail/config_history.hpp"

#include <algorithm>

namespace carawayturn::detail
{

bool config_history::take_change(config_version version, config_change const& change,
                                 actions& out)
{
    if (version != current_.version + 1)
        return false;
    auto applied = carawayturn::apply(current_, change);
    if (!succeeded(applied))
    {
        out.emplace_back(log_record{203, "version " + std::to_string(version),
                                    to_string(std::get<error>(applied))});
        return false;
    }
    changes_.push_back(change);
    if (changes_.size() > changes_kept)
        changes_.pop_front();
    put_in_force(std::move(std::get<fleet_config>(applied)), out);
    return true;
}

bool config_history::take_copy(fleet_config const& copy, actions& out)
{
    if (copy.version <= current_.version)
        return false;
    changes_.clear();
    put_in_force(copy, out);
    return true;
}

void config_history::put_in_force(fleet_config config, actions& out)
{
    current_ = std::move(config);
    authority_.set_config({current_.version, current_.instance_slots});
    out.emplace_back(log_record{201, "version " + std::to_string(current_.version), ""});
    out.emplace_back(raise_event{config_changed{current_.version}});
}

void config_history::fill_reply(config_version have, config_reply& reply) const
{
    reply.version = current_.version;
    if (have >= current_.version)
        return;
    auto const lacking = current_.version - have;
    if (lacking > changes_.size())
    {
        reply.whole_copy.push_back(current_);
        return;
    }
    auto const first = changes_.end() - static_cast<std::ptrdiff_t>(lacking);
    auto const count =
        static_cast<std::ptrdiff_t>(std::min<std::size_t>(lacking, changes_in_reply));
    reply.changes.assign(first, first + count);
}

} // namespace carawayturn::detail
