#include "coordination/entry/demand_tracker.hpp"

#include <algorithm>

namespace carawayturn::entry
{

void demand_tracker::arrived(std::string const& service, model_key const& key)
{
    auto& model = models_[{service, key.str()}];
    ++model.arrivals;
    model.changed = true;
}

void demand_tracker::waiting_began(std::string const& service, model_key const& key)
{
    auto& model = models_[{service, key.str()}];
    ++model.waiting;
    model.changed = true;
    ++waiting_;
}

void demand_tracker::waiting_ended(std::string const& service, model_key const& key)
{
    auto& model = models_[{service, key.str()}];
    if (model.waiting == 0)
        return;
    --model.waiting;
    model.changed = true;
    --waiting_;
}

std::vector<demand_count> demand_tracker::take_counts()
{
    std::vector<demand_count> found;
    for (auto& [key, model] : models_)
    {
        if (!model.changed && model.waiting == 0)
            continue;
        model.changed = false;
        found.push_back({key.first, key.second, model.arrivals, model.waiting});
    }
    return found;
}

void demand_tracker::set_estimates(std::vector<model_estimate> const& estimates,
                                   time_point now)
{
    ready_at_.clear();
    for (auto const& estimate : estimates)
        ready_at_[{estimate.service, estimate.model}] =
            now + duration(estimate.ready_in_us);
}

std::optional<duration> demand_tracker::ready_in(std::string const& service,
                                                 std::string const& model,
                                                 time_point now) const
{
    auto const found = ready_at_.find({service, model});
    if (found == ready_at_.end())
        return std::nullopt;
    return std::max(found->second - now, duration::zero());
}

} // namespace carawayturn::entry
