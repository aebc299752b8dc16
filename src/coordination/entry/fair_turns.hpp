#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace carawayturn::entry
{

/// Start-time fair queueing over organisations, with a request as the unit of service.
/// Answers the load pattern "one organisation sends most of the requests": the others'
/// requests go between its own. An organisation that asked for nothing gains no claim
/// from it, so none falls behind by more than one request for each other organisation.
class fair_turns
{
public:
    /// Returns the place in virtual time of the organisation's next request. The smallest
    /// one goes first.
    [[nodiscard]] double turn_of(std::string const& organisation) const
    {
        auto const found = ended_.find(organisation);
        return found == ended_.end() ? now_ : std::max(found->second, now_);
    }

    void note_dispatch(std::string const& organisation)
    {
        auto const turn = turn_of(organisation);
        ended_[organisation] = turn + 1;
        if (ended_.size() > max_organisations)
            forget_ended();
    }

    /// Advances virtual time to the turn of the first waiting request.
    void advance(double turn) { now_ = std::max(now_, turn); }

private:
    static constexpr std::size_t max_organisations = 1000;

    void forget_ended()
    {
        for (auto next = ended_.begin(); next != ended_.end();)
            next = next->second <= now_ ? ended_.erase(next) : std::next(next);
        // All organisations are ahead of virtual time. Starting anew costs one turn each.
        if (ended_.size() > max_organisations)
            ended_.clear();
    }

    double now_ = 0;
    std::map<std::string, double> ended_;
};

} // namespace carawayturn::entry
