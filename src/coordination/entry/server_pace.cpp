#include "coordination/entry/server_pace.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>
#include <cmath>

namespace carawayturn::entry
{

namespace
{

/// A reported pace loses half of its difference to the usual one in this time, because it
/// changes many times a second.
constexpr double half_life_s = 0.2;
/// A pace that is older than this says nothing about the present.
constexpr duration validity = std::chrono::milliseconds(1000);
/// Bounds of a pace, so that one odd figure neither hides a server nor attracts all
/// requests.
constexpr double min_pace = 0.25;
constexpr double max_pace = 16;
/// A service counts as reporting its pace this long after the last report. Answers
/// without the figure, such as errors, do not switch the queue off.
constexpr duration service_validity = std::chrono::seconds(60);

} // namespace

void server_pace::report(double pace, time_point now)
{
    reported_ = std::clamp(pace, min_pace, max_pace);
    reported_at_ = now;
}

double server_pace::at(time_point now) const
{
    auto const age = now - reported_at_;
    if (reported_at_ == time_point{} || age >= validity)
        return 1;
    return 1 + (reported_ - 1) * std::exp2(-to_seconds(age) / half_life_s);
}

bool paced_services::contains(std::string const& service, time_point now) const
{
    auto const found = reported_.find(service);
    return found != reported_.end() && now - found->second < service_validity;
}

} // namespace carawayturn::entry
