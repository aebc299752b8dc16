#include "coordination/entry/claim_delay.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Delay of an instance with a whole core and a link that is sufficient for a hub.
constexpr std::chrono::duration<double> min_delay = std::chrono::milliseconds(60);
/// Bandwidth that is sufficient for a hub's messages to some hundreds of instances.
constexpr double sufficient_link_mbps = 100;
constexpr double min_share = 0.05;

} // namespace

duration claim_delay(node_settings const& settings)
{
    double const link_share = settings.link_mbps / sufficient_link_mbps;
    double const share = std::min(settings.processor_share, link_share);
    return std::chrono::duration_cast<duration>(min_delay /
                                                std::clamp(share, min_share, 1.0));
}

} // namespace carawayturn::entry
